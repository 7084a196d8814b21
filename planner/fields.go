package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// FieldChange is one field of an entry that differs. The values are in the
// words of the files; "" means that the field is not set.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// String returns the change on one line.
func (f FieldChange) String() string {
	switch {
	case f.From == "":
		return fmt.Sprintf("%s %s", f.Field, f.To)
	case f.To == "":
		return fmt.Sprintf("%s %s -> unset", f.Field, f.From)
	}
	return fmt.Sprintf("%s %s -> %s", f.Field, f.From, f.To)
}

// Changes returns the fields that the edit changes, by name.
func (e Edit) Changes() []FieldChange {
	before, after := Fields(e.Before), Fields(e.After)
	names := slices.Sorted(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []FieldChange
	for _, name := range names {
		if before[name] != after[name] {
			changes = append(changes, FieldChange{Field: name, From: before[name], To: after[name]})
		}
	}
	return changes
}

// Fields returns the fields that an entry sets, in the words of the files. The
// author and time of an exception are left out.
func Fields(e *versioner.Entry) map[string]string {
	fields := make(map[string]string)
	if e == nil {
		return fields
	}
	raw := make(map[string]json.RawMessage)
	b, err := json.Marshal(value(e))
	if err != nil || json.Unmarshal(b, &raw) != nil {
		return fields
	}
	for name, v := range raw {
		if e.Exception != nil && (name == "author" || name == "at") {
			continue
		}
		fields[name] = text(v)
	}
	return fields
}

func text(raw json.RawMessage) string {
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return "[" + strings.Join(list, " ") + "]"
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		if strings.ContainsAny(s, " \t\n") || s == "" {
			return fmt.Sprintf("%q", s)
		}
		return s
	}
	return string(raw)
}

// value returns the value that the entry holds.
func value(e *versioner.Entry) any {
	switch {
	case e.Fleet != nil:
		return e.Fleet
	case e.Partner != nil:
		return e.Partner
	case e.Class != nil:
		return e.Class
	case e.Service != nil:
		return e.Service
	case e.Route != nil:
		return e.Route
	}
	return e.Exception
}

// DeltaEdits returns the edits of an accepted change, by key.
func DeltaEdits(d versioner.Delta) []Edit {
	before := new(versioner.Document).With(d.Previous, nil)
	after := new(versioner.Document).With(d.Upserts, nil)
	return Compare(before, after)
}
