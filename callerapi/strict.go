package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxJSONDepth bounds the nesting of objects and arrays in a message.
const maxJSONDepth = 16

// decodeStrictJSON decodes one JSON object. Unknown fields, repeated fields and trailing
// data are errors, so that no misspelt field is ignored.
func decodeStrictJSON(data []byte, v any) error {
	if err := checkDuplicates(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON object")
	}
	return nil
}

// checkDuplicates returns an error for two kinds of input that encoding/json accepts: a
// field that appears twice, and a message that is not an object.
func checkDuplicates(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	first, err := d.Token()
	if err != nil {
		return err
	}
	if first != json.Delim('{') {
		return errors.New("not a JSON object")
	}
	return checkObject(d, 1)
}

func checkObject(d *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		// encoding/json ignores the case of field names.
		folded := string(bytes.ToLower([]byte(name)))
		if seen[folded] {
			return fmt.Errorf("field %q appears twice", name)
		}
		seen[folded] = true
		if err := checkValue(d, depth); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func checkValue(d *json.Decoder, depth int) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	if depth >= maxJSONDepth {
		return errors.New("nested too deeply")
	}
	switch token {
	case json.Delim('{'):
		return checkObject(d, depth+1)
	case json.Delim('['):
		for d.More() {
			if err := checkValue(d, depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
		return err
	}
	return nil
}
