package applier

import (
	"math/rand/v2"
	"sync"

	"bambooweir.example/bambooweir/versioner"
)

// splitter divides calls among the parts of a route by smooth weighted round
// robin: of any run of calls as long as the sum of the weights, each part gets
// exactly its weight, and the calls of a part lie apart.
type splitter struct {
	parts   []*Policy
	weights []int
	sum     int

	mu sync.Mutex
	// credits add up to 0 between calls; the part with the most is next.
	credits []int
}

// maxPhase bounds the steps that a new splitter is moved on by.
const maxPhase = 1000

func newSplitter(split []versioner.Part, parts []*Policy) *splitter {
	s := &splitter{parts: parts, credits: make([]int, len(parts))}
	for _, p := range split {
		s.weights = append(s.weights, p.Weight)
		s.sum += p.Weight
	}
	// Every daemon and version starts at a place of its own, else the largest part
	// would get the first call of each.
	for range rand.IntN(min(max(s.sum, 1), maxPhase)) {
		s.next()
	}
	return s
}

func (s *splitter) next() *Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, w := range s.weights {
		s.credits[i] += w
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.sum
	return s.parts[best]
}
