// Package applier holds the configuration that is in force on a daemon.
//
// A document becomes an immutable Snapshot, whose references are closed, and is
// swapped in whole. Readers load one pointer and take no lock.
package applier

import (
	"fmt"
	"sync"
	"sync/atomic"

	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// Snapshot is one version in the form that the call path reads.
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
}

// Version returns the snapshot's version.
func (s *Snapshot) Version() versioner.Version { return s.Document.Version }

// OlderVersionError reports an offer below the version in force.
type OlderVersionError struct {
	InForce, Offered versioner.Version
}

// Error implements error.
func (e *OlderVersionError) Error() string {
	return fmt.Sprintf("version %d offered, version %d is in force", e.Offered, e.InForce)
}

// ForkedVersionError reports an offer of the version in force with other
// content. It means that two contents were accepted as one version.
type ForkedVersionError struct {
	Version          versioner.Version
	InForce, Offered versioner.Digest
}

// Error implements error.
func (e *ForkedVersionError) Error() string {
	return fmt.Sprintf("version %d offered with digest %s, in force with %s", e.Version, e.Offered, e.InForce)
}

// Build checks a document and makes its snapshot for a daemon in the failure
// domain. It fails with a *validator.InvalidError.
func Build(doc *versioner.Document, domain string) (*Snapshot, error) {
	if err := validator.Check(doc); err != nil {
		return nil, err
	}
	digest, err := doc.Digest()
	if err != nil {
		return nil, err
	}
	set := newSettings(doc, domain)
	policies := newPolicies(doc, set)
	return &Snapshot{
		Document: doc, Digest: digest, Domain: domain, settings: set,
		policies: policies, shares: newShares(doc), routes: newRouteIndex(doc, policies),
	}, nil
}

// Applier holds the snapshot in force. The zero value holds none and works.
type Applier struct {
	// Domain is the failure domain of this daemon.
	Domain string

	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	history []Applied
}

// Current returns the snapshot in force, or nil when there is none yet.
func (a *Applier) Current() *Snapshot { return a.current.Load() }

// Offer puts a document in force if it is newer than the one in force, and
// says whether it did. It fails with an *OlderVersionError, a
// *ForkedVersionError or a *validator.InvalidError, and what is in force stays.
func (a *Applier) Offer(doc *versioner.Document) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.current.Load(); now != nil {
		if doc.Version < now.Version() {
			return false, &OlderVersionError{InForce: now.Version(), Offered: doc.Version}
		}
		if doc.Version == now.Version() {
			return false, sameContent(now, doc)
		}
	}
	snapshot, err := Build(doc, a.Domain)
	if err != nil {
		return false, err
	}
	a.current.Store(snapshot)
	a.record(snapshot)
	return true, nil
}

func sameContent(now *Snapshot, doc *versioner.Document) error {
	if doc == now.Document {
		return nil
	}
	digest, err := doc.Digest()
	if err != nil {
		return err
	}
	if digest != now.Digest {
		return &ForkedVersionError{Version: now.Version(), InForce: now.Digest, Offered: digest}
	}
	return nil
}
