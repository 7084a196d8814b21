package forwarder

import (
	"context"
	"errors"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/sleeper"
)

// dispatchWithinQuota makes attempts as dispatch does, if the tenant is not over its quota.
// Only requests with the key of a tenant are charged: those that a target makes on behalf
// of an admitted one carry none.
func (f *Forwarder) dispatchWithinQuota(ctx context.Context, x *exchange, tenant *applier.Tenant) *messenger.Answer {
	if f.Quota == nil || tenant == nil || !tenant.HasQuota() {
		return f.dispatch(ctx, x)
	}
	limit := quoter.Limit{RatePerS: tenant.Config.RatePerS, Burst: tenant.Config.Burst}
	permit, err := f.awaitPermit(ctx, x, tenant.Name, limit)
	if err != nil {
		return quotaRefusal(ctx, x.call.ID, err)
	}
	answer := f.dispatch(ctx, x)
	if answer.Outcome == messenger.OutcomeNotRun {
		f.Quota.Return(permit)
	}
	return answer
}

// awaitPermit asks for a permit until the tenant's home is known, for as long as requests wait
// for the first configuration. It is designed for the seconds after many daemons lost power at
// once, in which they find each other. Once no home has been known for that time, requests are
// refused at once.
func (f *Forwarder) awaitPermit(ctx context.Context, x *exchange, tenant string, limit quoter.Limit) (quoter.Permit, error) {
	isWaiting := false
	for {
		permit, err := f.Quota.Admit(ctx, tenant, limit)
		var refused *quoter.RefusedError
		if !errors.As(err, &refused) || refused.IsOver {
			f.homeWait.end()
			return permit, err
		}
		left := f.homeWait.timeLeft(x.deadline.Sub(x.arrived), x.arrived, time.Now())
		if !isWaiting {
			isWaiting = true
			defer f.homeWait.waiting.Add(-1)
			if f.homeWait.waiting.Add(1) > maxStartupWaiting {
				return permit, err
			}
		}
		if left <= 0 || sleeper.Sleep(ctx, min(permitRetryInterval, left)) != nil {
			return permit, err
		}
	}
}

// permitRetryInterval is the time between two tries of a request that waits for its tenant's
// home.
const permitRetryInterval = 100 * time.Millisecond

// quotaRefusal returns the answer to a call that got no grant.
func quotaRefusal(ctx context.Context, id messenger.CallID, err error) *messenger.Answer {
	var refused *quoter.RefusedError
	if !errors.As(err, &refused) {
		cause := causeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cause = causeDeadline
		}
		return messenger.NotRun(id, cause)
	}
	answer := messenger.NotRun(id, causeQuotaUnknown)
	if refused.IsOver {
		answer.Cause = causeOverQuota
	}
	answer.RetryAfterMS = refused.RetryAfter.Milliseconds()
	return answer
}
