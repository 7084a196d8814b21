// Package authorizer decides which partner may make which change.
//
// Each edit needs approvals. A partner approves a change when the token of its
// operators comes with the change, as the author's token or as a consent. The rules
// are in docs/design/acceptance.md.
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

// Rule is a reason why an approval is needed.
type Rule string

// The rules. An edit may need approvals by several of them.
const (
	// RuleOwn requires the approval of the partner to whom an entry belongs.
	RuleOwn Rule = "own-entry"
	// RuleShared requires the approval of any second partner for an edit that
	// affects all partners, such as that of a shared default or a raised share.
	RuleShared Rule = "shared-default"
	// RuleShare requires the approval of the partner whose share is lowered.
	RuleShare Rule = "lower-share"
	// RuleService requires the approval of the partner to whose service another
	// partner's route leads.
	RuleService Rule = "foreign-service"
	// RuleCapture requires the approval of the partner from whose route another
	// partner's route would take requests.
	RuleCapture Rule = "captured-route"
)

// Refusal is one approval that a change needs and, in a RefusedError, lacks.
type Refusal struct {
	Key  versioner.Key `json:"key"`
	Rule Rule          `json:"rule"`
	// Partner is the partner whose approval is missing; "" means that the approval
	// of any second partner is missing.
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
	// Role is what the token was sent as, "author" or "consent".
	Role string
	// Missing reports whether no token was sent at all.
	Missing bool
}

// Error implements error.
func (e *UnauthenticatedError) Error() string {
	if e.Missing {
		return "a partner's token is required"
	}
	return fmt.Sprintf("the %s token belongs to no partner", e.Role)
}

// Authorizer is the policy of one daemon. The zero value is ready to use; it allows
// every change until the first partner has a token.
type Authorizer struct {
	// BootstrapSHA256 is the hexadecimal SHA-256 of the token that changes need
	// until the first partner has a token; "" means that they need none.
	BootstrapSHA256 string
	Counters        Counters
}

// Counters counts refusals. The zero value is ready to use.
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

// Identify returns the partner to whom a token belongs, and whether there is one.
// Comparisons take constant time, so that response times reveal nothing about the
// hashes.
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

// Authorize implements acceptor.Policy. It sets the change's partner to the author's
// unless no partner has a token yet.
func (a *Authorizer) Authorize(change *acceptor.Change, from, to *versioner.Document) error {
	if !hasTokens(from) {
		return a.authorizeBootstrap(change)
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
	if refusals := unmet(Requirements(from, to), from, author, approvals); len(refusals) > 0 {
		a.Counters.Unauthorized.Add(1)
		return &RefusedError{Author: author, Refusals: refusals}
	}
	return nil
}

// authorizeBootstrap checks a change while no partner has a token.
func (a *Authorizer) authorizeBootstrap(change *acceptor.Change) error {
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

// identify returns the partner to whom a token belongs, and counts a token that
// belongs to none.
func (a *Authorizer) identify(doc *versioner.Document, token, role string) (string, error) {
	partner, ok := Identify(doc, token)
	if !ok {
		a.Counters.Unauthenticated.Add(1)
		return "", &UnauthenticatedError{Role: role, Missing: token == ""}
	}
	return partner, nil
}

// hasTokens reports whether any partner has a token.
func hasTokens(doc *versioner.Document) bool {
	return slices.ContainsFunc(doc.Entries, func(e versioner.Entry) bool {
		return e.Partner != nil && e.Partner.TokenSHA256 != ""
	})
}

// unmet returns the requirements that the approvals do not meet. A partner without a
// token cannot approve; the approval of any partner other than the author is needed
// instead of its own. While fewer than two partners have tokens, no second partner
// can approve, so such a requirement counts as met.
func unmet(requirements []Refusal, doc *versioner.Document, author string, approvals []string) []Refusal {
	approvers := partnersWithTokens(doc)
	hasSecond := len(approvers) < 2 || slices.ContainsFunc(approvals, func(p string) bool { return p != author })
	var refusals []Refusal
	for _, r := range requirements {
		if r.Partner != "" && !slices.Contains(approvers, r.Partner) {
			r.Partner = ""
		}
		if r.Partner == "" && hasSecond || slices.Contains(approvals, r.Partner) {
			continue
		}
		refusals = append(refusals, r)
	}
	return refusals
}

// partnersWithTokens returns the names of the partners that have tokens.
func partnersWithTokens(doc *versioner.Document) []string {
	var names []string
	for _, e := range doc.Entries {
		if e.Partner != nil && e.Partner.TokenSHA256 != "" {
			names = append(names, e.Key.Name)
		}
	}
	return names
}
