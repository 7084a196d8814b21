// Package parser reads the operators' configuration files.
//
// A file is TOML and holds edits: entries to set, by kind and name, and keys to
// delete. See docs/SETTINGS.md for the format.
package parser

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"bambooweir.example/bambooweir/versioner"
)

// Edits is the content of one file.
type Edits struct {
	// BaseVersion is the version that the author looked at; 0 means the newest.
	BaseVersion versioner.Version
	Upserts     []versioner.Entry
	Deletes     []versioner.Key
}

// Problem is one fault of a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key"`
	Want   string `json:"want"`
}

// String returns the problem as file:line:column: key: want.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Key, p.Want)
}

// InvalidError holds every problem of a file.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

type file struct {
	BaseVersion versioner.Version              `toml:"base-version"`
	Delete      []string                       `toml:"delete"`
	Fleet       *versioner.Fleet               `toml:"fleet"`
	Partner     map[string]versioner.Partner   `toml:"partner"`
	Class       map[string]versioner.Class     `toml:"class"`
	Service     map[string]versioner.Service   `toml:"service"`
	Route       map[string]versioner.Route     `toml:"route"`
	Exception   map[string]versioner.Exception `toml:"exception"`
}

// Parse reads the edits of the file called name. It fails with an *InvalidError.
func Parse(name string, b []byte) (*Edits, error) {
	var f file
	dec := toml.NewDecoder(strings.NewReader(string(b)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, &InvalidError{Problems: problems(name, err)}
	}
	edits := &Edits{BaseVersion: f.BaseVersion, Upserts: f.entries()}
	for _, s := range f.Delete {
		kind, entry, ok := strings.Cut(s, ".")
		if !ok {
			p := Problem{File: name, Line: 1, Column: 1, Key: "delete", Want: fmt.Sprintf("kind.name, got %q", s)}
			return nil, &InvalidError{Problems: []Problem{p}}
		}
		edits.Deletes = append(edits.Deletes, versioner.Key{Kind: versioner.Kind(kind), Name: entry})
	}
	return edits, nil
}

func (f *file) entries() []versioner.Entry {
	var entries []versioner.Entry
	if f.Fleet != nil {
		key := versioner.Key{Kind: versioner.KindFleet, Name: versioner.FleetName}
		entries = append(entries, versioner.Entry{Key: key, Fleet: f.Fleet})
	}
	for name, v := range f.Partner {
		entries = append(entries, versioner.Entry{Key: versioner.Key{Kind: versioner.KindPartner, Name: name}, Partner: &v})
	}
	for name, v := range f.Class {
		entries = append(entries, versioner.Entry{Key: versioner.Key{Kind: versioner.KindClass, Name: name}, Class: &v})
	}
	for name, v := range f.Service {
		entries = append(entries, versioner.Entry{Key: versioner.Key{Kind: versioner.KindService, Name: name}, Service: &v})
	}
	for name, v := range f.Route {
		entries = append(entries, versioner.Entry{Key: versioner.Key{Kind: versioner.KindRoute, Name: name}, Route: &v})
	}
	for name, v := range f.Exception {
		entries = append(entries, versioner.Entry{Key: versioner.Key{Kind: versioner.KindException, Name: name}, Exception: &v})
	}
	slices.SortFunc(entries, func(a, b versioner.Entry) int { return a.Key.Compare(b.Key) })
	return entries
}

func problems(name string, err error) []Problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var ps []Problem
		for i := range strict.Errors {
			ps = append(ps, problem(name, &strict.Errors[i], "a known key"))
		}
		return ps
	}
	var single *toml.DecodeError
	if errors.As(err, &single) {
		return []Problem{problem(name, single, single.Error())}
	}
	return []Problem{{File: name, Line: 1, Column: 1, Want: err.Error()}}
}

func problem(name string, err *toml.DecodeError, want string) Problem {
	line, column := err.Position()
	return Problem{File: name, Line: line, Column: column, Key: strings.Join(err.Key(), "."), Want: want}
}
