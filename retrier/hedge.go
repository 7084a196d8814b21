package retrier

import (
	"context"
	"time"
)

// result is the result of one of the two attempts of a hedged call.
type result[T any] struct {
	value   T
	ok      bool
	isHedge bool
}

// Hedge runs an attempt of a call. If the call is idempotent and the attempt has
// not ended after the policy's HedgeAfter, Hedge runs a second one in parallel,
// if the budget allows it. It returns the first result that is ok, or else the
// last one. It cancels the context of the attempt that lost and does not wait
// for that attempt to return.
//
// The argument marked of attempt is true when the attempt must carry
// AttemptHeader: for the second attempt, and when the call is or belongs to a
// retry.
func Hedge[T any](ctx context.Context, c *Call, attempt func(ctx context.Context, marked bool) (T, bool)) (T, bool) {
	if c.policy.HedgeAfter <= 0 || !c.policy.Idempotent || c.belongsToRetry {
		return attempt(ctx, c.IsRetry())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	start := func(isHedge bool) {
		value, ok := attempt(ctx, isHedge || c.IsRetry())
		results <- result[T]{value, ok, isHedge}
	}
	go start(false)
	timer := time.NewTimer(c.policy.HedgeAfter)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.value, r.ok
	case <-timer.C:
	}
	if !c.withdrawRetry() {
		r := <-results
		return r.value, r.ok
	}
	c.retrier.Counters.Hedges.Add(1)
	go start(true)
	r := <-results
	if !r.ok {
		r = <-results
	}
	if r.ok && r.isHedge {
		c.retrier.Counters.HedgeWins.Add(1)
	}
	return r.value, r.ok
}
