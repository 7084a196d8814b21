// Package versioner holds the shared configuration as versioned data.
//
// It defines the entries that operators edit, the document that a version
// consists of, and the deltas that lead from one version to the next. It is the
// base of every other configuration package and depends on none of them.
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

// Version orders accepted configurations. Version 0 means that none is known.
type Version uint64

// Digest identifies the content of a document.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the digest from hexadecimal.
func (d *Digest) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, want %d", len(b), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], b)
	return err
}

// Kind names a family of entries.
type Kind string

// The kinds of entries that a document consists of.
const (
	KindFleet     Kind = "fleet"
	KindPartner   Kind = "partner"
	KindClass     Kind = "class"
	KindService   Kind = "service"
	KindRoute     Kind = "route"
	KindException Kind = "exception"
)

// Key addresses one entry.
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

// Entry is one editable item. Exactly one of the value fields is set, the one
// that Key.Kind names.
type Entry struct {
	Key Key `json:"key"`
	// Revision is the version in which the entry was last changed.
	Revision  Version    `json:"revision"`
	Fleet     *Fleet     `json:"fleet,omitempty"`
	Partner   *Partner   `json:"partner,omitempty"`
	Class     *Class     `json:"class,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Route     *Route     `json:"route,omitempty"`
	Exception *Exception `json:"exception,omitempty"`
}

// Audit says who made a change, when and why.
type Audit struct {
	ChangeID string    `json:"change-id"`
	Partner  string    `json:"partner"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	// Edits identifies the edits as their author sent them. It is the zero value
	// when it is not known.
	Edits Digest `json:"edits,omitzero"`
}

// Delta leads from one version to the next.
//
// Invariant: To is From+1, or any later version where IsExternal is set, and
// applying the delta to the document with FromDigest gives the document with
// ToDigest.
type Delta struct {
	From       Version `json:"from"`
	To         Version `json:"to"`
	FromDigest Digest  `json:"from-digest"`
	ToDigest   Digest  `json:"to-digest"`
	Audit      Audit   `json:"audit"`
	Upserts    []Entry `json:"upserts,omitempty"`
	Deletes    []Key   `json:"deletes,omitempty"`
	// Previous holds the values that Upserts and Deletes replaced. It serves the
	// audit trail only.
	Previous []Entry `json:"previous,omitempty"`
	// IsExternal says that the documents are made elsewhere. Their versions may rise
	// by more than one, and their entries name no version of their own.
	IsExternal bool `json:"external,omitempty"`
}

// Document is the whole configuration of one version.
//
// Invariant: Entries is sorted by key and holds each key once.
type Document struct {
	Version Version `json:"version"`
	Entries []Entry `json:"entries"`
}

// DigestMismatchError reports a delta that does not fit the document.
type DigestMismatchError struct {
	At        Version
	Got, Want Digest
}

// Error implements error.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("digest mismatch at version %d: got %s, want %s", e.At, e.Got, e.Want)
}

// VersionGapError reports a delta that starts at another version than the document.
type VersionGapError struct {
	Have, From Version
}

// Error implements error.
func (e *VersionGapError) Error() string {
	return fmt.Sprintf("delta starts at version %d, document is at version %d", e.From, e.Have)
}

var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v in the canonical form that digests are computed over.
func Marshal(v any) ([]byte, error) { return canonical.Marshal(v) }

// DigestOf returns the digest of the value's canonical encoding.
func DigestOf(v any) (Digest, error) {
	b, err := canonical.Marshal(v)
	if err != nil {
		return Digest{}, errorx.Decorate(err, "encoding for a digest")
	}
	sum := sha256.Sum256(b)
	return Digest(sum[:16]), nil
}

// Digest returns the digest of the document's canonical encoding.
func (d *Document) Digest() (Digest, error) { return DigestOf(d) }

// Find returns the entry with the key, if the document has one.
func (d *Document) Find(k Key) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(d.Entries, k, compareEntry)
	if !ok {
		return Entry{}, false
	}
	return d.Entries[i], true
}

func compareEntry(e Entry, k Key) int { return e.Key.Compare(k) }

// With returns the document that follows d when the entries are set and the
// keys deleted. The changed entries get the new version as revision; d itself
// is left as it is.
func (d *Document) With(upserts []Entry, deletes []Key) *Document {
	return d.with(d.Version+1, d.Version+1, upserts, deletes)
}

// with returns the document at a version when the entries are set, with the
// revision, and the keys deleted.
func (d *Document) with(version, revision Version, upserts []Entry, deletes []Key) *Document {
	next := &Document{Version: version, Entries: slices.Clone(d.Entries)}
	for _, k := range deletes {
		if i, ok := slices.BinarySearchFunc(next.Entries, k, compareEntry); ok {
			next.Entries = slices.Delete(next.Entries, i, i+1)
		}
	}
	for _, e := range upserts {
		e.Revision = revision
		i, ok := slices.BinarySearchFunc(next.Entries, e.Key, compareEntry)
		if ok {
			next.Entries[i] = e
			continue
		}
		next.Entries = slices.Insert(next.Entries, i, e)
	}
	return next
}

// Apply returns the document that the delta leads to. It fails with a
// *VersionGapError or *DigestMismatchError, and d is left as it is.
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

// ExternalDelta returns the delta from d to a later document that is made
// elsewhere too, without digests.
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
