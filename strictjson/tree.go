package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"
)

// kind is the JSON type of a value, in the words of problem reports.
type kind string

const (
	kindObject kind = "an object"
	kindArray  kind = "an array"
	kindString kind = "a string"
	kindNumber kind = "a number"
	kindBool   kind = "a boolean"
	kindNull   kind = "null"
)

// node is one value of a document. The members of an object are a list, so that
// duplicate keys can be found.
type node struct {
	kind    kind
	text    string // the value of a string or the literal of a number
	boolean bool
	items   []*node
	members []member
}

type member struct {
	name  string
	value *node
}

// parse checks the encoding and the syntax of the whole document and returns its
// root value. It returns nil if it has recorded a problem.
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

// checkEncoding checks that the document is valid UTF-8. encoding/json would
// silently replace invalid bytes.
func checkEncoding(data []byte, c *Collector) bool {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			line, column := lineAndColumn(data, offset)
			c.Addf("", "broken JSON at line %d, column %d: invalid UTF-8", line, column)
			return false
		}
		offset += size
	}
	return true
}

func checkSyntax(data []byte, c *Collector) bool {
	var document json.RawMessage
	err := json.Unmarshal(data, &document)
	if err == nil {
		return true
	}
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		c.Addf("", "broken JSON: %v", err)
		return false
	}
	line, column := lineAndColumn(data, syntaxOffset(data, syntaxErr))
	if strings.HasSuffix(syntaxErr.Error(), "after top-level value") {
		c.Addf("", "trailing data at line %d, column %d", line, column)
		return false
	}
	c.Addf("", "broken JSON at line %d, column %d: %v", line, column, syntaxErr)
	return false
}

// syntaxOffset returns the offset of the byte that caused a syntax error.
// encoding/json counts that byte as read, except at the end of the input.
func syntaxOffset(data []byte, err *json.SyntaxError) int {
	if strings.HasPrefix(err.Error(), "unexpected end") {
		return len(data)
	}
	return max(int(err.Offset)-1, 0)
}

// lineAndColumn returns the line and the column of an offset. Both are counted
// from one, the column in characters.
func lineAndColumn(data []byte, offset int) (int, int) {
	preceding := data[:min(offset, len(data))]
	line := bytes.Count(preceding, []byte("\n")) + 1
	lineStart := bytes.LastIndexByte(preceding, '\n') + 1
	return line, utf8.RuneCount(preceding[lineStart:]) + 1
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
		return &node{kind: kindBool, boolean: t}, nil
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
