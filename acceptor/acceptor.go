// Package acceptor turns operators' edits into accepted versions.
//
// A version is accepted by one compare-and-swap of the head key in the
// platform's key-value service.
package acceptor

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// HeadKey is the key whose compare-and-swap accepts a version.
const HeadKey = "config/head"

const maxAttempts = 8

// Head is the value of HeadKey.
type Head struct {
	Version versioner.Version `json:"version"`
	Digest  versioner.Digest  `json:"digest"`
	// Recent holds the newest deltas, oldest first; the last leads to Version.
	Recent []versioner.Delta `json:"recent"`
}

// ContentKey returns the immutable key under which a version's document is kept.
func ContentKey(d versioner.Digest) string { return "config/content/" + d.String() }

// Change is a set of edits with the account of who makes it and why.
type Change struct {
	Audit   versioner.Audit
	Upserts []versioner.Entry
	Deletes []versioner.Key
}

// Acceptor accepts changes. Store must be set.
type Acceptor struct {
	Store storer.Client
}

// ReadHead returns the head and the revision of its key; before the first
// version both are zero.
func ReadHead(ctx context.Context, store storer.Client) (Head, storer.Revision, error) {
	item, err := store.Get(ctx, HeadKey)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := DecodeHead(item.Value)
	return head, item.Revision, err
}

// DecodeHead reads the value of HeadKey.
func DecodeHead(b []byte) (Head, error) {
	var head Head
	if err := cbor.Unmarshal(b, &head); err != nil {
		return Head{}, errorx.Decorate(err, "decoding head")
	}
	return head, nil
}

// ReadDocument returns the document that the head names.
func ReadDocument(ctx context.Context, store storer.Client, head Head) (*versioner.Document, error) {
	if head.Version == 0 {
		return &versioner.Document{}, nil
	}
	item, err := store.Get(ctx, ContentKey(head.Digest))
	if err != nil {
		return nil, err
	}
	doc := new(versioner.Document)
	if err := cbor.Unmarshal(item.Value, doc); err != nil {
		return nil, errorx.Decorate(err, "decoding version %d", head.Version)
	}
	return doc, nil
}

// Accept makes the change the next version and returns it.
func (a *Acceptor) Accept(ctx context.Context, change Change) (versioner.Version, error) {
	var err error
	for range maxAttempts {
		var v versioner.Version
		v, err = a.try(ctx, change)
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			return v, err
		}
	}
	return 0, err
}

func (a *Acceptor) try(ctx context.Context, change Change) (versioner.Version, error) {
	head, rev, err := ReadHead(ctx, a.Store)
	if err != nil {
		return 0, err
	}
	doc, err := ReadDocument(ctx, a.Store, head)
	if err != nil {
		return 0, err
	}
	next := doc.With(change.Upserts, change.Deletes)
	if err := validator.Check(next); err != nil {
		return 0, err
	}
	digest, err := a.writeContent(ctx, next)
	if err != nil {
		return 0, err
	}
	change.Audit.At = time.Now().UTC()
	delta := versioner.Delta{
		From: doc.Version, To: next.Version, FromDigest: head.Digest, ToDigest: digest,
		Audit: change.Audit, Upserts: change.Upserts, Deletes: change.Deletes,
	}
	value, err := versioner.Marshal(Head{Version: next.Version, Digest: digest, Recent: []versioner.Delta{delta}})
	if err != nil {
		return 0, errorx.Decorate(err, "encoding head")
	}
	if _, err := a.Store.CompareAndSwap(ctx, HeadKey, value, rev, 0); err != nil {
		return 0, err
	}
	return next.Version, nil
}

func (a *Acceptor) writeContent(ctx context.Context, doc *versioner.Document) (versioner.Digest, error) {
	digest, err := doc.Digest()
	if err != nil {
		return digest, err
	}
	value, err := versioner.Marshal(doc)
	if err != nil {
		return digest, errorx.Decorate(err, "encoding document")
	}
	_, err = a.Store.CompareAndSwap(ctx, ContentKey(digest), value, 0, 0)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return digest, nil
	}
	return digest, err
}
