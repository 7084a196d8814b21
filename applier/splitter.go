package applier

import (
	"math/rand/v2"
	"sync"

	"bambooweir.example/bambooweir/versioner"
)

// splitter divides calls among the parts of a route by smooth weighted
// round-robin. In any sequence of calls as long as the sum of the weights, each
// part gets exactly as many calls as its weight, spread over the sequence.
type splitter struct {
	parts   []*Policy
	weights []int
	sum     int

	mu sync.Mutex
	// credits holds the current weight of each part. Each call raises every credit by
	// the part's weight, chooses the part with the highest credit and lowers that
	// credit by the sum of the weights, so that the credits add up to 0.
	credits []int
}

// maxInitialSteps bounds the random number of steps by which newSplitter advances
// a new splitter.
const maxInitialSteps = 1000

// newSplitter returns a splitter at a random position of its sequence. The parts
// are the policies of the split's services, in the same order.
func newSplitter(split []versioner.Part, parts []*Policy) *splitter {
	s := &splitter{parts: parts, credits: make([]int, len(parts))}
	for _, p := range split {
		s.weights = append(s.weights, p.Weight)
		s.sum += p.Weight
	}
	// Without a random start, the part with the largest weight would get the first
	// call on every daemon after every new version.
	for range rand.IntN(min(max(s.sum, 1), maxInitialSteps)) {
		s.next()
	}
	return s
}

// next returns the policy of the part that gets the next call.
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
