package strictjson

import (
	"strings"
	"testing"
)

type inner struct {
	Kind  string   `json:"kind"`
	Count int      `json:"count,omitempty"`
	Rate  float64  `json:"rate,omitempty"`
	Small uint8    `json:"small,omitempty"`
	Tags  []string `json:"tags,omitempty"`
}

type outer struct {
	Name  string           `json:"name"`
	Items []inner          `json:"items"`
	Named map[string]inner `json:"named,omitempty"`
	Flag  *bool            `json:"flag,omitempty"`
	Skip  string           `json:"-"`
}

// Guards against accepting documents that encoding/json accepts although they
// contain a mistake of the operator, and against reports without the path of the
// field.
func TestDecodeNamesInvalidField(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"broken":          {"{\n  \"name\": ,}", "broken JSON at line 2, column 11"},
		"cut off":         {`{"name": "a"`, "broken JSON at line 1, column 13"},
		"empty":           {``, "broken JSON at line 1, column 1"},
		"bad encoding":    {"{\"name\": \"\xff\"}", "broken JSON at line 1, column 11: invalid UTF-8"},
		"trailing":        {"{\"name\":\"a\",\"items\":[]}\n x", "trailing data at line 2, column 2"},
		"second value":    {`{"name":"a","items":[]}{}`, "trailing data at line 1, column 24"},
		"unknown":         {`{"name":"a","items":[{"kind":"k","colour":1}]}`, "items[0].colour: unknown field"},
		"other case":      {`{"Name":"a","items":[]}`, "Name: unknown field"},
		"hidden field":    {`{"name":"a","items":[],"Skip":"x"}`, "Skip: unknown field"},
		"duplicate":       {`{"name":"a","items":[{"kind":"k","kind":"l"}]}`, "items[0].kind: duplicate key"},
		"duplicate map":   {`{"name":"a","items":[],"named":{"x":{"kind":"k"},"x":{"kind":"k"}}}`, "named.x: duplicate key"},
		"missing":         {`{"name":"a","items":[{"kind":"k"},{}]}`, "items[1].kind: is required"},
		"wrong type":      {`{"name":1,"items":[]}`, "name: must be a string, not a number"},
		"null":            {`{"name":"a","items":null}`, "items: must be an array, not null"},
		"null optional":   {`{"name":"a","items":[],"flag":null}`, "flag: must be a boolean, not null"},
		"fraction":        {`{"name":"a","items":[{"kind":"k","count":1.5}]}`, "items[0].count: must be a whole number"},
		"negative":        {`{"name":"a","items":[{"kind":"k","small":-1}]}`, "items[0].small: must be a whole number"},
		"overflow":        {`{"name":"a","items":[{"kind":"k","small":256}]}`, "items[0].small: must be a whole number"},
		"float range":     {`{"name":"a","items":[{"kind":"k","rate":1e999}]}`, "items[0].rate: is a number out of range"},
		"nested list":     {`{"name":"a","items":[{"kind":"k","tags":["x",2]}]}`, "items[0].tags[1]: must be a string"},
		"not an object":   {`[]`, "must be an object, not an array"},
		"several at once": {`{"items":[{"kind":1}],"x":2}`, "items[0].kind: must be a string, not a number\nx: unknown field\nname: is required"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := Decode([]byte(test.text), &outer{})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

// Guards against losing defaults and against storing values in the wrong field.
func TestDecodeFillsFieldsAndKeepsDefaults(t *testing.T) {
	v := outer{Skip: "kept", Named: map[string]inner{"default": {}}}
	text := `{"name":"a","items":[{"kind":"k","count":-3,"rate":0.5,"small":255,"tags":["x"]}],"flag":true}`
	if err := Decode([]byte(text), &v); err != nil {
		t.Fatal(err)
	}
	got := v.Items[0]
	if v.Name != "a" || v.Skip != "kept" || len(v.Named) != 1 || !*v.Flag ||
		got.Count != -3 || got.Rate != 0.5 || got.Small != 255 || got.Tags[0] != "x" {
		t.Errorf("got %+v", v)
	}
}

// Guards against an error text that grows without bound with the number of
// problems in a document.
func TestProblemsAreBounded(t *testing.T) {
	text := `{"name":"a","items":[` + strings.Repeat("1,", 5000) + `1]}`
	err := Decode([]byte(text), &outer{})
	if lines := strings.Count(err.Error(), "\n") + 1; lines != maxProblems+1 {
		t.Errorf("%d lines", lines)
	}
	if !strings.HasSuffix(err.Error(), "4901 more problems") {
		t.Errorf("got %q", err.Error()[len(err.Error())-40:])
	}
}
