// Package throttler decides at the entry daemon whether a call that found no room near is
// worth sending to another failure domain.
//
// It answers the load of a service that is short of room in all failure domains at once: each
// call that its own domain refuses would be carried to one domain after the other, only to be
// refused there too, and the links between the domains would carry more than in a calm hour.
// The daemon therefore counts how many of its calls other domains accepted lately. While most
// of them are refused it sends only a few, which show when there is room again, and refuses
// the others at once.
package throttler

import (
	"expvar"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// halfLife is the time in which an observation loses half of its weight. It is a few
	// times a call's objective, so that the counts follow a burst.
	halfLife = time.Second
	// maxIdle is the time without a call after which the counts of a flow are dropped.
	maxIdle = time.Minute
	// sweepInterval is the time between two searches for idle flows.
	sweepInterval = maxIdle / 2
)

// Flow names calls that are refused alike: those to one service with the same precedence.
type Flow struct {
	Service string
	// Rank is the priority of the calls' tenant, or else that of their route, which Priority is.
	Rank, Priority int
}

// Counters count the decisions of a Throttler.
type Counters struct {
	// Sent counts the calls that were allowed to leave their failure domain, Held those that
	// were not.
	Sent, Held expvar.Int
}

// Throttler counts the calls of one entry daemon to other failure domains. The zero value holds
// no call back.
type Throttler struct {
	// Ratio is how many calls may leave the failure domain for each that was accepted
	// elsewhere in the last seconds; 0 means that none is held back.
	Ratio float64
	// Random returns a number in [0, 1); nil means the runtime's generator.
	Random   func() float64
	Counters Counters

	mu      sync.Mutex
	flows   map[Flow]*flowCounts
	sweptAt time.Time
}

// flowCounts are the decayed counts of one flow.
type flowCounts struct {
	// sent counts the calls that left, accepted those of them that another domain took.
	sent, accepted float64
	// at is when the counts were decayed last.
	at time.Time
}

// decay brings the counts to now.
func (c *flowCounts) decay(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		weight := math.Exp2(-float64(elapsed) / float64(halfLife))
		c.sent *= weight
		c.accepted *= weight
		c.at = now
	}
}

// Allow reports whether a call of the flow may leave its failure domain now, and counts it.
func (t *Throttler) Allow(f Flow, now time.Time) bool {
	if t.Ratio <= 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts(f, now)
	// The one added on both sides lets the first calls through, and a few of many others.
	if chance := (t.Ratio*c.accepted + 1) / (c.sent + 1); chance < 1 && t.random() >= chance {
		t.Counters.Held.Add(1)
		return false
	}
	c.sent++
	t.Counters.Sent.Add(1)
	return true
}

// Accept records that another failure domain took a call of the flow.
func (t *Throttler) Accept(f Flow, now time.Time) {
	if t.Ratio <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts(f, now).accepted++
}

// counts returns the counts of the flow at now. The caller holds mu.
func (t *Throttler) counts(f Flow, now time.Time) *flowCounts {
	if now.Sub(t.sweptAt) > sweepInterval {
		t.sweep(now)
	}
	c := t.flows[f]
	if c == nil {
		c = &flowCounts{at: now}
		t.flows[f] = c
	}
	c.decay(now)
	return c
}

// sweep drops the flows that had no call for maxIdle. The caller holds mu.
func (t *Throttler) sweep(now time.Time) {
	t.sweptAt = now
	if t.flows == nil {
		t.flows = make(map[Flow]*flowCounts)
	}
	for f, c := range t.flows {
		if now.Sub(c.at) > maxIdle {
			delete(t.flows, f)
		}
	}
}

// random returns a number in [0, 1).
func (t *Throttler) random() float64 {
	if t.Random != nil {
		return t.Random()
	}
	return rand.Float64()
}
