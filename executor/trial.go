package executor

import (
	"context"
	"net/http"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quarantiner"
)

const (
	// defaultTrialWait is how long a call without an objective may wait for its trial.
	defaultTrialWait = time.Second
	// trialRetryAfter is when a call may come back that could not get a trial in time.
	trialRetryAfter = 200 * time.Millisecond
	// trialSettleTime is how long the targets of a service must have been the same before one
	// of them tries a request. By then all daemons know them, and the crash of the last trial.
	trialSettleTime = 500 * time.Millisecond
	// trialPatience is the time since a request's last crash after which it is tried although
	// the targets of its service go on changing.
	trialPatience = 10 * time.Second
)

// admitSuspect admits the run of a call as far as crashes that are held against its request
// allow it. It returns the function that ends the admission, or the refusal.
func (x *Executor) admitSuspect(ctx context.Context, r *run) (end func(), refusal *messenger.Answer) {
	t := x.Quarantine
	if t == nil || t.IsEmpty() && len(r.call.Suspicions) == 0 {
		return func() {}, nil
	}
	t.Merge(r.call.Suspicions, 0)
	if refusal := x.refuseSuspect(r); refusal != nil {
		return nil, refusal
	}
	if t.Judge(r.contentDigest(), r.call.Service).Status == quarantiner.StatusClear {
		return func() {}, nil
	}
	isTrial, refusal := x.awaitTrial(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	// Another trial may have ended meanwhile.
	isCleared := t.Judge(r.contentDigest(), r.call.Service).Status == quarantiner.StatusClear
	if refusal := x.refuseSuspect(r); refusal != nil || isCleared {
		x.trials.Leave()
		return func() {}, refusal
	}
	r.isTrial = isTrial
	t.Counters.Trials.Add(1)
	return x.trials.Leave, nil
}

// refuseSuspect returns the refusal of a call whose request is quarantined, or suspected
// and not to run at this target now, and otherwise nil.
func (x *Executor) refuseSuspect(r *run) *messenger.Answer {
	t := x.Quarantine
	if t == nil || t.IsEmpty() {
		return nil
	}
	verdict := t.Judge(r.contentDigest(), r.call.Service)
	switch {
	case verdict.Status == quarantiner.StatusQuarantined:
		t.Counters.Refused.Add(1)
		return x.notRunSuspect(r, CauseQuarantined, verdict.Remaining)
	case verdict.Status == quarantiner.StatusSuspected && !r.mayTry():
		// The entry daemon does not know the suspicion, and chose this target for other
		// reasons than a trial.
		return x.notRunSuspect(r, CauseSuspected, 0)
	case verdict.IsOnTrial() && !r.call.IsKeyed():
		return x.refuseTrial(r, verdict)
	}
	return nil
}

// refuseTrial returns the refusal of a call on trial that is not to run at this target now,
// and otherwise nil. All daemons know the same targets once these have settled, so that the
// request then runs at one of them only.
func (x *Executor) refuseTrial(r *run, verdict quarantiner.Verdict) *messenger.Answer {
	if x.TrialHolder == nil {
		return nil
	}
	holder, settled := x.TrialHolder(r.call.Service, r.contentDigest())
	switch {
	case settled < trialSettleTime && verdict.SinceCrash < trialPatience:
		return x.notRunSuspect(r, CauseTrialUnsettled, trialSettleTime-settled)
	case holder != x.InstanceID:
		return x.notRunSuspect(r, CauseTrialElsewhere, trialRetryAfter)
	}
	return nil
}

// mayTry reports whether the call may run as a trial: its entry daemon sent it here for that,
// or its idempotency key allows no other target.
func (r *run) mayTry() bool { return len(r.call.Suspicions) > 0 || r.call.IsKeyed() }

// awaitTrial waits until the call may run at the target and reports whether it is the only
// suspect there, or returns the refusal if that takes too long. Requests under which one target
// has ended run beside each other: after each crash there are as many of them as the target
// has slots, and all but one are innocent.
func (x *Executor) awaitTrial(ctx context.Context, r *run) (isTrial bool, refusal *messenger.Answer) {
	wait := time.Duration(r.call.ObjectiveMS) * time.Millisecond
	if wait == 0 {
		wait = defaultTrialWait
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	isTrial = x.Quarantine.Judge(r.contentDigest(), r.call.Service).IsOnTrial()
	var group quarantiner.Digest
	if isTrial {
		group = r.contentDigest()
	}
	switch err := x.trials.Enter(waitCtx, group); {
	case err == nil:
		return isTrial, nil
	case ctx.Err() != nil:
		return false, x.notRunSuspect(r, failureCause(ctx, CauseTrialQueue), 0)
	default:
		return false, x.notRunSuspect(r, CauseTrialQueue, trialRetryAfter)
	}
}

// notRunSuspect returns a refusal that tells the entry daemon what is held against the call's
// request.
func (x *Executor) notRunSuspect(r *run, cause string, retryAfter time.Duration) *messenger.Answer {
	answer := messenger.NotRun(r.call.ID, cause)
	answer.RetryAfterMS = retryAfter.Milliseconds()
	answer.Suspicions = x.Quarantine.Find(r.contentDigest())
	return answer
}

// reportCompleted clears the call's request, which the target has run to its end. An answer at
// the deadline proves nothing, since the run may have been stopped before it did harm.
func (x *Executor) reportCompleted(r *run, answer *messenger.Answer) {
	t := x.Quarantine
	if t == nil || t.IsEmpty() || answer.Outcome != messenger.OutcomeAnswered || answer.Status == http.StatusGatewayTimeout {
		return
	}
	t.ReportAnswer(r.contentDigest(), r.call.Service)
}

// contentDigest returns the digest of the call's content.
func (r *run) contentDigest() quarantiner.Digest {
	if !r.hasDigest {
		r.digest, r.hasDigest = r.call.ContentDigest(), true
	}
	return r.digest
}
