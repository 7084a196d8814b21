package forwarder

import (
	"cmp"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/throttler"
)

// mayLeaveDomain reports whether the call may be sent to the chosen target, if that is in
// another failure domain. Nested calls always may: refusing one wastes the work done for its
// parent.
func (f *Forwarder) mayLeaveDomain(x *exchange, choice picker.Choice) bool {
	if !f.isSpill(x, choice) {
		return true
	}
	return f.Throttler.Allow(spillFlow(x), time.Now())
}

// observeSpill tells the Throttler that another failure domain took the call.
func (f *Forwarder) observeSpill(x *exchange, choice picker.Choice, answer *messenger.Answer) {
	if f.isSpill(x, choice) && answer.Outcome != messenger.OutcomeNotRun {
		f.Throttler.Accept(spillFlow(x), time.Now())
	}
}

// isSpill reports whether the choice takes a call that is not nested to another failure domain.
func (f *Forwarder) isSpill(x *exchange, choice picker.Choice) bool {
	return choice.Record.Domain != f.Picker.Domain && !x.call.IsNested
}

// spillFlow returns the calls like x.
func spillFlow(x *exchange) throttler.Flow {
	flow := throttler.Flow{Service: x.policy.Service, Rank: x.call.Priority, Priority: x.call.Priority}
	if x.call.TenantPriority != nil {
		flow.Rank = *x.call.TenantPriority
	}
	return flow
}

// retryAfterMS returns when the caller should come back: as the last target said that refused
// the call, in milliseconds.
func (x *exchange) retryAfterMS() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return cmp.Or(x.refusedForMS, unavailableRetryAfterMS)
}
