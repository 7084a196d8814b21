package acceptor

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// HeadKey is the key whose compare-and-swap accepts a version.
const HeadKey = "config/head"

// maxGarbage bounds the contents that wait for deletion.
const maxGarbage = 64

// ContentRef names a stored document.
type ContentRef struct {
	Digest   versioner.Digest `json:"digest"`
	Revision storer.Revision  `json:"revision"`
}

// Head is the value of HeadKey.
//
// Invariant: Recent is a chain without gaps whose last delta leads to Version
// and Digest, and Contents has an element for each of Recent.
type Head struct {
	Version versioner.Version `json:"version"`
	Digest  versioner.Digest  `json:"digest"`
	// Recent holds the newest deltas, oldest first. Older ones are in the
	// history.
	Recent []versioner.Delta `json:"recent"`
	// Contents holds the revisions of the documents that Recent leads to.
	Contents []storer.Revision `json:"contents,omitempty"`
	// Garbage lists documents that no reader of this head needs.
	Garbage []ContentRef `json:"garbage,omitempty"`
	// Oldest is the oldest version that the history may still hold.
	Oldest versioner.Version `json:"oldest,omitempty"`
}

// InvalidHeadError reports a head that breaks its invariant.
type InvalidHeadError struct{ Message string }

// Error implements error.
func (e *InvalidHeadError) Error() string { return "head: " + e.Message }

// ContentKey returns the immutable key under which a version's document is kept.
func ContentKey(d versioner.Digest) string { return "config/content/" + d.String() }

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

// DecodeHead reads the value of HeadKey. It fails when the head breaks its
// invariant.
func DecodeHead(b []byte) (Head, error) {
	var head Head
	if err := cbor.Unmarshal(b, &head); err != nil {
		return Head{}, errorx.Decorate(err, "decoding head")
	}
	if err := head.check(); err != nil {
		return Head{}, err
	}
	return head, nil
}

func (h *Head) check() error {
	n := len(h.Recent)
	if n == 0 {
		return nil
	}
	if last := h.Recent[n-1]; last.To != h.Version || last.ToDigest != h.Digest {
		return &InvalidHeadError{Message: fmt.Sprintf("last delta leads to version %d, head is at %d", last.To, h.Version)}
	}
	for i, d := range h.Recent {
		if d.To != d.From+1 || i > 0 && (d.From != h.Recent[i-1].To || d.FromDigest != h.Recent[i-1].ToDigest) {
			return &InvalidHeadError{Message: fmt.Sprintf("deltas break off at version %d", d.From)}
		}
	}
	return nil
}

// ReadDocument returns the document that the head names. It fails with a
// *versioner.DigestMismatchError when the stored content is another one.
func ReadDocument(ctx context.Context, store storer.Client, head Head) (*versioner.Document, error) {
	if head.Version == 0 {
		return &versioner.Document{}, nil
	}
	item, err := store.Get(ctx, ContentKey(head.Digest))
	if err != nil {
		return nil, err
	}
	doc, err := versioner.DecodeDocument(item.Value)
	if err != nil {
		return nil, errorx.Decorate(err, "version %d", head.Version)
	}
	got, err := doc.Digest()
	if err != nil {
		return nil, err
	}
	if got != head.Digest || doc.Version != head.Version {
		return nil, &versioner.DigestMismatchError{At: doc.Version, Got: got, Want: head.Digest}
	}
	return doc, nil
}

// find returns the delta that the change id made, if Recent holds it.
func (h *Head) find(changeID string) (versioner.Delta, bool) {
	i := slices.IndexFunc(h.Recent, func(d versioner.Delta) bool { return d.Audit.ChangeID == changeID })
	if i < 0 {
		return versioner.Delta{}, false
	}
	return h.Recent[i], true
}

// at returns the delta that leads to the version, if Recent holds it.
func (h *Head) at(v versioner.Version) (versioner.Delta, bool) {
	i := slices.IndexFunc(h.Recent, func(d versioner.Delta) bool { return d.To == v })
	if i < 0 {
		return versioner.Delta{}, false
	}
	return h.Recent[i], true
}

// next returns the head that follows when the delta is accepted, and the
// deltas that no longer fit into the budget of bytes for Recent. The newest
// delta always stays, since its audit settles who made the version.
func (h *Head) next(d versioner.Delta, content storer.Revision, budget int) (*Head, []versioner.Delta, error) {
	next := &Head{
		Version: d.To, Digest: d.ToDigest, Oldest: h.Oldest,
		Recent:   append(slices.Clone(h.Recent), d),
		Contents: append(slices.Clone(h.Contents), content),
		Garbage:  slices.Clone(h.Garbage),
	}
	keep, used := len(next.Recent), 0
	for keep > 0 {
		b, err := versioner.Marshal(next.Recent[keep-1])
		if err != nil {
			return nil, nil, errorx.Decorate(err, "encoding delta")
		}
		used += len(b)
		if used > budget && keep < len(next.Recent) {
			break
		}
		keep--
	}
	evicted := next.Recent[:keep]
	for i, old := range evicted {
		next.Garbage = append(next.Garbage, ContentRef{Digest: old.ToDigest, Revision: next.Contents[i]})
	}
	next.Garbage = next.Garbage[max(0, len(next.Garbage)-maxGarbage):]
	next.Recent, next.Contents = next.Recent[keep:], next.Contents[keep:]
	return next, evicted, nil
}

// forget drops what was pruned.
func (h *Head) forget(p progress) {
	h.Garbage = slices.DeleteFunc(h.Garbage, func(ref ContentRef) bool { return slices.Contains(p.garbage, ref) })
	h.Oldest = p.oldest
}
