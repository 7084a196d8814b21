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

// Edits is the content of one file.
//
// Invariant: Upserts is sorted by key, and no key is named twice.
type Edits struct {
	// BaseVersion is the version that the author looked at; 0 means the newest.
	BaseVersion versioner.Version
	Upserts     []versioner.Entry
	Deletes     []versioner.Key

	file *decoder.File
}

type file struct {
	BaseVersion versioner.Version              `toml:"base-version,omitempty"`
	Delete      []string                       `toml:"delete,omitempty"`
	Fleet       *versioner.Fleet               `toml:"fleet,omitempty"`
	Partner     map[string]versioner.Partner   `toml:"partner,omitempty"`
	Class       map[string]versioner.Class     `toml:"class,omitempty"`
	Service     map[string]versioner.Service   `toml:"service,omitempty"`
	Route       map[string]versioner.Route     `toml:"route,omitempty"`
	Exception   map[string]versioner.Exception `toml:"exception,omitempty"`
}

var kinds = []versioner.Kind{
	versioner.KindFleet, versioner.KindPartner, versioner.KindClass,
	versioner.KindService, versioner.KindRoute, versioner.KindException,
}

// Parse reads the edits of the file called name, and checks each entry by
// itself. It fails with a *decoder.InvalidError that holds every problem found.
func Parse(name string, b []byte) (*Edits, error) {
	var in file
	f := decoder.Decode(name, b, &in)
	edits := &Edits{BaseVersion: in.BaseVersion, Upserts: in.entries(), file: f}
	for _, s := range in.Delete {
		edits.delete(f, s)
	}
	edits.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return edits, nil
}

// delete adds the entry that s names to the deletions.
func (e *Edits) delete(f *decoder.File, s string) {
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

// check notes what is wrong with each entry by itself.
func (e *Edits) check(f *decoder.File) {
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
		if !unset[place(p)] {
			f.Add(place(p), "%s", p.Message)
		}
	}
}

// Locate returns the problems of entries with their places in the file. The
// place of an entry that the file does not hold is the file's begin.
func (e *Edits) Locate(invalid *validator.InvalidError) error {
	f := e.file.Blank()
	for _, p := range invalid.Problems {
		f.Add(place(p), "%s", p.Message)
	}
	return f.Err()
}

// place returns the key of the file that a problem is about.
func place(p validator.Problem) string {
	path := p.Key.String()
	if p.Key.Kind == versioner.KindFleet {
		path = string(versioner.KindFleet)
	}
	if p.Field == "" {
		return path
	}
	return path + "." + p.Field
}

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
	for name, v := range f.Exception {
		add(versioner.KindException, name, versioner.Entry{Exception: &v})
	}
	slices.SortFunc(entries, func(a, b versioner.Entry) int { return a.Key.Compare(b.Key) })
	return entries
}
