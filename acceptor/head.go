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

// HeadKey is the key of the head. A version is accepted by a compare-and-swap of
// its value.
const HeadKey = "config/head"

// maxGarbage bounds the documents that wait for deletion. If there are more, the
// oldest are removed from the list and stay in the store.
const maxGarbage = 64

// ContentRef refers to a stored document.
type ContentRef struct {
	Digest   versioner.Digest `json:"digest"`
	Revision storer.Revision  `json:"revision"`
}

// Head is the value of HeadKey.
//
// Invariant: each delta of Recent starts at the version and digest at which the
// one before it ends, the last one ends at Version and Digest, and Contents has
// one element for each delta.
type Head struct {
	Version versioner.Version `json:"version"`
	Digest  versioner.Digest  `json:"digest"`
	// Recent holds the newest deltas, oldest first. Older ones are in the
	// history.
	Recent []versioner.Delta `json:"recent"`
	// Contents holds, for each delta of Recent, the revision of the key that holds
	// the document of its version.
	Contents []storer.Revision `json:"contents,omitempty"`
	// Garbage lists stored documents that no reader of this head needs; they are
	// deleted with later changes.
	Garbage []ContentRef `json:"garbage,omitempty"`
	// Oldest is the oldest version that the history may still hold.
	Oldest versioner.Version `json:"oldest,omitempty"`
}

// InvalidHeadError reports a head that violates its invariant.
type InvalidHeadError struct{ Message string }

// Error implements error.
func (e *InvalidHeadError) Error() string { return "head: " + e.Message }

// ContentKey returns the key that holds the document with the digest. Its value
// never changes.
func ContentKey(d versioner.Digest) string { return "config/content/" + d.String() }

// ReadHead returns the head and the revision of its key. Both are zero before the
// first version is accepted.
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

// DecodeHead decodes the value of HeadKey. It fails if the head violates its
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

// check checks the chain of deltas.
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
			return &InvalidHeadError{Message: fmt.Sprintf("delta from version %d does not follow the one before it", d.From)}
		}
	}
	return nil
}

// ReadDocument returns the document of the head. It fails with a
// *versioner.DigestMismatchError if the stored document has another digest or
// version than the head.
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

// deltaOfChange returns the delta of the change with the id, if Recent holds it.
func (h *Head) deltaOfChange(changeID string) (versioner.Delta, bool) {
	i := slices.IndexFunc(h.Recent, func(d versioner.Delta) bool { return d.Audit.ChangeID == changeID })
	if i < 0 {
		return versioner.Delta{}, false
	}
	return h.Recent[i], true
}

// deltaTo returns the delta that created the version, if Recent holds it.
func (h *Head) deltaTo(v versioner.Version) (versioner.Delta, bool) {
	i := slices.IndexFunc(h.Recent, func(d versioner.Delta) bool { return d.To == v })
	if i < 0 {
		return versioner.Delta{}, false
	}
	return h.Recent[i], true
}

// next returns the head after the delta is accepted, and the deltas evicted from
// it because they exceed the budget of Recent in bytes. The newest delta always
// stays, since its audit shows which change created the version.
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

// removePruned removes the deleted documents from Garbage and updates Oldest.
func (h *Head) removePruned(p pruneResult) {
	h.Garbage = slices.DeleteFunc(h.Garbage, func(ref ContentRef) bool { return slices.Contains(p.garbage, ref) })
	h.Oldest = p.oldest
}
