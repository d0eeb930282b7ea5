package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"
)

// kind is the JSON type of a value.
type kind string

const (
	kindObject kind = "an object"
	kindArray  kind = "an array"
	kindString kind = "a string"
	kindNumber kind = "a number"
	kindBool   kind = "a boolean"
	kindNull   kind = "null"
)

// node is one value of a document. Unlike a Go map it keeps repeated keys.
type node struct {
	kind    kind
	text    string
	truth   bool
	items   []*node
	members []member
}

type member struct {
	name  string
	value *node
}

// parse checks the syntax of the whole document and returns its tree.
func parse(data []byte, c *Collector) *node {
	if !checkEncoding(data, c) || !checkSyntax(data, c) {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	n, err := readValue(d)
	if err != nil {
		c.Addf("", "broken JSON: %v", err)
		return nil
	}
	return n
}

// checkEncoding refuses bytes that encoding/json would replace silently.
func checkEncoding(data []byte, c *Collector) bool {
	for at := 0; at < len(data); {
		r, size := utf8.DecodeRune(data[at:])
		if r == utf8.RuneError && size == 1 {
			line, column := position(data, at)
			c.Addf("", "broken JSON at line %d, column %d: invalid UTF-8", line, column)
			return false
		}
		at += size
	}
	return true
}

func checkSyntax(data []byte, c *Collector) bool {
	var whole json.RawMessage
	err := json.Unmarshal(data, &whole)
	if err == nil {
		return true
	}
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		c.Addf("", "broken JSON: %v", err)
		return false
	}
	line, column := position(data, syntaxOffset(data, syntax))
	if strings.HasSuffix(syntax.Error(), "after top-level value") {
		c.Addf("", "trailing data at line %d, column %d", line, column)
		return false
	}
	c.Addf("", "broken JSON at line %d, column %d: %v", line, column, syntax)
	return false
}

// syntaxOffset returns the offset of the byte at fault. encoding/json counts
// that byte as read, except at the end of the input.
func syntaxOffset(data []byte, err *json.SyntaxError) int {
	if strings.HasPrefix(err.Error(), "unexpected end") {
		return len(data)
	}
	return max(int(err.Offset)-1, 0)
}

// position returns the line and column of an offset, both counted from one,
// the column in characters.
func position(data []byte, offset int) (int, int) {
	before := data[:min(offset, len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	start := bytes.LastIndexByte(before, '\n') + 1
	return line, utf8.RuneCount(before[start:]) + 1
}

func readValue(d *json.Decoder) (*node, error) {
	token, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return readObject(d)
		}
		return readArray(d)
	case string:
		return &node{kind: kindString, text: t}, nil
	case json.Number:
		return &node{kind: kindNumber, text: t.String()}, nil
	case bool:
		return &node{kind: kindBool, truth: t}, nil
	}
	return &node{kind: kindNull}, nil
}

func readObject(d *json.Decoder) (*node, error) {
	n := &node{kind: kindObject}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, err
		}
		value, err := readValue(d)
		if err != nil {
			return nil, err
		}
		name, _ := key.(string)
		n.members = append(n.members, member{name: name, value: value})
	}
	_, err := d.Token()
	return n, err
}

func readArray(d *json.Decoder) (*node, error) {
	n := &node{kind: kindArray}
	for d.More() {
		item, err := readValue(d)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, item)
	}
	_, err := d.Token()
	return n, err
}
