// Package strictjson decodes JSON documents. It refuses documents with problems
// that encoding/json accepts: trailing data, invalid UTF-8, unknown fields,
// duplicate keys, keys in another case, null values and missing fields. If the
// syntax of a document is valid, the package reports all other problems at once,
// each with the path of the field.
package strictjson

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Decode decodes one JSON document into the struct to which target points. It
// returns an *Error if the document has problems. A field is required unless its
// json tag contains omitempty or omitzero. An optional field that is missing in
// the document keeps its value, so a caller sets defaults before the call.
func Decode(data []byte, target any) error {
	v := reflect.ValueOf(target)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		panic(fmt.Sprintf("strictjson: cannot decode into %T", target))
	}
	c := &Collector{}
	if n := parse(data, c); n != nil {
		assign(c, n, v.Elem(), "")
	}
	return c.Err()
}

// assign stores the value of n in v. It records a problem for each value whose
// type or range does not match.
func assign(c *Collector, n *node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.Struct:
		if checkKind(c, n, kindObject, path) {
			assignStruct(c, n, v, path)
		}
	case reflect.Slice:
		if checkKind(c, n, kindArray, path) {
			assignSlice(c, n, v, path)
		}
	case reflect.Map:
		if checkKind(c, n, kindObject, path) {
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
		if checkKind(c, n, kindString, path) {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if checkKind(c, n, kindBool, path) {
			v.SetBool(n.boolean)
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

func checkKind(c *Collector, n *node, want kind, path string) bool {
	if n.kind != want {
		c.Addf(path, "must be %s, not %s", want, n.kind)
		return false
	}
	return true
}

func assignInt(c *Collector, n *node, v reflect.Value, path string) {
	if !checkKind(c, n, kindNumber, path) {
		return
	}
	value, err := strconv.ParseInt(n.text, 10, v.Type().Bits())
	if err != nil {
		c.Addf(path, "must be a whole number of at most %d bits, not %s", v.Type().Bits(), n.text)
		return
	}
	v.SetInt(value)
}

func assignUint(c *Collector, n *node, v reflect.Value, path string) {
	if !checkKind(c, n, kindNumber, path) {
		return
	}
	value, err := strconv.ParseUint(n.text, 10, v.Type().Bits())
	if err != nil {
		c.Addf(path, "must be a whole number of at least 0 and at most %d bits, not %s", v.Type().Bits(), n.text)
		return
	}
	v.SetUint(value)
}

func assignFloat(c *Collector, n *node, v reflect.Value, path string) {
	if !checkKind(c, n, kindNumber, path) {
		return
	}
	value, err := strconv.ParseFloat(n.text, v.Type().Bits())
	if err != nil {
		c.Addf(path, "is a number out of range: %s", n.text)
		return
	}
	v.SetFloat(value)
}

func assignSlice(c *Collector, n *node, v reflect.Value, path string) {
	list := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		assign(c, item, list.Index(i), ItemPath(path, i))
	}
	v.Set(list)
}

func assignMap(c *Collector, n *node, v reflect.Value, path string) {
	m := reflect.MakeMapWithSize(v.Type(), len(n.members))
	for _, member := range uniqueMembers(c, n, path) {
		value := reflect.New(v.Type().Elem()).Elem()
		assign(c, member.value, value, FieldPath(path, member.name))
		m.SetMapIndex(reflect.ValueOf(member.name).Convert(v.Type().Key()), value)
	}
	v.Set(m)
}

func assignStruct(c *Collector, n *node, v reflect.Value, path string) {
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	for _, member := range uniqueMembers(c, n, path) {
		memberPath := FieldPath(path, member.name)
		f, exists := fields[member.name]
		if !exists {
			c.Addf(memberPath, "unknown field")
			continue
		}
		seen[member.name] = true
		assign(c, member.value, v.Field(f.index), memberPath)
	}
	for _, name := range requiredNames(v.Type()) {
		if !seen[name] {
			c.Addf(FieldPath(path, name), "is required")
		}
	}
}

// uniqueMembers returns the first member with each name and records a problem
// for each further one.
func uniqueMembers(c *Collector, n *node, path string) []member {
	seen := make(map[string]bool, len(n.members))
	unique := make([]member, 0, len(n.members))
	for _, m := range n.members {
		if seen[m.name] {
			c.Addf(FieldPath(path, m.name), "duplicate key")
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
		name, required := jsonName(t.Field(i))
		if name != "" {
			fields[name] = field{index: i, required: required}
		}
	}
	return fields
}

// requiredNames returns the names of the required fields. They have the order of
// the struct, so that the order of the reported problems is always the same.
func requiredNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		name, required := jsonName(t.Field(i))
		if name != "" && required {
			names = append(names, name)
		}
	}
	return names
}

// jsonName returns the name of a field in the document and whether the field is
// required. The name is empty if the field is not part of the document.
func jsonName(f reflect.StructField) (string, bool) {
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
