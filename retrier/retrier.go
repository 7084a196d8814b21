// Package retrier decides at the entry daemon whether a call that failed is
// tried again.
//
// Two rules keep retries from multiplying along a chain of calls. Each route
// has a budget in percent of its first attempts. And a retry is marked by
// AttemptHeader, which targets pass on with the calls that they make: what
// belongs to a retry is not retried again further down.
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

// AttemptHeader marks a call that is, or belongs to, a retry. Targets copy it
// to the calls that they make for the call.
const AttemptHeader = "Bambooweir-Attempt"

const (
	// maxRedispatches bounds the tries of a call that did not begin.
	maxRedispatches = 3

	firstWait = 5 * time.Millisecond
	maxWait   = 100 * time.Millisecond
)

// Failure says why an attempt brought no answer.
type Failure int

// The failures of an attempt.
const (
	// FailureNotBegun means that the target was not there to take the call, for
	// example because it drains or no link to it can be opened. The call has not
	// run and never will.
	FailureNotBegun Failure = iota
	// FailureOverloaded means that the call was refused for want of capacity. It
	// has not run and never will.
	FailureOverloaded
	// FailureShed means that the target itself refused the call: it has not run,
	// but it has loaded the target.
	FailureShed
	// FailureObjectiveUnmet means that a target's daemon refused a call with a latency
	// objective, since its own target could not meet it. Another one may, and
	// nothing has been loaded.
	FailureObjectiveUnmet
	// FailureUnknown means that the call may have run.
	FailureUnknown
)

// Counters count decisions.
type Counters struct {
	// First counts first attempts, Retries what was tried again on a budget,
	// Redispatches what was tried again because it did not begin.
	First, Retries, Redispatches expvar.Int
	// Exhausted counts retries that the budget did not allow, Marked those left
	// out because the call belongs to a retry further up.
	Exhausted, Marked expvar.Int
	// Hedges counts second attempts beside a slow first, HedgeWins those that
	// answered first.
	Hedges, HedgeWins expvar.Int
}

// Retrier holds the budgets of all routes. The zero value works.
type Retrier struct {
	// Daemons returns the number of daemons that share the budget; nil means one.
	Daemons  func() int
	Counters Counters

	budgets sync.Map // route name to *Budget
	share   atomic.Pointer[Share]
	usages  sync.Map // service name to *usage
	origin  sync.Once
	start   time.Time
}

// SetSharedBudget puts the budget that all daemons have together into effect.
func (r *Retrier) SetSharedBudget(s Share) { r.share.Store(&s) }

// sharing returns the common budget, or nil when there is none.
func (r *Retrier) sharing() *Share {
	s := r.share.Load()
	if s == nil || s.Ratio <= 0 || s.Window <= 0 {
		return nil
	}
	return s
}

func (r *Retrier) usage(service string) *usage {
	if u, ok := r.usages.Load(service); ok {
		return u.(*usage)
	}
	u, _ := r.usages.LoadOrStore(service, new(usage))
	return u.(*usage)
}

// age is the time on the clock that windows move by.
func (r *Retrier) age() time.Duration {
	r.origin.Do(func() { r.start = time.Now() })
	return time.Since(r.start)
}

// Call is the state of one call at its entry daemon.
type Call struct {
	retrier      *Retrier
	policy       *applier.Policy
	budget       *Budget
	marked       bool
	retries      int
	redispatches int
	backoff      *backoff.ExponentialBackOff
}

// Begin books the first attempt of a call on a route. The header is that of
// the caller's request.
func (r *Retrier) Begin(route string, policy *applier.Policy, header http.Header) Call {
	r.Counters.First.Add(1)
	c := Call{retrier: r, policy: policy, budget: r.budget(route), marked: header.Get(AttemptHeader) != ""}
	if s := r.sharing(); s != nil && !c.marked {
		r.usage(policy.Service).begin(s.Window, r.age())
	}
	if !c.marked {
		// Calls that belong to a retry earn nothing, else retries would pay for
		// retries further down.
		c.budget.deposit(policy.RetryBudgetPercent)
	}
	return c
}

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

// IsRetry says whether the next attempt must carry AttemptHeader.
func (c *Call) IsRetry() bool { return c.marked || c.retries > 0 }

// Retry says whether the call may be tried again after the failure. If so it
// has waited for as long as the attempts should lie apart.
func (c *Call) Retry(ctx context.Context, f Failure) bool {
	// Calls that may not wait for a slot look for one elsewhere instead.
	mayNotWait := f == FailureOverloaded && c.policy.QueueLength == 0
	if f == FailureNotBegun || f == FailureObjectiveUnmet || mayNotWait {
		return c.redispatch(ctx)
	}
	if f == FailureUnknown && !c.policy.Idempotent {
		return false
	}
	limit := c.policy.MaxRetries
	if f == FailureShed {
		// It has not run: any call may be sent to another target once.
		limit = max(limit, 1)
	}
	if c.retries >= limit || !c.allow() {
		return false
	}
	if !c.wait(ctx) {
		return false
	}
	c.retries++
	c.retrier.Counters.Retries.Add(1)
	return true
}

// redispatch needs no budget: the call has put no load on any target.
func (c *Call) redispatch(ctx context.Context) bool {
	if c.redispatches >= maxRedispatches || ctx.Err() != nil {
		return false
	}
	c.redispatches++
	c.retrier.Counters.Redispatches.Add(1)
	return true
}

// allow takes one retry out of the budget.
func (c *Call) allow() bool {
	if c.marked {
		c.retrier.Counters.Marked.Add(1)
		return false
	}
	if s := c.retrier.sharing(); s != nil {
		daemons := 1
		if c.retrier.Daemons != nil {
			daemons = c.retrier.Daemons()
		}
		if !c.retrier.usage(c.policy.Service).repeat(*s, daemons, c.retrier.age()) {
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

// wait lies anywhere between nothing and the doubled wait of the last time, so
// that calls that failed together do not come back together.
func (c *Call) wait(ctx context.Context) bool {
	if c.backoff == nil {
		c.backoff = backoff.NewExponentialBackOff()
		c.backoff.InitialInterval, c.backoff.MaxInterval = firstWait, maxWait
		c.backoff.RandomizationFactor, c.backoff.Multiplier = 1, 2
	}
	wait := c.backoff.NextBackOff()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	return sleeper.Sleep(ctx, wait) == nil
}
