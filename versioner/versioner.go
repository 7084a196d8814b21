// Package versioner defines the shared configuration as versioned data: the
// entries that operators edit, the document of one version, and the deltas
// between versions.
//
// All other packages that handle configuration build on it; it depends on none
// of them.
package versioner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// Version is the number of an accepted configuration. Later ones have higher
// numbers. 0 means that none is known.
type Version uint64

// Digest identifies the content of a document: the first 16 bytes of the SHA-256
// of its canonical encoding.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a digest in hexadecimal.
func (d *Digest) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, want %d", len(b), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], b)
	return err
}

// Kind is the kind of an entry.
type Kind string

// The kinds of entries that a document consists of.
const (
	KindFleet     Kind = "fleet"
	KindPartner   Kind = "partner"
	KindClass     Kind = "class"
	KindService   Kind = "service"
	KindRoute     Kind = "route"
	KindTenant    Kind = "tenant"
	KindException Kind = "exception"
)

// Key identifies an entry.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind.name.
func (k Key) String() string { return string(k.Kind) + "." + k.Name }

// Compare orders keys by kind, then by name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Entry is one item of the configuration that can be edited. Exactly one of the
// value fields is set, the one that Key.Kind names.
type Entry struct {
	Key Key `json:"key"`
	// Revision is the version in which the entry was last changed.
	Revision  Version    `json:"revision"`
	Fleet     *Fleet     `json:"fleet,omitempty"`
	Partner   *Partner   `json:"partner,omitempty"`
	Class     *Class     `json:"class,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Route     *Route     `json:"route,omitempty"`
	Tenant    *Tenant    `json:"tenant,omitempty"`
	Exception *Exception `json:"exception,omitempty"`
}

// Audit records who made a change, when and why.
type Audit struct {
	ChangeID string    `json:"change-id"`
	Partner  string    `json:"partner"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	// Edits is the digest of the edits as their author submitted them, or the
	// zero value if it is not known.
	Edits Digest `json:"edits,omitzero"`
}

// Delta is the change from one version of the configuration to a later one.
//
// Invariant: To is From+1, or any later version if IsExternal is set, and
// applying the delta to the document with FromDigest yields the document with
// ToDigest.
type Delta struct {
	From       Version `json:"from"`
	To         Version `json:"to"`
	FromDigest Digest  `json:"from-digest"`
	ToDigest   Digest  `json:"to-digest"`
	Audit      Audit   `json:"audit"`
	Upserts    []Entry `json:"upserts,omitempty"`
	Deletes    []Key   `json:"deletes,omitempty"`
	// Previous holds the entries that Upserts and Deletes replaced. It is kept
	// for the audit trail only; Apply does not use it.
	Previous []Entry `json:"previous,omitempty"`
	// IsExternal reports that the documents are created outside bambooweir.
	// Their versions may increase by more than one, and the revision of their
	// entries is 0.
	IsExternal bool `json:"external,omitempty"`
}

// Document is the complete configuration of one version.
//
// Invariant: Entries is sorted by key and contains each key once.
type Document struct {
	Version Version `json:"version"`
	Entries []Entry `json:"entries"`
}

// DigestMismatchError reports that applying a delta did not yield the document
// with the expected digest.
type DigestMismatchError struct {
	At        Version
	Got, Want Digest
}

// Error implements error.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("digest mismatch at version %d: got %s, want %s", e.At, e.Got, e.Want)
}

// VersionGapError reports a delta whose versions do not follow the document's
// version.
type VersionGapError struct {
	Have, From Version
}

// Error implements error.
func (e *VersionGapError) Error() string {
	return fmt.Sprintf("delta starts at version %d, document is at version %d", e.From, e.Have)
}

// canonicalMode is the core deterministic encoding of CBOR (RFC 8949, section 4.2.1),
// with times as RFC 3339 text in UTC.
var canonicalMode = mustCanonicalMode()

func mustCanonicalMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v in the canonical form from which digests are computed.
func Marshal(v any) ([]byte, error) { return canonicalMode.Marshal(v) }

// DigestOf returns the digest of the value's canonical encoding.
func DigestOf(v any) (Digest, error) {
	b, err := canonicalMode.Marshal(v)
	if err != nil {
		return Digest{}, errorx.Decorate(err, "encoding for a digest")
	}
	sum := sha256.Sum256(b)
	return Digest(sum[:16]), nil
}

// Digest returns the digest of the document's canonical encoding.
func (d *Document) Digest() (Digest, error) { return DigestOf(d) }

// Find returns the entry with the key, and whether the document contains one.
func (d *Document) Find(k Key) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(d.Entries, k, compareEntryKey)
	if !ok {
		return Entry{}, false
	}
	return d.Entries[i], true
}

// compareEntryKey compares the key of e with k, for binary searches.
func compareEntryKey(e Entry, k Key) int { return e.Key.Compare(k) }

// SharesTenants reports whether d and other hold the same tenants in memory, as a document
// and one that With or Apply made from it do. Both must keep the invariants of Document.
func (d *Document) SharesTenants(other *Document) bool {
	return slices.EqualFunc(d.tenants(), other.tenants(), func(a, b Entry) bool {
		return a.Key == b.Key && a.Tenant == b.Tenant
	})
}

// tenants returns the entries of tenants.
func (d *Document) tenants() []Entry {
	from, _ := slices.BinarySearchFunc(d.Entries, Key{Kind: KindTenant}, compareEntryKey)
	to, _ := slices.BinarySearchFunc(d.Entries, Key{Kind: KindTenant + "\x00"}, compareEntryKey)
	return d.Entries[from:to]
}

// With returns the next version of d, with the entries set and the keys deleted.
// The changed entries get the new version as their revision. With does not
// modify d.
func (d *Document) With(upserts []Entry, deletes []Key) *Document {
	return d.with(d.Version+1, d.Version+1, upserts, deletes)
}

// with returns the document of the given version, with the keys deleted and then
// the entries set. The set entries get the given revision.
func (d *Document) with(version, revision Version, upserts []Entry, deletes []Key) *Document {
	next := &Document{Version: version, Entries: slices.Clone(d.Entries)}
	for _, k := range deletes {
		if i, ok := slices.BinarySearchFunc(next.Entries, k, compareEntryKey); ok {
			next.Entries = slices.Delete(next.Entries, i, i+1)
		}
	}
	for _, e := range upserts {
		e.Revision = revision
		i, ok := slices.BinarySearchFunc(next.Entries, e.Key, compareEntryKey)
		if ok {
			next.Entries[i] = e
			continue
		}
		next.Entries = slices.Insert(next.Entries, i, e)
	}
	return next
}

// Apply returns the document that results from applying the delta to d. It fails
// with a *VersionGapError or *DigestMismatchError. It does not modify d.
func (d *Document) Apply(delta Delta) (*Document, error) {
	if delta.From != d.Version || delta.To <= delta.From || !delta.IsExternal && delta.To != delta.From+1 {
		return nil, &VersionGapError{Have: d.Version, From: delta.From}
	}
	revision := delta.To
	if delta.IsExternal {
		revision = 0
	}
	next := d.with(delta.To, revision, delta.Upserts, delta.Deletes)
	got, err := next.Digest()
	if err != nil {
		return nil, err
	}
	if got != delta.ToDigest {
		return nil, &DigestMismatchError{At: delta.To, Got: got, Want: delta.ToDigest}
	}
	return next, nil
}

// ExternalDelta returns the delta from d to a later document, both created
// outside bambooweir. The delta's digests are not set.
func (d *Document) ExternalDelta(next *Document) Delta {
	delta := Delta{From: d.Version, To: next.Version, IsExternal: true}
	old := d.Entries
	for _, e := range next.Entries {
		for len(old) > 0 && old[0].Key.Compare(e.Key) < 0 {
			delta.Deletes = append(delta.Deletes, old[0].Key)
			old = old[1:]
		}
		if len(old) > 0 && old[0].Key == e.Key {
			if !old[0].EqualValue(e) {
				delta.Upserts = append(delta.Upserts, e)
			}
			old = old[1:]
			continue
		}
		delta.Upserts = append(delta.Upserts, e)
	}
	for _, e := range old {
		delta.Deletes = append(delta.Deletes, e.Key)
	}
	return delta
}
