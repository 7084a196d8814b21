package forwarder

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/retrier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// defaultMaxUnknownAttempts is the number of attempts with an unknown outcome
	// after which an idempotent call is not tried again.
	defaultMaxUnknownAttempts = 2

	// cancelAnswerWait is how long after its deadline a call waits for the answer to
	// its Cancel.
	cancelAnswerWait = 250 * time.Millisecond
)

// exchange is the state of one caller's request across all its attempts.
type exchange struct {
	call     messenger.Call
	policy   *applier.Policy
	deadline time.Time
	retries  retrier.Call
	// version is the version of the configuration that routed the call.
	version versioner.Version
	route   string
	// arrived is when the request's first byte was received.
	arrived time.Time
	// maxTargets bounds the targets that the call may be sent to; 0 means no bound.
	maxTargets int
	// digest is the digest of the call's content, computed once it is needed.
	digestOnce sync.Once
	digest     quarantiner.Digest

	// mu guards the fields below, since two attempts may run at the same time.
	mu    sync.Mutex
	tried picker.Tried
	// trialTried holds the targets at which the call is not tried again if its request is
	// suspected.
	trialTried picker.Tried
	attempts   uint16
	// lastInstance and lastChoice are the target of the last attempt.
	lastInstance string
	lastChoice   picker.Choice
	// lost is the call of the last attempt if its link was lost, else nil.
	lost *lostCall
	// sent counts the attempts that were sent to a target or may have been.
	sent int
	// unknownAttempts counts the attempts with an unknown outcome.
	unknownAttempts int
	// refusedForMS is the Retry-After of the last refusal, 0 if it had none.
	refusedForMS int64
	// fallback is the answer to the caller if the last attempt brings none: the
	// last server error that a target answered, or else the first unknown outcome.
	fallback *messenger.Answer
}

// dispatch makes attempts until the call has a final outcome, and returns it.
//
// Invariants: a call that isn't idempotent gets another attempt only once it is
// certain that the attempt before it has not begun and never will. If any attempt
// may have run, the outcome is never not-run.
func (f *Forwarder) dispatch(ctx context.Context, x *exchange) *messenger.Answer {
	if x.call.IsKeyed() {
		return f.dispatchKeyed(ctx, x)
	}
	for {
		answer, ok := f.hedge(ctx, x)
		if ok && !f.retryServerError(ctx, x, answer) {
			return answer
		}
		if ok {
			// This server error is the answer unless another target does better.
			x.setFallback(answer)
			f.Counters.Redispatched.Add(1)
			continue
		}
		failure, again := classifyFailure(&x.call, answer)
		if !again || f.staysAtTarget(x, answer) || x.reachedTargetLimit() || x.reachedUnknownLimit(f.MaxUnknownAttempts) || !x.retries.Retry(ctx, failure) {
			return f.resumeLost(ctx, x, answer)
		}
		f.Counters.Redispatched.Add(1)
	}
}

// hedge makes an attempt, and a second one in parallel where the policy says so, and reports
// whether one was answered. A suspected request runs at one target at a time.
func (f *Forwarder) hedge(ctx context.Context, x *exchange) (*messenger.Answer, bool) {
	attempt := func(ctx context.Context, marked bool) (*messenger.Answer, bool) {
		answer := f.attempt(ctx, x, marked)
		return answer, answer.Outcome == messenger.OutcomeAnswered
	}
	if f.judge(x) != nil {
		return attempt(ctx, x.retries.IsRetry())
	}
	return retrier.Hedge(ctx, &x.retries, attempt)
}

// minRetryTimeRatio is the minimum ratio of the time left until the deadline to the
// time since the request arrived, below which a server error is not retried: a
// further attempt would probably not finish in time.
const minRetryTimeRatio = 1.2

// retryServerError reports whether the answer is a server error after which the call
// is sent to another target: the call must be idempotent, its target must fail more
// often than others do, and time and retry budget must suffice. If so, it has waited
// for the backoff.
func (f *Forwarder) retryServerError(ctx context.Context, x *exchange, answer *messenger.Answer) bool {
	if answer.Status < minServerErrorStatus || !x.call.Idempotent || x.reachedTargetLimit() || !x.lastTargetIsOutlier() {
		return false
	}
	now := time.Now()
	if float64(x.deadline.Sub(now)) < minRetryTimeRatio*float64(now.Sub(x.arrived)) {
		return false
	}
	return x.retries.Retry(ctx, retrier.FailureUnknown)
}

// lastTargetIsOutlier reports whether the target of the last attempt fails more often
// than others.
func (x *exchange) lastTargetIsOutlier() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastChoice.IsOutlier()
}

// setFallback keeps a server error as the answer to the caller if no later attempt
// brings one.
func (x *exchange) setFallback(answer *messenger.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fallback = answer
}

// reachedUnknownLimit reports whether so many attempts had an unknown outcome that
// the call itself may be what crashes its targets.
func (x *exchange) reachedUnknownLimit(limit int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return limit >= 0 && x.unknownAttempts >= cmp.Or(limit, defaultMaxUnknownAttempts)
}

// finalAnswer returns the answer to the caller after a last attempt that the target
// did not answer.
func (x *exchange) finalAnswer(last *messenger.Answer) *messenger.Answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fallback != nil {
		return x.fallback
	}
	return last
}

// startAttempt records an attempt at the chosen target and returns the call to send,
// with an ID of its own. A marked call carries retrier.AttemptHeader.
func (x *exchange) startAttempt(choice picker.Choice, marked bool) *messenger.Call {
	x.mu.Lock()
	defer x.mu.Unlock()
	call := x.call
	call.WaitedMS = x.call.WaitedMS + time.Since(x.arrived).Milliseconds()
	call.ID = call.ID.WithAttempt(x.attempts)
	x.attempts++
	x.lastInstance, x.lastChoice = choice.Record.InstanceID, choice
	x.lost = nil
	x.tried.Add(choice)
	if marked {
		call.Headers = append(slices.Clip(call.Headers), messenger.Header{Name: retrier.AttemptHeader, Value: attemptRetry})
	}
	return &call
}

// recordOutcome updates the exchange with the outcome of an attempt.
func (x *exchange) recordOutcome(answer *messenger.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if answer.Sent || answer.Outcome == messenger.OutcomeUnknown {
		x.sent++
	}
	if answer.Outcome == messenger.OutcomeNotRun {
		x.refusedForMS = answer.RetryAfterMS
	}
	if answer.Outcome == messenger.OutcomeUnknown {
		if x.fallback == nil {
			x.fallback = answer
		}
		x.unknownAttempts++
	}
}

// reachedTargetLimit reports whether the call has been sent to the maximum number of
// targets that its route allows.
func (x *exchange) reachedTargetLimit() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.maxTargets > 0 && x.sent >= x.maxTargets
}

// isFirstAttempt reports whether no target was chosen for the call yet.
func (x *exchange) isFirstAttempt() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempts == 0
}

// triedTargets returns the targets that attempts have been made at.
func (x *exchange) triedTargets() picker.Tried {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tried
}

// attempt chooses a target, sends the call to it and returns the outcome, which it
// also reports to the picker.
func (f *Forwarder) attempt(ctx context.Context, x *exchange, marked bool) *messenger.Answer {
	choice, refusal := f.pick(x)
	if refusal != nil {
		return refusal
	}
	if !f.endsInTime(x, choice) {
		choice.Done(picker.Result{Outcome: picker.Abandoned})
		return refuseAttempt(x, causeStopping, unavailableRetryAfterMS)
	}
	call := x.startAttempt(choice, marked)
	if choice.Reason == picker.ReasonTrial {
		call.Suspicions = f.Quarantine.Find(x.contentDigest())
	}
	if choice.IsCongested() {
		choice.Done(picker.Result{Outcome: picker.Congested})
		answer := messenger.NotRun(call.ID, causeCongested)
		answer.RetryAfterMS = choice.ExpectedLatency.Milliseconds()
		f.logFailedAttempt(x, choice, answer)
		return answer
	}
	began := time.Now()
	answer := f.reserve(ctx, call, choice)
	if answer == nil {
		var lost *lostCall
		answer, lost = f.callTargetOnce(ctx, call, choice.Record, x.deadline, choice.Reason == picker.ReasonLastResort)
		x.setLost(lost)
	}
	took := time.Since(began)
	if answer.IsDamaged() {
		f.Counters.Damaged.Add(1)
		answer.Release()
		answer = messenger.Unknown(call.ID, causeDamaged)
	}
	if choice.Record.Domain != f.Picker.Domain {
		f.Counters.Crossed.add(call.Class, len(call.Body)+len(answer.Body))
	}
	f.observeSpill(x, choice, answer)
	result := pickerResult(answer)
	if answer.HandlingUS > 0 {
		result.Transit = max(1, took-time.Duration(answer.HandlingUS)*time.Microsecond)
	}
	choice.Done(result)
	x.recordOutcome(answer)
	x.recordTrial(choice, answer)
	f.logFailedAttempt(x, choice, answer)
	return answer
}

// IsDraining reports whether the target's daemon has said on a call link that it
// refuses new calls.
func (f *Forwarder) IsDraining(r tracker.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drainingIncarnations[r.InstanceID] >= r.Incarnation && r.Incarnation > 0
}

// markDraining records that a process of an instance refuses new calls.
func (f *Forwarder) markDraining(instanceID string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainingIncarnations == nil {
		f.drainingIncarnations = make(map[string]uint64)
	}
	f.drainingIncarnations[instanceID] = max(f.drainingIncarnations[instanceID], incarnation)
}

// callTarget is like callTargetOnce for calls that are not reattached later.
func (f *Forwarder) callTarget(ctx context.Context, call *messenger.Call, target tracker.Record, deadline time.Time) *messenger.Answer {
	answer, _ := f.callTargetOnce(ctx, call, target, deadline, false)
	return answer
}

// callTargetOnce runs one attempt at the target, locally or over a link, and returns its
// outcome. When the link is lost, a call that isn't idempotent is reattached; for an
// idempotent one, callTargetOnce also returns what reattaching it later needs, since the
// call may be sent elsewhere first. An idempotent call for which the target is the last resort
// is also sent over links that are silent: their daemon may only be too busy to reply.
func (f *Forwarder) callTargetOnce(ctx context.Context, call *messenger.Call, target tracker.Record, deadline time.Time, isLastResort bool) (*messenger.Answer, *lostCall) {
	call.Notice = f.notices.find(target.InstanceID)
	answer, lost := f.tryTarget(ctx, call, target, deadline, isLastResort)
	f.notices.observe(target.InstanceID, answer)
	f.learn(answer)
	return answer, lost
}

// tryTarget implements callTargetOnce.
func (f *Forwarder) tryTarget(ctx context.Context, call *messenger.Call, target tracker.Record, deadline time.Time, isLastResort bool) (*messenger.Answer, *lostCall) {
	call.RemainingMS = time.Until(deadline).Milliseconds()
	if call.RemainingMS <= 0 {
		return messenger.NotRun(call.ID, causeDeadline), nil
	}
	if f.RunLocal != nil && target.InstanceID == f.InstanceID {
		return f.RunLocal(ctx, call), nil
	}
	if f.IsDraining(target) || f.notices.isLeaving(target) {
		return messenger.NotRun(call.ID, causeDraining), nil
	}
	mayWait := isLastResort && call.Idempotent
	if !mayWait && f.allLinksSilent(target, laneOf(call)) {
		return messenger.NotRun(call.ID, causeSilent), nil
	}
	link, answer, err := f.send(ctx, call, target, deadline)
	if link == nil && ctx.Err() != nil {
		return messenger.NotRun(call.ID, causeDeadline), nil
	}
	if link == nil {
		return messenger.NotRun(call.ID, causeUnreachable), nil
	}
	var unsent *notSentError
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &unsent):
		return messenger.NotRun(call.ID, causeUnreachable), nil
	case ctx.Err() != nil:
		return contextAnswer(ctx, call.ID), nil
	case call.Idempotent:
		return messenger.Unknown(call.ID, causeLinkLost), &lostCall{call: call, target: target, link: link}
	}
	f.Counters.Reattached.Add(1)
	f.logger().Info("call-reattached", zap.String("request-id", call.RequestID), zap.String("target", target.InstanceID))
	return f.reattach(ctx, call, target, link), nil
}

// send sends the call over a link to the target's daemon and waits for the answer.
// If the link was closed before the call was handed to it, send tries once more over
// another link. The returned link is nil if none could be obtained.
func (f *Forwarder) send(ctx context.Context, call *messenger.Call, target tracker.Record, deadline time.Time) (*callLink, *messenger.Answer, error) {
	for first := true; ; first = false {
		link, err := f.link(ctx, target, laneOf(call))
		if err != nil {
			return nil, nil, err
		}
		call.RemainingMS = time.Until(deadline).Milliseconds()
		answer, err := link.roundTrip(ctx, call.ID, call)
		var unsent *notSentError
		if !first || !errors.As(err, &unsent) || ctx.Err() != nil {
			return link, answer, err
		}
		f.pool(target, laneOf(call)).remove(link)
	}
}

// contextAnswer returns the unknown outcome of a call whose context ended before its
// answer came.
func contextAnswer(ctx context.Context, id messenger.CallID) *messenger.Answer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.Unknown(id, causeDeadline)
	}
	return messenger.Unknown(id, causeCancelled)
}
