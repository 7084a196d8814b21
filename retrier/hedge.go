package retrier

import (
	"context"
	"time"
)

// result is what one of two attempts brought.
type result[T any] struct {
	value  T
	ok     bool
	second bool
}

// Hedge runs one attempt of an idempotent call, and a second one beside it if
// the first has not ended after the policy's wait and the budget allows it. It
// returns the first result that is ok, or else the last one. The context of the
// attempt that lost is cancelled; it ends by itself.
//
// The attempt gets true when it is the second; it must carry AttemptHeader then.
func Hedge[T any](ctx context.Context, c *Call, attempt func(ctx context.Context, second bool) (T, bool)) (T, bool) {
	if c.policy.HedgeAfter <= 0 || !c.policy.Idempotent || c.marked {
		return attempt(ctx, c.IsRetry())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	start := func(second bool) {
		value, ok := attempt(ctx, second || c.IsRetry())
		results <- result[T]{value, ok, second}
	}
	go start(false)
	timer := time.NewTimer(c.policy.HedgeAfter)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.value, r.ok
	case <-timer.C:
	}
	if !c.allow() {
		r := <-results
		return r.value, r.ok
	}
	c.retrier.Counters.Hedges.Add(1)
	go start(true)
	r := <-results
	if !r.ok {
		r = <-results
	}
	if r.ok && r.second {
		c.retrier.Counters.HedgeWins.Add(1)
	}
	return r.value, r.ok
}
