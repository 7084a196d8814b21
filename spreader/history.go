package spreader

import (
	"slices"
	"sync"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/versioner"
)

// maxHistoryDeltas bounds the deltas that a daemon keeps for its peers.
const maxHistoryDeltas = 64

// digestedDoc is a document with its digest. The zero value is the empty
// document of version 0.
type digestedDoc struct {
	doc    *versioner.Document
	digest versioner.Digest
}

// position returns the version and digest of the document.
func (dd digestedDoc) position() messenger.Position {
	if dd.doc == nil {
		return messenger.Position{}
	}
	return messenger.Position{Version: dd.doc.Version, Digest: dd.digest}
}

// applyDeltas returns the document after the deltas. It skips deltas that dd
// already includes, and fails if one is missing or a digest does not match.
func (dd digestedDoc) applyDeltas(deltas []versioner.Delta) (digestedDoc, error) {
	doc, digest := dd.doc, dd.digest
	if doc == nil {
		doc = new(versioner.Document)
	}
	for _, d := range deltas {
		if d.To <= doc.Version {
			continue
		}
		next, err := doc.Apply(d)
		if err != nil {
			return digestedDoc{}, err
		}
		doc, digest = next, d.ToDigest
	}
	return digestedDoc{doc: doc, digest: digest}, nil
}

// history keeps the newest deltas. The zero value is empty and ready to use.
//
// Invariant: each delta starts where the one before it ends.
type history struct {
	mu     sync.Mutex
	deltas []versioner.Delta
}

// add appends the deltas that are newer than the last one. A delta that does
// not start where the last one ends replaces all that were kept.
func (h *history) add(deltas []versioner.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range deltas {
		d.Previous = nil
		if n := len(h.deltas); n > 0 {
			last := h.deltas[n-1]
			if d.To <= last.To {
				continue
			}
			if d.From != last.To || d.FromDigest != last.ToDigest {
				h.deltas = nil
			}
		}
		h.deltas = append(h.deltas, d)
	}
	if extra := len(h.deltas) - maxHistoryDeltas; extra > 0 {
		h.deltas = slices.Clone(h.deltas[extra:])
	}
}

// all returns the deltas, oldest first.
func (h *history) all() []versioner.Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.deltas)
}

// between returns the deltas that lead from one position to the other, and
// whether all of them are kept.
func (h *history) between(from, to messenger.Position) ([]versioner.Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start := slices.IndexFunc(h.deltas, func(d versioner.Delta) bool {
		return d.From == from.Version && d.FromDigest == from.Digest
	})
	end := slices.IndexFunc(h.deltas, func(d versioner.Delta) bool {
		return d.To == to.Version && d.ToDigest == to.Digest
	})
	if start < 0 || end < start {
		return nil, false
	}
	return slices.Clone(h.deltas[start : end+1]), true
}
