package acceptor

import (
	"errors"
	"expvar"
)

// Counters count the outcomes of Accept. The zero value works.
type Counters struct {
	// Accepted counts changes that became a version.
	Accepted expvar.Int
	// Unchanged counts changes whose edits held already.
	Unchanged expvar.Int
	// Conflicts counts edits that would have overwritten a newer value.
	Conflicts expvar.Int
	// Refused counts the other refusals.
	Refused expvar.Int
	// Unknown counts changes whose outcome stayed open.
	Unknown expvar.Int
	// Retries counts attempts repeated because another change came first.
	Retries expvar.Int
	// LostAnswers counts swaps of the head without an answer.
	LostAnswers expvar.Int
	// HeadsRestored counts heads that were written anew because the store had lost them.
	HeadsRestored expvar.Int
}

// countOutcome counts one call of Accept that returned err.
func (c *Counters) countOutcome(err error) {
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	var unchanged *NoChangeError
	switch {
	case err == nil:
		c.Accepted.Add(1)
	case errors.As(err, &conflict):
		c.Conflicts.Add(1)
	case errors.As(err, &unknown):
		c.Unknown.Add(1)
	case errors.As(err, &unchanged):
		c.Unchanged.Add(1)
	default:
		c.Refused.Add(1)
	}
}
