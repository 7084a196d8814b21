// Package planner computes the effects of a configuration change before it is
// made.
//
// It compares two documents and reports, for each partner, the services, routes,
// settings and exceptions that the change affects. Operators see the result as a
// plan. Package authorizer decides whether the change is allowed.
package planner

import (
	"cmp"
	"slices"

	"bambooweir.example/bambooweir/versioner"
)

// Action is what an edit does to an entry.
type Action string

// The actions of an edit.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
)

// Edit is one entry that differs between two documents.
type Edit struct {
	Key    versioner.Key `json:"key"`
	Action Action        `json:"action"`
	// Before and After hold the entry before and after the edit; nil when it does
	// not exist.
	Before *versioner.Entry `json:"before,omitempty"`
	After  *versioner.Entry `json:"after,omitempty"`
}

// SettingChange is a setting that changes within a scope.
type SettingChange struct {
	Setting string `json:"setting"`
	// Scope limits where the setting changes; the zero value means the whole fleet.
	Scope versioner.Scope `json:"scope"`
	From  int             `json:"from"`
	To    int             `json:"to"`
}

// ExceptionWithDefault is an exception with the default that it overrides.
type ExceptionWithDefault struct {
	Name      string              `json:"name"`
	Exception versioner.Exception `json:"exception"`
	// Default is the fleet-wide value of the exception's setting.
	Default int `json:"default"`
}

// Impact lists what a change affects for one partner.
type Impact struct {
	Partner  string          `json:"partner"`
	Services []string        `json:"services,omitempty"`
	Routes   []string        `json:"routes,omitempty"`
	Settings []SettingChange `json:"settings,omitempty"`
	// Exceptions holds the exceptions that affect the partner and that either
	// override a default in Settings or are edited by the change itself.
	Exceptions []ExceptionWithDefault `json:"exceptions,omitempty"`
}

// Plan is the set of edits of a change and their impacts on the partners.
type Plan struct {
	From  versioner.Version `json:"from"`
	To    versioner.Version `json:"to"`
	Edits []Edit            `json:"edits"`
	// Partners holds the impacts on the affected partners, sorted by name.
	Partners []Impact `json:"partners"`
}

// Compare returns the entries that differ as edits, sorted by key.
func Compare(from, to *versioner.Document) []Edit {
	var edits []Edit
	for _, e := range from.Entries {
		after, ok := to.Find(e.Key)
		switch {
		case !ok:
			edits = append(edits, Edit{Key: e.Key, Action: ActionDelete, Before: &e})
		case !after.EqualValue(e):
			edits = append(edits, Edit{Key: e.Key, Action: ActionUpdate, Before: &e, After: &after})
		}
	}
	for _, e := range to.Entries {
		if _, ok := from.Find(e.Key); !ok {
			edits = append(edits, Edit{Key: e.Key, Action: ActionCreate, After: &e})
		}
	}
	slices.SortFunc(edits, func(a, b Edit) int { return a.Key.Compare(b.Key) })
	return edits
}

// Make returns the plan for the change from one document to the other.
func Make(from, to *versioner.Document) *Plan {
	p := &Plan{From: from.Version, To: to.Version, Edits: Compare(from, to), Partners: []Impact{}}
	b := planBuilder{from: from, to: to, impacts: make(map[string]*Impact)}
	for _, e := range p.Edits {
		b.addEdit(e)
	}
	b.addChangedDefaults()
	for _, impact := range b.impacts {
		impact.normalize()
		p.Partners = append(p.Partners, *impact)
	}
	slices.SortFunc(p.Partners, func(a, b Impact) int { return cmp.Compare(a.Partner, b.Partner) })
	return p
}

// Exceptions returns every exception of the document with the default that it
// overrides.
func Exceptions(doc *versioner.Document) []ExceptionWithDefault {
	exceptions := []ExceptionWithDefault{}
	for _, e := range doc.Entries {
		if e.Exception != nil {
			exceptions = append(exceptions, withDefault(doc, e))
		}
	}
	return exceptions
}

// withDefault returns the exception of entry e with the default that it overrides.
func withDefault(doc *versioner.Document, e versioner.Entry) ExceptionWithDefault {
	d := ExceptionWithDefault{Name: e.Key.Name, Exception: *e.Exception}
	if s, ok := versioner.FindSetting(e.Exception.Setting); ok {
		d.Default = s.FleetWide(doc)
	}
	return d
}
