package spreader

import (
	"slices"
	"sync"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/versioner"
)

// historyLength bounds the deltas that a daemon keeps for its peers.
const historyLength = 64

// held is a document with its digest. The zero value is the empty document.
type held struct {
	doc    *versioner.Document
	digest versioner.Digest
}

func (h held) position() messenger.Position {
	if h.doc == nil {
		return messenger.Position{}
	}
	return messenger.Position{Version: h.doc.Version, Digest: h.digest}
}

// follow applies the deltas that lead on from h, and skips those before it.
func (h held) follow(deltas []versioner.Delta) (held, error) {
	doc, digest := h.doc, h.digest
	if doc == nil {
		doc = new(versioner.Document)
	}
	for _, d := range deltas {
		if d.To <= doc.Version {
			continue
		}
		next, err := doc.Apply(d)
		if err != nil {
			return held{}, err
		}
		doc, digest = next, d.ToDigest
	}
	return held{doc: doc, digest: digest}, nil
}

// history keeps the newest deltas. The zero value is empty and works.
//
// Invariant: each delta starts where the one before it ends.
type history struct {
	mu     sync.Mutex
	deltas []versioner.Delta
}

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
	if extra := len(h.deltas) - historyLength; extra > 0 {
		h.deltas = slices.Clone(h.deltas[extra:])
	}
}

// between returns the deltas that lead from one position to the other.
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
