package forwarder

import (
	"time"

	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/quarantiner"
)

// spareTargetWait is how long after its last crash a request on trial is refused where its
// service has one target left. A service that never has more must not refuse it for longer.
const spareTargetWait = 10 * time.Second

// suspect is what is held against the request of a call.
type suspect struct {
	request quarantiner.Digest
	verdict quarantiner.Verdict
}

// judge returns what is held against the request of the call now, or nil if nothing is.
func (f *Forwarder) judge(x *exchange) *suspect {
	t := f.Quarantine
	if t == nil || t.IsEmpty() {
		return nil
	}
	request := x.contentDigest()
	verdict := t.Judge(request, x.call.Service)
	if verdict.Status == quarantiner.StatusClear {
		return nil
	}
	return &suspect{request: request, verdict: verdict}
}

// contentDigest returns the digest of the call's content.
func (x *exchange) contentDigest() quarantiner.Digest {
	x.digestOnce.Do(func() { x.digest = x.call.ContentDigest() })
	return x.digest
}

// pick chooses the target of the next attempt. It returns the refusal of the attempt if there
// is none, or the call's request is quarantined.
func (f *Forwarder) pick(x *exchange) (picker.Choice, *messenger.Answer) {
	need := picker.Need{Objective: time.Duration(x.call.ObjectiveMS) * time.Millisecond, Bytes: len(x.call.Body)}
	if f.Versions != nil {
		need.Versions = f.Versions(x.policy.Service, x.isFirstAttempt())
	}
	s := f.judge(x)
	if s != nil && s.verdict.Status == quarantiner.StatusQuarantined {
		f.Quarantine.Counters.Refused.Add(1)
		return picker.Choice{}, refuseAttempt(x, executor.CauseQuarantined, s.verdict.Remaining.Milliseconds())
	}
	if s != nil {
		return f.pickForTrial(x, need, s)
	}
	choice, ok := f.Picker.Pick(x.policy, need, x.triedTargets())
	if ok && !f.mayLeaveDomain(x, choice) {
		choice.Done(picker.Result{Outcome: picker.Abandoned})
		need.IsLocal = true
		if choice, ok = f.Picker.Pick(x.policy, need, x.triedTargets()); !ok {
			return choice, refuseAttempt(x, causeDomainsFull, x.retryAfterMS())
		}
	}
	if !ok {
		return choice, refuseAttempt(x, causeNoTarget, unavailableRetryAfterMS)
	}
	return choice, nil
}

// pickForTrial chooses the target at which the call of a suspected request is tried. It
// refuses the attempt if the service would have no target left in case this one ends.
func (f *Forwarder) pickForTrial(x *exchange, need picker.Need, s *suspect) (picker.Choice, *messenger.Answer) {
	choice, accepting, ok := f.Picker.PickForTrial(x.policy, need, x.triedInTrials(), trialRank(s.request))
	if !ok {
		return choice, refuseAttempt(x, causeNoTarget, unavailableRetryAfterMS)
	}
	if left := spareTargetWait - s.verdict.SinceCrash; accepting == 1 && s.verdict.IsOnTrial() && left > 0 {
		choice.Done(picker.Result{Outcome: picker.Abandoned})
		return choice, refuseAttempt(x, causeLastTarget, min(left.Milliseconds(), unavailableRetryAfterMS))
	}
	return choice, nil
}

// trialRank returns the order in which targets try the request: the highest rank is first.
func trialRank(request quarantiner.Digest) func(instanceID string) uint64 {
	return func(instanceID string) uint64 { return messenger.Rank(messenger.KeyID(request), instanceID) }
}

// TrialHolder returns the instance at whose target a request on trial runs, and for how long
// the targets of the service have been the same, as far as this daemon knows.
func (f *Forwarder) TrialHolder(service string, request quarantiner.Digest) (instanceID string, settled time.Duration) {
	versions := picker.Versions{}
	if f.Versions != nil {
		versions = f.Versions(service, false)
	}
	return f.Picker.TrialHolder(service, versions, trialRank(request))
}

// staysAtTarget reports whether the call may not be sent to another target, although this one
// refused it for lack of capacity: a request on trial runs at one target at a time.
func (f *Forwarder) staysAtTarget(x *exchange, answer *messenger.Answer) bool {
	if answer.Outcome != messenger.OutcomeNotRun || !overloadCauses[answer.Cause] {
		return false
	}
	s := f.judge(x)
	return s != nil && s.verdict.IsOnTrial()
}

// refuseAttempt returns the refusal of an attempt that is not made.
func refuseAttempt(x *exchange, cause string, retryAfterMS int64) *messenger.Answer {
	answer := messenger.NotRun(x.call.ID, cause)
	answer.RetryAfterMS = retryAfterMS
	return answer
}

// learn records what an answer says to be held against the call's request.
func (f *Forwarder) learn(answer *messenger.Answer) {
	if f.Quarantine != nil && len(answer.Suspicions) > 0 {
		f.Quarantine.Merge(answer.Suspicions, 0)
	}
}

// triedInTrials returns the targets at which the call is not tried again.
func (x *exchange) triedInTrials() picker.Tried {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.trialTried
}

// recordTrial records the target of an attempt, unless its daemon only refused it for not
// being a trial.
func (x *exchange) recordTrial(choice picker.Choice, answer *messenger.Answer) {
	if answer.Outcome == messenger.OutcomeNotRun && answer.Cause == executor.CauseSuspected {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.trialTried.Add(choice)
}
