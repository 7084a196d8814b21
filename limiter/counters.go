package limiter

import (
	"expvar"
	"time"
)

// Counters count the admission decisions of a Limiter.
type Counters struct {
	// Admitted counts calls that got a slot, Borrowed those that got one out of
	// another partner's share.
	Admitted, Borrowed expvar.Int
	// Queued counts calls that waited for a slot, OverShare those of them that waited behind
	// others because their tenant had used more than its share of the target.
	Queued, OverShare expvar.Int
	// Refused counts calls that got none, Expired those of them whose deadline
	// passed or whose caller went away.
	Refused, Expired expvar.Int
}

// Load is the load of a target as its daemon reports it, for example with
// answers: the running and the waiting calls, and the slots.
type Load struct {
	Running, Waiting, Slots int
	// Turn is how long one more call would wait under the target's rate limit.
	Turn time.Duration
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.waiting()
	return Load{Running: l.running, Waiting: waiting, Slots: l.limits.slots, Turn: l.gate.wait(waiting, time.Now())}
}
