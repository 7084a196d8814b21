package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// FieldChange is one field of an entry that differs. The values are written as in
// the configuration files; "" means that the field is not set.
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

// Changes returns the fields that the edit changes, sorted by name.
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

// Fields returns the fields that an entry sets, by name, with their values as in
// the configuration files. It leaves out the author and the time of an exception.
func Fields(e *versioner.Entry) map[string]string {
	fields := make(map[string]string)
	if e == nil {
		return fields
	}
	raw := make(map[string]json.RawMessage)
	b, err := json.Marshal(entryValue(e))
	if err != nil || json.Unmarshal(b, &raw) != nil {
		return fields
	}
	for name, v := range raw {
		if e.Exception != nil && (name == "author" || name == "at") {
			continue
		}
		fields[name] = formatValue(v)
	}
	return fields
}

// formatValue returns a JSON value as text: a list in brackets, a string in quotes
// only if it is empty or contains white space, and any other value as it is.
func formatValue(raw json.RawMessage) string {
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

// entryValue returns the value of the entry's kind.
func entryValue(e *versioner.Entry) any {
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
	case e.Tenant != nil:
		return e.Tenant
	}
	return e.Exception
}

// DeltaEdits returns the edits of an accepted change, sorted by key.
func DeltaEdits(d versioner.Delta) []Edit {
	before := new(versioner.Document).With(d.Previous, nil)
	after := new(versioner.Document).With(d.Upserts, nil)
	return Compare(before, after)
}
