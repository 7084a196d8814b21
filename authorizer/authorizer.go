// Package authorizer decides which partner may make which change.
//
// Each edit needs approvals: a partner approves by its operators' token, as the
// author of the change or by consenting to it. The rules are in
// docs/design/acceptance.md.
package authorizer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"fmt"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/versioner"
)

// Rule names why an approval is needed.
type Rule string

// The rules. An edit may need approvals by several of them.
const (
	// RuleOwn: an entry belongs to its partner.
	RuleOwn Rule = "own-entry"
	// RuleShared: a shared default needs a second partner.
	RuleShared Rule = "shared-default"
	// RuleShare: a lower share needs the partner's approval.
	RuleShare Rule = "lower-share"
	// RuleService: a route to another partner's service needs its approval.
	RuleService Rule = "foreign-service"
	// RuleCapture: a route that takes requests from another partner's route
	// needs its approval.
	RuleCapture Rule = "captured-route"
)

// Refusal is one approval that a change lacks.
type Refusal struct {
	Key  versioner.Key `json:"key"`
	Rule Rule          `json:"rule"`
	// Partner is whose approval is missing; "" means any second partner's.
	Partner string `json:"partner,omitempty"`
	Reason  string `json:"reason"`
}

// RefusedError reports a change without the approvals that it needs.
type RefusedError struct {
	// Author is the partner who wants the change.
	Author   string
	Refusals []Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	lines := make([]string, len(e.Refusals))
	for i, r := range e.Refusals {
		lines[i] = fmt.Sprintf("%s: %s: %s", r.Key, r.Rule, r.Reason)
	}
	return strings.Join(lines, "\n")
}

// UnauthenticatedError reports a token that is missing or not known.
type UnauthenticatedError struct {
	// Role is whose token it is, "author" or "consent".
	Role string
	// Missing says that there was no token at all.
	Missing bool
}

// Error implements error.
func (e *UnauthenticatedError) Error() string {
	if e.Missing {
		return "a partner's token is required"
	}
	return fmt.Sprintf("the %s token belongs to no partner", e.Role)
}

// Authorizer is the policy of one daemon. The zero value works; it lets anyone
// make changes until the first partner has a token.
type Authorizer struct {
	// BootstrapSHA256 is the hexadecimal SHA-256 of the token that makes changes
	// until the first partner has a token; "" means that none is needed.
	BootstrapSHA256 string
	Counters        Counters
}

// Counters count refusals. The zero value works.
type Counters struct {
	// Unauthenticated counts tokens that are missing or not known.
	Unauthenticated expvar.Int
	// Unauthorized counts changes and plans that lack approvals.
	Unauthorized expvar.Int
}

var _ acceptor.Policy = (*Authorizer)(nil)

// HashToken returns the hexadecimal SHA-256 of a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns the partner whose token it is.
func Identify(doc *versioner.Document, token string) (string, bool) {
	hash := HashToken(token)
	found := ""
	for _, e := range doc.Entries {
		if e.Partner == nil || e.Partner.TokenSHA256 == "" {
			continue
		}
		if subtle.ConstantTimeCompare([]byte(hash), []byte(e.Partner.TokenSHA256)) == 1 {
			found = e.Key.Name
		}
	}
	return found, found != ""
}

// Authorize implements acceptor.Policy. It sets the change's partner.
func (a *Authorizer) Authorize(change *acceptor.Change, from, to *versioner.Document) error {
	if !hasTokens(from) {
		return a.bootstrap(change)
	}
	author, err := a.identify(from, change.Token, "author")
	if err != nil {
		return err
	}
	change.Audit.Partner = author
	approvals := []string{author}
	for _, token := range change.Consents {
		partner, err := a.identify(from, token, "consent")
		if err != nil {
			return err
		}
		approvals = append(approvals, partner)
	}
	if refusals := missing(Requirements(from, to), from, author, approvals); len(refusals) > 0 {
		a.Counters.Unauthorized.Add(1)
		return &RefusedError{Author: author, Refusals: refusals}
	}
	return nil
}

func (a *Authorizer) bootstrap(change *acceptor.Change) error {
	if a.BootstrapSHA256 == "" {
		return nil
	}
	hash := HashToken(change.Token)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(a.BootstrapSHA256)) == 1 {
		return nil
	}
	a.Counters.Unauthenticated.Add(1)
	return &UnauthenticatedError{Role: "author", Missing: change.Token == ""}
}

func (a *Authorizer) identify(doc *versioner.Document, token, role string) (string, error) {
	partner, ok := Identify(doc, token)
	if !ok {
		a.Counters.Unauthenticated.Add(1)
		return "", &UnauthenticatedError{Role: role, Missing: token == ""}
	}
	return partner, nil
}

func hasTokens(doc *versioner.Document) bool {
	return slices.ContainsFunc(doc.Entries, func(e versioner.Entry) bool {
		return e.Partner != nil && e.Partner.TokenSHA256 != ""
	})
}

// missing returns the requirements that the approvals do not meet. A partner
// without a token cannot approve; any second partner stands in for it.
func missing(requirements []Refusal, doc *versioner.Document, author string, approvals []string) []Refusal {
	voters := withTokens(doc)
	second := len(voters) < 2 || slices.ContainsFunc(approvals, func(p string) bool { return p != author })
	var refusals []Refusal
	for _, r := range requirements {
		if r.Partner != "" && !slices.Contains(voters, r.Partner) {
			r.Partner = ""
		}
		if r.Partner == "" && second || slices.Contains(approvals, r.Partner) {
			continue
		}
		refusals = append(refusals, r)
	}
	return refusals
}

func withTokens(doc *versioner.Document) []string {
	var names []string
	for _, e := range doc.Entries {
		if e.Partner != nil && e.Partner.TokenSHA256 != "" {
			names = append(names, e.Key.Name)
		}
	}
	return names
}
