// Package retrier decides for the entry daemon whether a failed call is retried,
// and runs hedged attempts.
//
// Two rules keep retries from multiplying along a chain of calls. Each route has
// a retry budget in percent of its first attempts, unless all daemons share a
// budget for each service. And a retry is marked by AttemptHeader, which targets
// copy to the calls that they make: calls that belong to a retry are not retried
// again further down the chain.
package retrier

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/sleeper"
)

// AttemptHeader marks a call that is a retry or belongs to one. Targets copy it
// to the calls that they make while they serve the call.
const AttemptHeader = "Bambooweir-Attempt"

const (
	// maxRedispatches is how often a call is sent to another target because its
	// attempt did not begin.
	maxRedispatches = 3

	// initialBackoff and maxBackoff bound the mean wait before a retry, which
	// doubles with each retry.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
)

// Failure classifies why an attempt brought no answer.
type Failure int

// The failures of an attempt.
const (
	// FailureNotBegun means that the target was not available to accept the
	// call, for example because it drains or no link to it can be opened. The
	// call has not run and never will.
	FailureNotBegun Failure = iota
	// FailureOverloaded means that the call was refused for lack of capacity. It
	// has not run and never will.
	FailureOverloaded
	// FailureShed means that the target itself refused the call: it has not run,
	// but refusing it has put load on the target.
	FailureShed
	// FailureObjectiveUnmet means that a target's daemon refused a call with a latency
	// objective because its own target could not meet the objective. Another
	// target may meet it, and the call has put load on none.
	FailureObjectiveUnmet
	// FailureUnknown means that the call may have run.
	FailureUnknown
)

// Counters counts attempts, retries and the decisions against them.
type Counters struct {
	// First counts first attempts, Retries the further attempts that a budget
	// paid for, Redispatches the further attempts after one that did not begin.
	First, Retries, Redispatches expvar.Int
	// Exhausted counts retries that the budget did not allow, Marked those left
	// out because the call belongs to a retry of an earlier call in the chain.
	Exhausted, Marked expvar.Int
	// Hedges counts second attempts in parallel to a slow first one, HedgeWins
	// those whose answer was used.
	Hedges, HedgeWins expvar.Int
}

// Retrier holds the retry budgets of all routes and services. The zero value is
// ready to use.
type Retrier struct {
	// Daemons returns the number of daemons among which the shared budget is
	// divided; nil means one.
	Daemons  func() int
	Counters Counters

	budgets   sync.Map // route name to *Budget
	shared    atomic.Pointer[SharedBudget]
	windows   sync.Map // service name to *serviceWindow
	startOnce sync.Once
	start     time.Time
}

// SetSharedBudget sets the budget that all daemons share. It replaces the budgets of
// the routes unless its Ratio or Window is 0.
func (r *Retrier) SetSharedBudget(s SharedBudget) { r.shared.Store(&s) }

// sharedBudget returns the budget that all daemons share, or nil when there is
// none.
func (r *Retrier) sharedBudget() *SharedBudget {
	s := r.shared.Load()
	if s == nil || s.Ratio <= 0 || s.Window <= 0 {
		return nil
	}
	return s
}

// window returns the counts of the named service and creates them if needed.
func (r *Retrier) window(service string) *serviceWindow {
	if w, ok := r.windows.Load(service); ok {
		return w.(*serviceWindow)
	}
	w, _ := r.windows.LoadOrStore(service, new(serviceWindow))
	return w.(*serviceWindow)
}

// elapsed returns the time since elapsed was first called. The windows of the
// shared budget advance by this clock.
func (r *Retrier) elapsed() time.Duration {
	r.startOnce.Do(func() { r.start = time.Now() })
	return time.Since(r.start)
}

// Call is the retry state of one call at its entry daemon.
type Call struct {
	retrier *Retrier
	policy  *applier.Policy
	budget  *Budget
	// belongsToRetry is set when the caller's request carried AttemptHeader.
	belongsToRetry bool
	retries        int
	redispatches   int
	backoff        *backoff.ExponentialBackOff
}

// Begin counts the first attempt of a call on a route and returns the state of
// the call. The header is that of the caller's request.
func (r *Retrier) Begin(route string, policy *applier.Policy, header http.Header) Call {
	r.Counters.First.Add(1)
	c := Call{retrier: r, policy: policy, budget: r.budget(route), belongsToRetry: header.Get(AttemptHeader) != ""}
	if s := r.sharedBudget(); s != nil {
		r.window(policy.Service).countCall(s.Window, r.elapsed(), c.belongsToRetry)
	}
	if !c.belongsToRetry {
		// Calls that belong to a retry deposit nothing, because retries would
		// otherwise pay for retries further down the chain.
		c.budget.deposit(policy.RetryBudgetPercent)
	}
	return c
}

// budget returns the budget of the route and creates it if needed.
func (r *Retrier) budget(route string) *Budget {
	if b, ok := r.budgets.Load(route); ok {
		return b.(*Budget)
	}
	b, _ := r.budgets.LoadOrStore(route, new(Budget))
	return b.(*Budget)
}

// KeepBudgets drops the budgets of routes for which has returns false.
func (r *Retrier) KeepBudgets(has func(route string) bool) {
	r.budgets.Range(func(route, _ any) bool {
		if !has(route.(string)) {
			r.budgets.Delete(route)
		}
		return true
	})
}

// IsRetry reports whether the next attempt must carry AttemptHeader.
func (c *Call) IsRetry() bool { return c.belongsToRetry || c.retries > 0 }

// Retry reports whether the call may be tried again after the failure. Before it
// returns true for a retry, it waits for the backoff; a redispatch does not
// wait.
func (c *Call) Retry(ctx context.Context, f Failure) bool {
	// Calls of a class without a queue are sent to another target, without a
	// budget, instead of waiting for a slot.
	mayNotWait := f == FailureOverloaded && c.policy.QueueLength == 0
	if f == FailureNotBegun || f == FailureObjectiveUnmet || mayNotWait {
		return c.redispatch(ctx)
	}
	if f == FailureUnknown && !c.policy.Idempotent {
		return false
	}
	limit := c.policy.MaxRetries
	if f == FailureShed {
		// The call has not run, so even one that is not idempotent may be sent to
		// another target once.
		limit = max(limit, 1)
	}
	wait := c.nextWait()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	if c.retries >= limit || !c.withdrawRetry() || sleeper.Sleep(ctx, wait) != nil {
		return false
	}
	c.retries++
	c.retrier.Counters.Retries.Add(1)
	return true
}

// redispatch reports whether a call that did not begin may be sent to another
// target. It needs no budget, because the call has put no load on any target.
func (c *Call) redispatch(ctx context.Context) bool {
	if c.redispatches >= maxRedispatches || ctx.Err() != nil {
		return false
	}
	c.redispatches++
	c.retrier.Counters.Redispatches.Add(1)
	return true
}

// withdrawRetry takes one retry out of the budget and reports whether the budget
// allowed it. Calls that belong to a retry get none.
func (c *Call) withdrawRetry() bool {
	if c.belongsToRetry {
		c.retrier.Counters.Marked.Add(1)
		return false
	}
	if s := c.retrier.sharedBudget(); s != nil {
		daemons := 1
		if c.retrier.Daemons != nil {
			daemons = c.retrier.Daemons()
		}
		if !c.retrier.window(c.policy.Service).allowRetry(*s, daemons, c.retrier.elapsed()) {
			c.retrier.Counters.Exhausted.Add(1)
			return false
		}
		return true
	}
	if !c.budget.withdraw() {
		c.retrier.Counters.Exhausted.Add(1)
		return false
	}
	return true
}

// nextWait returns the time to wait before the next retry. It is random between 0 and twice
// its mean, so that calls that failed together are not retried together.
func (c *Call) nextWait() time.Duration {
	if c.backoff == nil {
		c.backoff = backoff.NewExponentialBackOff()
		c.backoff.InitialInterval, c.backoff.MaxInterval = initialBackoff, maxBackoff
		c.backoff.RandomizationFactor, c.backoff.Multiplier = 1, 2
	}
	return c.backoff.NextBackOff()
}
