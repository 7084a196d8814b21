// Package validator decides whether a document may be accepted and applied.
//
// The acceptor and every daemon run the same checks, so that what is accepted
// can be applied.
package validator

import (
	"fmt"
	"slices"
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

var classes = []string{
	versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan, versioner.ClassInternalRead,
}

// Check returns nil or an *InvalidError with every problem found.
func Check(doc *versioner.Document) error {
	c := checker{doc: doc}
	for _, e := range doc.Entries {
		c.entry(e)
	}
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: c.problems}
}

type checker struct {
	doc      *versioner.Document
	problems []Problem
}

func (c *checker) add(k versioner.Key, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: k, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) entry(e versioner.Entry) {
	switch {
	case e.Service != nil:
		c.reference(e.Key, "partner", versioner.KindPartner, e.Service.Partner)
	case e.Route != nil:
		c.route(e.Key, e.Route)
	case e.Exception != nil:
		c.exception(e.Key, e.Exception)
	}
}

func (c *checker) reference(k versioner.Key, field string, kind versioner.Kind, name string) {
	if name == "" {
		c.add(k, field, "is required")
		return
	}
	if _, ok := c.doc.Find(versioner.Key{Kind: kind, Name: name}); !ok {
		c.add(k, field, "names the %s %q, which does not exist", kind, name)
	}
}

func (c *checker) route(k versioner.Key, r *versioner.Route) {
	c.reference(k, "partner", versioner.KindPartner, r.Partner)
	c.reference(k, "service", versioner.KindService, r.Service)
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.add(k, "path-prefix", "must start with /, got %q", r.PathPrefix)
	}
	if !slices.Contains(classes, r.Class) {
		c.add(k, "class", "must be one of %s, got %q", strings.Join(classes, ", "), r.Class)
	}
}

func (c *checker) exception(k versioner.Key, e *versioner.Exception) {
	if strings.TrimSpace(e.Reason) == "" {
		c.add(k, "reason", "is required")
	}
	if e.Partner == "" && e.Service == "" && e.FailureDomain == "" {
		c.add(k, "partner, service, failure-domain", "at least one is required")
	}
}
