// Package strictjson decodes JSON documents and refuses what encoding/json
// lets pass: trailing data, unknown fields, duplicate keys, keys in another
// case, null and missing fields. It names the path of every faulty field and
// reports all problems of a document that parses.
package strictjson

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Decode fills the struct that into points to from one JSON document and
// returns an *Error if anything is wrong with it. A field is required unless
// its json tag has omitempty or omitzero; an optional field that is missing
// keeps the value it has, so that defaults are set before the call.
func Decode(data []byte, into any) error {
	v := reflect.ValueOf(into)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		panic(fmt.Sprintf("strictjson: cannot decode into %T", into))
	}
	c := &Collector{}
	if n := parse(data, c); n != nil {
		assign(c, n, v.Elem(), "")
	}
	return c.Err()
}

// assign stores the value of n in v and records what does not match.
func assign(c *Collector, n *node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.Struct:
		if expect(c, n, kindObject, path) {
			assignStruct(c, n, v, path)
		}
	case reflect.Slice:
		if expect(c, n, kindArray, path) {
			assignSlice(c, n, v, path)
		}
	case reflect.Map:
		if expect(c, n, kindObject, path) {
			assignMap(c, n, v, path)
		}
	case reflect.Pointer:
		target := reflect.New(v.Type().Elem())
		assign(c, n, target.Elem(), path)
		v.Set(target)
	default:
		assignScalar(c, n, v, path)
	}
}

func assignScalar(c *Collector, n *node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		if expect(c, n, kindString, path) {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if expect(c, n, kindBool, path) {
			v.SetBool(n.truth)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		assignInt(c, n, v, path)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		assignUint(c, n, v, path)
	case reflect.Float32, reflect.Float64:
		assignFloat(c, n, v, path)
	default:
		panic(fmt.Sprintf("strictjson: %s has the unsupported type %s", path, v.Type()))
	}
}

func expect(c *Collector, n *node, want kind, path string) bool {
	if n.kind != want {
		c.Addf(path, "must be %s, not %s", want, n.kind)
		return false
	}
	return true
}

func assignInt(c *Collector, n *node, v reflect.Value, path string) {
	if !expect(c, n, kindNumber, path) {
		return
	}
	x, err := strconv.ParseInt(n.text, 10, v.Type().Bits())
	if err != nil {
		c.Addf(path, "must be a whole number of at most %d bits, not %s", v.Type().Bits(), n.text)
		return
	}
	v.SetInt(x)
}

func assignUint(c *Collector, n *node, v reflect.Value, path string) {
	if !expect(c, n, kindNumber, path) {
		return
	}
	x, err := strconv.ParseUint(n.text, 10, v.Type().Bits())
	if err != nil {
		c.Addf(path, "must be a whole number of at least 0 and at most %d bits, not %s", v.Type().Bits(), n.text)
		return
	}
	v.SetUint(x)
}

func assignFloat(c *Collector, n *node, v reflect.Value, path string) {
	if !expect(c, n, kindNumber, path) {
		return
	}
	x, err := strconv.ParseFloat(n.text, v.Type().Bits())
	if err != nil {
		c.Addf(path, "is a number out of range: %s", n.text)
		return
	}
	v.SetFloat(x)
}

func assignSlice(c *Collector, n *node, v reflect.Value, path string) {
	list := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		assign(c, item, list.Index(i), Index(path, i))
	}
	v.Set(list)
}

func assignMap(c *Collector, n *node, v reflect.Value, path string) {
	m := reflect.MakeMapWithSize(v.Type(), len(n.members))
	for _, member := range uniqueMembers(c, n, path) {
		value := reflect.New(v.Type().Elem()).Elem()
		assign(c, member.value, value, Field(path, member.name))
		m.SetMapIndex(reflect.ValueOf(member.name).Convert(v.Type().Key()), value)
	}
	v.Set(m)
}

func assignStruct(c *Collector, n *node, v reflect.Value, path string) {
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	for _, member := range uniqueMembers(c, n, path) {
		at := Field(path, member.name)
		f, known := fields[member.name]
		if !known {
			c.Addf(at, "unknown field")
			continue
		}
		seen[member.name] = true
		assign(c, member.value, v.Field(f.index), at)
	}
	for _, name := range requiredNames(v.Type()) {
		if !seen[name] {
			c.Addf(Field(path, name), "is required")
		}
	}
}

// uniqueMembers returns the first member of each name and records the others.
func uniqueMembers(c *Collector, n *node, path string) []member {
	seen := make(map[string]bool, len(n.members))
	unique := make([]member, 0, len(n.members))
	for _, m := range n.members {
		if seen[m.name] {
			c.Addf(Field(path, m.name), "duplicate key")
			continue
		}
		seen[m.name] = true
		unique = append(unique, m)
	}
	return unique
}

type field struct {
	index    int
	required bool
}

func fieldsOf(t reflect.Type) map[string]field {
	fields := make(map[string]field, t.NumField())
	for i := range t.NumField() {
		name, required := nameOf(t.Field(i))
		if name != "" {
			fields[name] = field{index: i, required: required}
		}
	}
	return fields
}

// requiredNames keeps the order of the struct, so that reports are stable.
func requiredNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		name, required := nameOf(t.Field(i))
		if name != "" && required {
			names = append(names, name)
		}
	}
	return names
}

// nameOf returns "" for fields that are not part of the document.
func nameOf(f reflect.StructField) (string, bool) {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	if !f.IsExported() || name == "-" {
		return "", false
	}
	if name == "" {
		name = f.Name
	}
	optional := strings.Contains(options, "omitempty") || strings.Contains(options, "omitzero")
	return name, !optional
}
