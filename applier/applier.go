// Package applier holds the configuration that is in force on a daemon.
//
// A valid document is turned into an immutable Snapshot, in which every reference
// resolves. The Applier replaces the snapshot in force by one atomic store, so
// that readers load one pointer and take no lock.
package applier

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"bambooweir.example/bambooweir/recoverer"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// Snapshot is one version of the configuration, indexed for the call path.
//
// Invariant: every route's service and class are present in the snapshot.
// A snapshot is never changed once it is built.
type Snapshot struct {
	Document *versioner.Document
	Digest   versioner.Digest
	// Domain is the failure domain for which exceptions are resolved.
	Domain string

	settings settings
	policies map[policyKey]*Policy
	shares   []Share
	routes   *routeIndex
	// tenants may be that of other snapshots too.
	tenants *tenantIndex
}

// Version returns the snapshot's version.
func (s *Snapshot) Version() versioner.Version { return s.Document.Version }

// OlderVersionError reports that the offered version is lower than the version in
// force.
type OlderVersionError struct {
	InForce, Offered versioner.Version
}

// Error implements error.
func (e *OlderVersionError) Error() string {
	return fmt.Sprintf("version %d offered, version %d is in force", e.Offered, e.InForce)
}

// ForkedVersionError reports that a document was offered under the version in
// force, but with different content. It means that two documents were accepted
// under one version number.
type ForkedVersionError struct {
	Version          versioner.Version
	InForce, Offered versioner.Digest
}

// Error implements error.
func (e *ForkedVersionError) Error() string {
	return fmt.Sprintf("version %d offered with digest %s, but its digest in force is %s", e.Version, e.Offered, e.InForce)
}

// Build validates a document and returns its snapshot for a daemon in the failure
// domain. It fails with a *validator.InvalidError.
func Build(doc *versioner.Document, domain string) (*Snapshot, error) {
	digest, err := doc.Digest()
	if err != nil {
		return nil, err
	}
	return buildNext(nil, doc, digest, domain)
}

// buildNext is Build for a document that follows the one of the snapshot before, which may be
// nil. The new snapshot shares what the documents share, so that a version that changes little
// costs little, and the calls of a split route go on where they were in its sequence.
func buildNext(before *Snapshot, doc *versioner.Document, digest versioner.Digest, domain string) (*Snapshot, error) {
	if before == nil {
		before = &Snapshot{Document: new(versioner.Document), routes: new(routeIndex)}
	}
	if err := validator.CheckNext(before.Document, doc); err != nil {
		return nil, err
	}
	tenants := before.tenants
	if tenants == nil || !doc.SharesTenants(before.Document) {
		tenants = newTenantIndex(doc)
	}
	set := newSettings(doc, domain)
	policies := newPolicies(doc, set)
	for k, p := range policies {
		if old := before.policies[k]; old != nil && *old == *p {
			policies[k] = old
		}
	}
	return &Snapshot{
		Document: doc, Digest: digest, Domain: domain, settings: set,
		policies: policies, shares: newShares(doc), routes: newRouteIndex(doc, policies, before.routes),
		tenants: tenants,
	}, nil
}

// Applier holds the snapshot in force. The zero value has none and is ready to
// use. It is safe for concurrent use.
type Applier struct {
	// Domain is the failure domain of this daemon.
	Domain string

	// mu serialises Offer and guards history and hasFirst.
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	history []Applied
	// hasFirst is closed when the first snapshot is in force; nil while nobody waits
	// for it.
	hasFirst chan struct{}
}

// Current returns the snapshot in force, or nil when there is none yet.
func (a *Applier) Current() *Snapshot { return a.current.Load() }

// HasFirst returns a channel that is closed when the first snapshot is in force.
func (a *Applier) HasFirst() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasFirst == nil {
		a.hasFirst = make(chan struct{})
		if a.current.Load() != nil {
			close(a.hasFirst)
		}
	}
	return a.hasFirst
}

// Offer puts a document in force if its version is higher than the version in
// force, and reports whether it did. It fails with an *OlderVersionError, a
// *ForkedVersionError or a *validator.InvalidError; the snapshot in force then
// stays in force.
func (a *Applier) Offer(doc *versioner.Document) (bool, error) {
	digest, err := doc.Digest()
	if err != nil {
		return false, err
	}
	return a.OfferDigested(doc, digest)
}

// OfferDigested is Offer for a document whose digest is known.
func (a *Applier) OfferDigested(doc *versioner.Document, digest versioner.Digest) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if current := a.current.Load(); current != nil {
		if doc.Version < current.Version() {
			return false, &OlderVersionError{InForce: current.Version(), Offered: doc.Version}
		}
		if doc.Version == current.Version() {
			return false, checkSameContent(current, digest)
		}
	}
	snapshot, err := a.build(doc, digest)
	if err != nil {
		return false, err
	}
	isFirst := a.current.Swap(snapshot) == nil
	if isFirst && a.hasFirst != nil {
		close(a.hasFirst)
	}
	a.record(snapshot)
	return true, nil
}

// errBuildPanic means that building the snapshot of a document panicked.
var errBuildPanic = errors.New("the document could not be put in force because of an internal error")

// build returns the next snapshot for the daemon's failure domain. A panic is an error: every
// daemon gets the same document, and it would end them all.
func (a *Applier) build(doc *versioner.Document, digest versioner.Digest) (s *Snapshot, err error) {
	defer recoverer.Recover(nil, "configuration", func() { s, err = nil, errBuildPanic })
	return buildNext(a.current.Load(), doc, digest, a.Domain)
}

// checkSameContent returns a *ForkedVersionError if the digest of a document differs from that of
// the snapshot's, which has the same version.
func checkSameContent(current *Snapshot, digest versioner.Digest) error {
	if digest != current.Digest {
		return &ForkedVersionError{Version: current.Version(), InForce: current.Digest, Offered: digest}
	}
	return nil
}
