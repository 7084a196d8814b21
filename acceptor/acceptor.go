// Package acceptor turns operators' edits into accepted versions.
//
// A version is accepted by one compare-and-swap of the head key in the
// platform's key-value service. The head identifies the document by its digest
// and holds the newest deltas with their audit records; older deltas are in the
// history. Why a lost answer of the store neither loses nor repeats a change is
// argued in docs/design/acceptance.md.
package acceptor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cenkalti/backoff/v5"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// maxAttempts bounds the attempts of one change against concurrent changes.
	maxAttempts            = 32
	maxChangeIDBytes       = 128
	maxAuthorBytes         = 128
	maxReasonBytes         = 1000
	defaultTimeout         = 10 * time.Second
	defaultRecentBytes     = 2 << 10
	defaultHistoryVersions = 10_000
)

// Change is a set of edits, with a record of who makes it and why.
type Change struct {
	// Audit.ChangeID is required. Audit.At and Audit.Edits are set when the
	// change is accepted.
	Audit versioner.Audit
	// Base is the version on which the author based the edits; 0 means the newest
	// at the time of the call.
	Base    versioner.Version
	Upserts []versioner.Entry
	Deletes []versioner.Key
	// Token authenticates the author, and Consents holds the tokens of partners who
	// agree to the change. Only Policy reads them, and they are never stored.
	Token    string
	Consents []string

	// deletions caches the deletions that earlier attempts found.
	deletions deletionSearch
}

// Policy decides whether a change is authorized.
type Policy interface {
	// Authorize fails if the change that turns the first document into the second
	// is not allowed. It may complete the audit of the change.
	Authorize(change *Change, from, to *versioner.Document) error
}

// Acceptor accepts changes. Store must be set; the zero values of the other
// fields select the defaults. It is safe for concurrent use.
type Acceptor struct {
	Store storer.Client
	// Policy authorizes the change in each attempt, before anything is written;
	// nil allows every valid change.
	Policy Policy
	// Timeout bounds one call of Accept or Preview; 0 means ten seconds.
	Timeout time.Duration
	// Known returns the newest version that this daemon knows to have been accepted. If the
	// store's head is older, it is restored before a change is accepted. Nil means that
	// none is known.
	Known func() Known
	// RecentBytes bounds the size of the deltas in the head; 0 means 2 KiB. The
	// newest delta is kept even if it is larger.
	RecentBytes int
	// HistoryVersions bounds the versions in the audit trail; 0 means 10,000.
	HistoryVersions int
	Counters        Counters

	// newest caches the document of the newest version seen.
	newest atomic.Pointer[cachedDocument]
}

// cachedDocument is a document with its digest.
type cachedDocument struct {
	digest versioner.Digest
	doc    *versioner.Document
}

// Accept creates the next version from the change and returns its number. If the
// change id was accepted before with the same edits, Accept creates no version
// and returns the number of the earlier one.
//
// After an *UnknownOutcomeError the change may have been accepted. After any
// other error this call has not created a version and never will. A refused
// change fails with a *ConflictError, *StaleBaseError, *ReusedIDError,
// *ContentionError, *TooLargeError, *InvalidChangeError, *NoChangeError,
// *validator.InvalidError or an error of Policy.
func (a *Acceptor) Accept(ctx context.Context, change Change) (versioner.Version, error) {
	v, err := a.accept(ctx, change)
	a.Counters.countOutcome(err)
	return v, err
}

// accept implements Accept without counting its outcome.
func (a *Acceptor) accept(ctx context.Context, change Change) (versioner.Version, error) {
	if err := change.check(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.Timeout, defaultTimeout))
	defer cancel()
	if err := change.completeAudit(); err != nil {
		return 0, err
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 5 * time.Millisecond
	wait.MaxInterval = 500 * time.Millisecond
	for n := range maxAttempts {
		v, err := a.try(ctx, &change)
		var lost *lostRaceError
		if !errors.As(err, &lost) {
			return v, err
		}
		a.Counters.Retries.Add(1)
		if sleeper.Sleep(ctx, wait.NextBackOff()) != nil {
			return 0, &ContentionError{Attempts: n + 1}
		}
	}
	return 0, &ContentionError{Attempts: maxAttempts}
}

// check checks the audit and the edits of the change without a document.
func (c *Change) check() error {
	if c.Audit.ChangeID == "" {
		return &InvalidChangeError{Field: "change-id", Message: "is required"}
	}
	for _, f := range []struct {
		name, value string
		limit       int
	}{
		{"change-id", c.Audit.ChangeID, maxChangeIDBytes},
		{"author", c.Audit.Author, maxAuthorBytes},
		{"reason", c.Audit.Reason, maxReasonBytes},
	} {
		if len(f.value) > f.limit {
			return &InvalidChangeError{Field: f.name, Message: fmt.Sprintf("is longer than %d bytes", f.limit)}
		}
		if !utf8.ValidString(f.value) {
			return &InvalidChangeError{Field: f.name, Message: "is not valid UTF-8"}
		}
	}
	return c.checkEdits()
}

// checkEdits checks that no entry is edited twice.
func (c *Change) checkEdits() error {
	seen := make(map[versioner.Key]struct{})
	for _, e := range c.Upserts {
		seen[e.Key] = struct{}{}
	}
	for _, k := range c.Deletes {
		seen[k] = struct{}{}
	}
	if len(seen) != len(c.Upserts)+len(c.Deletes) {
		return &InvalidChangeError{Field: "edits", Message: "name an entry twice"}
	}
	return nil
}

// completeAudit sets the time and the digest of the edits in the audit.
func (c *Change) completeAudit() error {
	edits, err := versioner.DigestOf(auditedEdits{Upserts: c.Upserts, Deletes: c.Deletes})
	c.Audit.At = time.Now().UTC().Truncate(time.Millisecond)
	c.Audit.Edits = edits
	return err
}

// auditedEdits holds the edits of which Audit.Edits is the digest.
type auditedEdits struct {
	Upserts []versioner.Entry `json:"upserts"`
	Deletes []versioner.Key   `json:"deletes"`
}

// try makes one attempt to accept the change on top of the newest head. It fails
// with a *lostRaceError if another attempt may succeed.
func (a *Acceptor) try(ctx context.Context, change *Change) (versioner.Version, error) {
	head, rev, err := a.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if known := a.known(); known.isBehind(&head) {
		if err := a.restoreHead(ctx, &head, rev, known); err != nil && !errors.Is(err, errHeadMoved) {
			return 0, err
		}
		return 0, &lostRaceError{}
	}
	if v, err := a.findChange(ctx, &head, change); v != 0 || err != nil {
		return v, err
	}
	doc, err := a.readDocument(ctx, head)
	if err != nil {
		return 0, err
	}
	if change.Base == 0 {
		change.Base = head.Version
	}
	delta, next, err := a.prepare(ctx, change, &head, doc)
	if err != nil {
		return 0, err
	}
	p := &proposal{
		change: change, expectedRevision: rev,
		version: next.Version, digest: delta.ToDigest, doc: next,
	}
	if err := a.stage(ctx, p, &head, delta); err != nil {
		return 0, err
	}
	return a.commit(ctx, p)
}

// prepare checks and authorizes the change against the document, and returns the
// delta of the change and the document that results from it.
func (a *Acceptor) prepare(ctx context.Context, change *Change, head *Head, doc *versioner.Document) (versioner.Delta, *versioner.Document, error) {
	r := &reducer{acceptor: a, change: change, head: head, doc: doc}
	next, err := r.draft(ctx)
	if err != nil {
		return versioner.Delta{}, nil, err
	}
	if err := a.authorize(change, doc, next); err != nil {
		return versioner.Delta{}, nil, err
	}
	digest, err := next.Digest()
	if err != nil {
		return versioner.Delta{}, nil, err
	}
	delta := versioner.Delta{
		From: doc.Version, To: next.Version, FromDigest: head.Digest, ToDigest: digest,
		Audit: change.Audit, Upserts: r.upserts, Deletes: r.deletes, Previous: r.previous,
	}
	return delta, next, nil
}

// authorize asks the Policy, if there is one.
func (a *Acceptor) authorize(change *Change, from, to *versioner.Document) error {
	if a.Policy == nil {
		return nil
	}
	return a.Policy.Authorize(change, from, to)
}

// Preview is the result of a change that was not made.
type Preview struct {
	// From is the newest document, To the document that the change would create.
	From, To *versioner.Document
	// Refusal is the error of Policy; nil if the change is allowed.
	Refusal error
}

// Preview checks a change against the newest version without accepting it. It
// fails like Accept, except that it returns an error of Policy in the Preview and
// doesn't check the fields of the audit.
func (a *Acceptor) Preview(ctx context.Context, change Change) (*Preview, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.Timeout, defaultTimeout))
	defer cancel()
	if err := change.checkEdits(); err != nil {
		return nil, err
	}
	head, doc, err := a.readNewest(ctx)
	if err != nil {
		return nil, err
	}
	if change.Base == 0 {
		change.Base = head.Version
	}
	if err := change.completeAudit(); err != nil {
		return nil, err
	}
	r := &reducer{acceptor: a, change: &change, head: &head, doc: doc}
	next, err := r.draft(ctx)
	if err != nil {
		return nil, err
	}
	return &Preview{From: doc, To: next, Refusal: a.authorize(&change, doc, next)}, nil
}

// historyVersions returns HistoryVersions, or its default if it is 0.
func (a *Acceptor) historyVersions() int { return cmp.Or(a.HistoryVersions, defaultHistoryVersions) }
