// Package validator decides whether a document may be accepted and applied.
//
// The acceptor and every daemon run the same checks, so that what is accepted
// can be applied.
package validator

import (
	"errors"
	"fmt"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// Problem is one fault of a document.
type Problem struct {
	Key     versioner.Key `json:"key"`
	Field   string        `json:"field"`
	Message string        `json:"message"`
}

// String returns the problem on one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s: %s", p.Key, p.Field, p.Message) }

// InvalidError holds every problem of a document.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Check returns nil or an *InvalidError with every problem found.
func Check(doc *versioner.Document) error {
	c := checker{doc: doc, references: true}
	var malformed *versioner.InvalidDocumentError
	if errors.As(doc.CheckInvariants(), &malformed) {
		c.add(malformed.Key, "entry", "%s", malformed.Message)
		return c.err()
	}
	c.entries()
	c.shares()
	c.tokens()
	c.routes()
	c.exceptions()
	c.reservations()
	return c.err()
}

// CheckEntries checks each entry by itself. References to entries that are not
// there are let pass, so that a file of edits can be checked alone.
func CheckEntries(entries []versioner.Entry) error {
	c := checker{doc: &versioner.Document{Entries: entries}}
	c.entries()
	return c.err()
}

type checker struct {
	doc *versioner.Document
	// references says that every reference must be closed.
	references bool
	problems   []Problem
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: c.problems}
}

func (c *checker) add(k versioner.Key, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: k, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) entries() {
	if n := len(c.doc.Entries); n > maxEntries {
		c.add(versioner.Key{}, "entries", "must be at most %d, got %d", maxEntries, n)
		return
	}
	for _, e := range c.doc.Entries {
		c.entry(e)
	}
}

func (c *checker) entry(e versioner.Entry) {
	c.name(e.Key, "name", e.Key.Name)
	switch {
	case e.Fleet != nil:
		c.oneOf(e.Key, "name", e.Key.Name, []string{versioner.FleetName})
		c.settings(e)
	case e.Class != nil:
		c.oneOf(e.Key, "name", e.Key.Name, classes)
		c.settings(e)
	case e.Partner != nil:
		c.partner(e.Key, e.Partner)
	case e.Service != nil:
		c.service(e.Key, e.Service)
	case e.Route != nil:
		c.route(e.Key, e.Route)
	case e.Exception != nil:
		c.exception(e.Key, e.Exception)
	}
}

// settings checks the numbers that fleet and class entries set.
func (c *checker) settings(e versioner.Entry) {
	for _, s := range versioner.Settings() {
		value := s.ValueIn(e)
		if value == nil {
			continue
		}
		if message, ok := s.Check(*value); !ok {
			c.add(e.Key, s.Field(), "%s", message)
		}
	}
}

func (c *checker) reference(k versioner.Key, field string, kind versioner.Kind, name string) {
	if name == "" {
		c.add(k, field, "is required")
		return
	}
	if !c.references {
		return
	}
	if _, ok := c.doc.Find(versioner.Key{Kind: kind, Name: name}); !ok {
		c.add(k, field, "names the %s %q, which does not exist", kind, name)
	}
}
