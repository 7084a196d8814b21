// Package validator checks whether a configuration document is valid.
//
// The acceptor runs the checks before it accepts a document, and every daemon runs
// the same checks before it applies one, so that what is accepted can be applied.
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

// InvalidError reports an invalid document, with all of its problems.
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
func Check(doc *versioner.Document) error { return CheckNext(nil, doc) }

// CheckNext is Check for a document that follows one without problems, or nil. It does not
// check the tenants again if both documents share them: a change of another entry would
// otherwise cost a daemon the more time the more tenants there are.
func CheckNext(valid, doc *versioner.Document) error {
	c := checker{doc: doc, requiresReferences: true}
	var malformed *versioner.InvalidDocumentError
	if errors.As(doc.CheckInvariants(), &malformed) {
		c.addProblem(malformed.Key, "entry", "%s", malformed.Message)
		return c.result()
	}
	c.skipsTenants = valid != nil && doc.SharesTenants(valid)
	c.checkEntries()
	c.checkShares()
	c.checkTokens()
	if !c.skipsTenants {
		c.checkTenantKeys()
	}
	c.checkRoutes()
	c.checkExceptions()
	c.checkReservations()
	return c.result()
}

// CheckEntries checks each entry by itself. It does not check that referenced
// entries exist, so that a file of edits can be checked alone.
func CheckEntries(entries []versioner.Entry) error {
	c := checker{doc: &versioner.Document{Entries: entries}}
	c.checkEntries()
	return c.result()
}

// checker collects the problems of a document.
type checker struct {
	doc *versioner.Document
	// requiresReferences reports whether every referenced entry must exist.
	requiresReferences bool
	// skipsTenants reports whether the tenants are known to have no problems.
	skipsTenants bool
	problems     []Problem
}

// result returns an *InvalidError with the problems found, or nil.
func (c *checker) result() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: c.problems}
}

func (c *checker) addProblem(k versioner.Key, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: k, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkEntries() {
	tenants := 0
	for _, e := range c.doc.Entries {
		if e.Tenant != nil {
			tenants++
		}
	}
	if n := len(c.doc.Entries) - tenants; n > maxEntries {
		c.addProblem(versioner.Key{}, "entries", "must be at most %d, got %d", maxEntries, n)
		return
	}
	if tenants > maxTenants {
		c.addProblem(versioner.Key{}, "tenants", "must be at most %d, got %d", maxTenants, tenants)
		return
	}
	for _, e := range c.doc.Entries {
		if e.Tenant == nil || !c.skipsTenants {
			c.checkEntry(e)
		}
	}
}

func (c *checker) checkEntry(e versioner.Entry) {
	c.checkName(e.Key, "name", e.Key.Name)
	switch {
	case e.Fleet != nil:
		c.checkOneOf(e.Key, "name", e.Key.Name, []string{versioner.FleetName})
		c.checkSettings(e)
	case e.Class != nil:
		c.checkOneOf(e.Key, "name", e.Key.Name, classes)
		c.checkSettings(e)
	case e.Partner != nil:
		c.checkPartner(e.Key, e.Partner)
	case e.Service != nil:
		c.checkService(e.Key, e.Service)
	case e.Route != nil:
		c.checkRoute(e.Key, e.Route)
	case e.Tenant != nil:
		c.checkTenant(e.Key, e.Tenant)
	case e.Exception != nil:
		c.checkException(e.Key, e.Exception)
	}
}

// checkSettings checks the settings that a fleet or class entry sets.
func (c *checker) checkSettings(e versioner.Entry) {
	for _, s := range versioner.Settings() {
		value := s.ValueIn(e)
		if value == nil {
			continue
		}
		if message, ok := s.Check(*value); !ok {
			c.addProblem(e.Key, s.Field(), "%s", message)
		}
	}
}

// checkReference checks that a field names an entry of the kind and, if
// requiresReferences is set, that the entry exists.
func (c *checker) checkReference(k versioner.Key, field string, kind versioner.Kind, name string) {
	if name == "" {
		c.addProblem(k, field, "is required")
		return
	}
	if !c.requiresReferences {
		return
	}
	if _, ok := c.doc.Find(versioner.Key{Kind: kind, Name: name}); !ok {
		c.addProblem(k, field, "names the %s %q, which does not exist", kind, name)
	}
}
