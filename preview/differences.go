package preview

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"bergamotstile/declaration"
	"bergamotstile/strictjson"
)

// Change says what happens to an entry.
type Change string

// The kinds of changes.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is an entry of the declaration that differs from the version in force. Entry
// is section/name, as in services/pathworks; the section deployment holds the fields of
// the declaration that are not lists.
type Difference struct {
	Entry  string `json:"entry"`
	Change Change `json:"change"`
	// Fields holds the fields of a changed entry that differ. It is empty if only the
	// order of a list does.
	Fields []FieldChange `json:"fields,omitempty"`
	// Effects says in sentences what the change does, also to work that is recorded or
	// runs already.
	Effects []string `json:"effects"`
}

// FieldChange is a field that differs. Items of lists are named in the path by what they
// declare, as in requests[proof].timeout_ms. From is missing if the field or item is new,
// and To if it is removed.
type FieldChange struct {
	Path string          `json:"path"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// compare returns the differences in the order of the sections and names. Both deployments
// have passed their checks.
func compare(current, next *declaration.Deployment) []Difference {
	from, to := current.Entries(), next.Entries()
	delta := declaration.Diff(from, to)
	names := slices.AppendSeq(slices.Clone(delta.Deletes), maps.Keys(delta.Upserts))
	slices.SortFunc(names, compareEntryNames)
	explain := newExplainer(current, next)
	differences := make([]Difference, 0, len(names))
	for _, name := range names {
		d := Difference{Entry: name, Change: ChangeChanged}
		switch {
		case from[name] == nil:
			d.Change = ChangeAdded
		case to[name] == nil:
			d.Change = ChangeRemoved
		default:
			d.Fields = fieldChanges(from[name], to[name])
		}
		d.Effects = explain.effects(d)
		differences = append(differences, d)
	}
	return differences
}

// sections are the sections of entry names in the order of a declaration.
var sections = []string{"deployment", "worker_shapes", "domains", "services", "teams", "batch_jobs", "standing_jobs"}

func compareEntryNames(a, b string) int {
	sectionA, nameA, _ := strings.Cut(a, "/")
	sectionB, nameB, _ := strings.Cut(b, "/")
	return cmp.Or(cmp.Compare(slices.Index(sections, sectionA), slices.Index(sections, sectionB)), cmp.Compare(nameA, nameB))
}

// fieldChanges returns the fields that differ between two entries in JSON.
func fieldChanges(from, to json.RawMessage) []FieldChange {
	var changes []FieldChange
	compareValues(&changes, "", decodeValue(from), decodeValue(to))
	return changes
}

func decodeValue(data json.RawMessage) any {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		panic(fmt.Sprintf("preview: entry in JSON: %v", err))
	}
	return value
}

// compareValues appends the differences of two values. nil stands for a missing value,
// since a declaration contains no null.
func compareValues(changes *[]FieldChange, path string, from, to any) {
	fromObject, ok1 := from.(map[string]any)
	toObject, ok2 := to.(map[string]any)
	if ok1 && ok2 {
		compareObjects(changes, fromObject, toObject, func(name string) string { return strictjson.FieldPath(path, name) })
		return
	}
	fromList, ok1 := from.([]any)
	toList, ok2 := to.([]any)
	if (ok1 || from == nil) && (ok2 || to == nil) && (ok1 || ok2) {
		itemPath := func(name string) string { return path + "[" + name + "]" }
		compareObjects(changes, itemsByName(fromList), itemsByName(toList), itemPath)
		return
	}
	if !reflect.DeepEqual(from, to) {
		*changes = append(*changes, FieldChange{Path: path, From: encodeValue(from), To: encodeValue(to)})
	}
}

func compareObjects(changes *[]FieldChange, from, to map[string]any, pathOf func(string) string) {
	names := slices.Collect(maps.Keys(from))
	for name := range to {
		if _, ok := from[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		compareValues(changes, pathOf(name), from[name], to[name])
	}
}

// itemsByName returns the items of a list by the first of the fields kind, domain and
// shape that they have. A second worker group of the same shape is named shape#2.
func itemsByName(list []any) map[string]any {
	items := map[string]any{}
	for i, item := range list {
		base := fmt.Sprint(i)
		object, _ := item.(map[string]any)
		for _, field := range []string{"kind", "domain", "shape"} {
			if value, ok := object[field].(string); ok {
				base = value
				break
			}
		}
		name := base
		for n := 2; items[name] != nil; n++ {
			name = fmt.Sprintf("%s#%d", base, n)
		}
		items[name] = item
	}
	return items
}

func encodeValue(value any) json.RawMessage {
	if value == nil {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("preview: value in JSON: %v", err))
	}
	return data
}
