package forwarder

import (
	"context"
	"errors"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quoter"
)

// dispatchWithinQuota makes attempts as dispatch does, if the tenant is not over its quota.
// Only requests with the key of a tenant are charged: those that a target makes on behalf
// of an admitted one carry none.
func (f *Forwarder) dispatchWithinQuota(ctx context.Context, x *exchange, tenant *applier.Tenant) *messenger.Answer {
	if f.Quota == nil || tenant == nil || !tenant.HasQuota() {
		return f.dispatch(ctx, x)
	}
	limit := quoter.Limit{RatePerS: tenant.Config.RatePerS, Burst: tenant.Config.Burst}
	permit, err := f.Quota.Admit(ctx, tenant.Name, limit)
	if err != nil {
		return quotaRefusal(ctx, x.call.ID, err)
	}
	answer := f.dispatch(ctx, x)
	if answer.Outcome == messenger.OutcomeNotRun {
		f.Quota.Return(permit)
	}
	return answer
}

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
