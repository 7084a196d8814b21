// Package parser reads and writes the operators' configuration files.
//
// A file is TOML and holds edits: entries to set, by kind and name, and keys to
// delete. See docs/SETTINGS.md for the format.
package parser

import (
	"errors"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// Edits is the content of one configuration file.
//
// Invariant: Upserts is sorted by key, and no key is named twice.
type Edits struct {
	// BaseVersion is the version that the author edited; 0 means the newest.
	BaseVersion versioner.Version
	Upserts     []versioner.Entry
	Deletes     []versioner.Key

	// file is the decoded file; Locate finds positions with it.
	file *decoder.File
}

// file is the TOML form of a configuration file.
type file struct {
	BaseVersion versioner.Version              `toml:"base-version,omitempty"`
	Delete      []string                       `toml:"delete,omitempty"`
	Fleet       *versioner.Fleet               `toml:"fleet,omitempty"`
	Partner     map[string]versioner.Partner   `toml:"partner,omitempty"`
	Class       map[string]versioner.Class     `toml:"class,omitempty"`
	Service     map[string]versioner.Service   `toml:"service,omitempty"`
	Route       map[string]versioner.Route     `toml:"route,omitempty"`
	Tenant      map[string]versioner.Tenant    `toml:"tenant,omitempty"`
	Exception   map[string]versioner.Exception `toml:"exception,omitempty"`
}

// kinds lists the kinds of entries that Delete may name.
var kinds = []versioner.Kind{
	versioner.KindFleet, versioner.KindPartner, versioner.KindClass,
	versioner.KindService, versioner.KindRoute, versioner.KindTenant,
	versioner.KindException,
}

// Parse reads the edits in the content b of the file called name, and checks each
// entry by itself. It fails with a *decoder.InvalidError that holds every problem
// found.
func Parse(name string, b []byte) (*Edits, error) {
	var in file
	f := decoder.Decode(name, b, &in)
	edits := &Edits{BaseVersion: in.BaseVersion, Upserts: in.entries(), file: f}
	for _, s := range in.Delete {
		edits.addDelete(f, s)
	}
	edits.checkUpserts(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return edits, nil
}

// addDelete adds the entry that s names as kind.name to the deletions.
func (e *Edits) addDelete(f *decoder.File, s string) {
	kind, name, ok := strings.Cut(s, ".")
	k := versioner.Key{Kind: versioner.Kind(kind), Name: name}
	switch {
	case !ok || name == "" || !slices.Contains(kinds, k.Kind):
		f.Add("delete", "must name entries as kind.name, got %.80q", s)
	case slices.Contains(e.Deletes, k):
		f.Add("delete", "names %s twice", k)
	case slices.ContainsFunc(e.Upserts, func(u versioner.Entry) bool { return u.Key == k }):
		f.Add("delete", "names %s, which the file also sets", k)
	default:
		e.Deletes = append(e.Deletes, k)
	}
}

// checkUpserts adds the problems of each entry by itself to the file. An exception's
// value is a plain number, so only the file shows whether it was set; a value that is
// missing gets no other problem.
func (e *Edits) checkUpserts(f *decoder.File) {
	unset := make(map[string]bool)
	for _, u := range e.Upserts {
		if key := u.Key.String() + ".value"; u.Exception != nil && !f.Has(key) {
			f.Add(key, "is required")
			unset[key] = true
		}
	}
	var invalid *validator.InvalidError
	if !errors.As(validator.CheckEntries(e.Upserts), &invalid) {
		return
	}
	for _, p := range invalid.Problems {
		if !unset[problemKey(p)] {
			f.Add(problemKey(p), "%s", p.Message)
		}
	}
}

// Locate returns the problems of entries with their positions in the file. An entry
// that the file does not contain has the position of the file's start.
func (e *Edits) Locate(invalid *validator.InvalidError) error {
	f := e.file.WithoutProblems()
	for _, p := range invalid.Problems {
		f.Add(problemKey(p), "%s", p.Message)
	}
	return f.Err()
}

// problemKey returns the key in the file that a problem is about.
func problemKey(p validator.Problem) string {
	path := p.Key.String()
	if p.Key.Kind == versioner.KindFleet {
		path = string(versioner.KindFleet)
	}
	if p.Field == "" {
		return path
	}
	return path + "." + p.Field
}

// entries returns the entries that the file sets, sorted by key.
func (f *file) entries() []versioner.Entry {
	var entries []versioner.Entry
	add := func(kind versioner.Kind, name string, e versioner.Entry) {
		e.Key = versioner.Key{Kind: kind, Name: name}
		entries = append(entries, e)
	}
	if f.Fleet != nil {
		add(versioner.KindFleet, versioner.FleetName, versioner.Entry{Fleet: f.Fleet})
	}
	for name, v := range f.Partner {
		add(versioner.KindPartner, name, versioner.Entry{Partner: &v})
	}
	for name, v := range f.Class {
		add(versioner.KindClass, name, versioner.Entry{Class: &v})
	}
	for name, v := range f.Service {
		add(versioner.KindService, name, versioner.Entry{Service: &v})
	}
	for name, v := range f.Route {
		add(versioner.KindRoute, name, versioner.Entry{Route: &v})
	}
	for name, v := range f.Tenant {
		add(versioner.KindTenant, name, versioner.Entry{Tenant: &v})
	}
	for name, v := range f.Exception {
		add(versioner.KindException, name, versioner.Entry{Exception: &v})
	}
	slices.SortFunc(entries, func(a, b versioner.Entry) int { return a.Key.Compare(b.Key) })
	return entries
}
