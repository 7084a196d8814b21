package forwarder

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/retrier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// defaultMaxHarmed is the number of attempts without an answer after which an
	// idempotent call is given up.
	defaultMaxHarmed = 2

	reattachFirstWait = 20 * time.Millisecond
	reattachMaxWait   = 300 * time.Millisecond
	// reattachRefused bounds the time in which a daemon that accepts no link is asked again.
	reattachRefused = 3 * time.Second
	// finalWait is how long after its deadline a call waits for the answer to its Cancel.
	finalWait = 250 * time.Millisecond
)

// exchange is one request of a caller.
type exchange struct {
	call     messenger.Call
	policy   *applier.Policy
	deadline time.Time
	retries  retrier.Call
	// version is the configuration that routed the call.
	version versioner.Version
	route   string
	// arrived is when the request's first byte came.
	arrived time.Time
	// maxTargets bounds the targets that the call may be sent to; 0 means no bound.
	maxTargets int

	// mu guards what follows, since two attempts may run side by side.
	mu       sync.Mutex
	tried    picker.Tried
	attempts uint16
	// last is the instance of the last attempt.
	last   string
	choice picker.Choice
	// sent counts the attempts that reached a target.
	sent   int
	harmed int
	// undecided is what is told when no attempt does better: the failure that a
	// target answered, or else that an attempt may have run.
	undecided *messenger.Answer
}

// dispatch makes attempts until the call has an outcome that may be told.
//
// Invariants: a further attempt of a call that isn't idempotent is made only
// after the one before it is proved never to begin. A call of which any attempt
// may have run is never told not to have run.
func (f *Forwarder) dispatch(ctx context.Context, x *exchange) *messenger.Answer {
	if x.call.IsKeyed() {
		return f.dispatchKeyed(ctx, x)
	}
	for {
		answer, ok := retrier.Hedge(ctx, &x.retries, func(ctx context.Context, marked bool) (*messenger.Answer, bool) {
			answer := f.attempt(ctx, x, marked)
			return answer, answer.Outcome == messenger.OutcomeAnswered
		})
		if ok && !f.isWorthAnother(ctx, x, answer) {
			return answer
		}
		if ok {
			// What it answered stands unless another target does better.
			x.fallBack(answer)
			f.Counters.Redispatched.Add(1)
			continue
		}
		failure, again := failureOf(&x.call, answer)
		if !again || x.isExhausted() || x.isHarmful(f.MaxHarmed) || !x.retries.Retry(ctx, failure) {
			return x.conclude(answer)
		}
		f.Counters.Redispatched.Add(1)
	}
}

// minRetryShare is the part of the time that an attempt took that must be left
// for another one.
const minRetryShare = 1.2

// isWorthAnother says whether the call is sent to another target because of
// the server error that this one answered: if it may run again, and the target
// fails more often than others do.
func (f *Forwarder) isWorthAnother(ctx context.Context, x *exchange, answer *messenger.Answer) bool {
	if answer.Status < serverError || !x.call.Idempotent || x.isExhausted() || !x.stoodOut() {
		return false
	}
	now := time.Now()
	if float64(x.deadline.Sub(now)) < minRetryShare*float64(now.Sub(x.arrived)) {
		return false
	}
	return x.retries.Retry(ctx, retrier.FailureUnknown)
}

// stoodOut says whether the target of the last attempt fails more often than others.
func (x *exchange) stoodOut() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.choice.IsOutlier()
}

// fallBack keeps the answer for the case that no other attempt does better.
func (x *exchange) fallBack(answer *messenger.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.undecided = answer
}

// isHarmful says whether the call may itself be what its targets die of.
func (x *exchange) isHarmful(limit int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return limit >= 0 && x.harmed >= cmp.Or(limit, defaultMaxHarmed)
}

// conclude returns what the caller is told when the last attempt brought no answer.
func (x *exchange) conclude(last *messenger.Answer) *messenger.Answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.undecided != nil {
		return x.undecided
	}
	return last
}

// take notes an attempt at the target and returns its call.
func (x *exchange) take(choice picker.Choice, marked bool) *messenger.Call {
	x.mu.Lock()
	defer x.mu.Unlock()
	call := x.call
	call.WaitedMS = x.call.WaitedMS + time.Since(x.arrived).Milliseconds()
	binary.BigEndian.PutUint16(call.ID[14:], x.attempts)
	x.attempts++
	x.last, x.choice = choice.Record.InstanceID, choice
	x.tried.Add(choice)
	if marked {
		call.Headers = append(slices.Clip(call.Headers), messenger.Header{Name: retrier.AttemptHeader, Value: "retry"})
	}
	return &call
}

// note takes in the end of an attempt.
func (x *exchange) note(answer *messenger.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if answer.Sent || answer.Outcome == messenger.OutcomeUnknown {
		x.sent++
	}
	if answer.Outcome == messenger.OutcomeUnknown {
		if x.undecided == nil {
			x.undecided = answer
		}
		x.harmed++
	}
}

// isExhausted says whether the call has been sent to as many targets as it may.
func (x *exchange) isExhausted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.maxTargets > 0 && x.sent >= x.maxTargets
}

func (x *exchange) snapshot() picker.Tried {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tried
}

// attempt chooses a target and brings the call to it.
func (f *Forwarder) attempt(ctx context.Context, x *exchange, marked bool) *messenger.Answer {
	need := picker.Need{Objective: time.Duration(x.call.ObjectiveMS) * time.Millisecond, Bytes: len(x.call.Body)}
	choice, ok := f.Picker.Pick(x.policy, need, x.snapshot())
	if !ok {
		answer := messenger.NotRun(x.call.ID, causeNoTarget)
		answer.RetryAfterMS = unavailableRetryMS
		return answer
	}
	call := x.take(choice, marked)
	if choice.IsCongested() {
		choice.Done(picker.Result{Outcome: picker.Congested})
		answer := messenger.NotRun(call.ID, causeCongested)
		answer.RetryAfterMS = choice.ExpectedLatency.Milliseconds()
		f.tellAttempt(x, choice, answer)
		return answer
	}
	began := time.Now()
	answer := f.reserve(ctx, call, choice)
	if answer == nil {
		answer = f.try(ctx, call, choice.Record, x.deadline)
	}
	took := time.Since(began)
	if answer.Outcome == messenger.OutcomeAnswered && !answer.IsWhole() {
		f.Counters.Damaged.Add(1)
		answer = messenger.Unknown(call.ID, causeDamaged)
	}
	if choice.Record.Domain != f.Picker.Domain {
		f.Counters.Crossed.add(call.Class, len(call.Body)+len(answer.Body))
	}
	result := resultOf(answer)
	if answer.HeldUS > 0 {
		result.Transit = max(1, took-time.Duration(answer.HeldUS)*time.Microsecond)
	}
	choice.Done(result)
	x.note(answer)
	f.tellAttempt(x, choice, answer)
	return answer
}

// IsDraining says whether the target's daemon has said on a call link that it
// takes no new calls.
func (f *Forwarder) IsDraining(r tracker.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining[r.InstanceID] >= r.Incarnation && r.Incarnation > 0
}

func (f *Forwarder) markDraining(instanceID string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining == nil {
		f.draining = make(map[string]uint64)
	}
	f.draining[instanceID] = max(f.draining[instanceID], incarnation)
}

func (f *Forwarder) try(ctx context.Context, call *messenger.Call, target tracker.Record, deadline time.Time) *messenger.Answer {
	call.RemainingMS = time.Until(deadline).Milliseconds()
	if call.RemainingMS <= 0 {
		return messenger.NotRun(call.ID, causeDeadline)
	}
	if f.RunLocal != nil && target.InstanceID == f.InstanceID {
		return f.RunLocal(ctx, call)
	}
	if f.IsDraining(target) {
		return messenger.NotRun(call.ID, causeDraining)
	}
	if f.isSilent(target, laneOf(call)) {
		return messenger.NotRun(call.ID, causeSilent)
	}
	link, answer, err := f.send(ctx, call, target, deadline)
	if link == nil && ctx.Err() != nil {
		return messenger.NotRun(call.ID, causeDeadline)
	}
	if link == nil {
		return messenger.NotRun(call.ID, causeUnreachable)
	}
	var unsent *notSentError
	switch {
	case err == nil:
		return answer
	case errors.As(err, &unsent):
		return messenger.NotRun(call.ID, causeUnreachable)
	case ctx.Err() != nil:
		return ended(ctx, call.ID)
	case call.Idempotent:
		return messenger.Unknown(call.ID, causeLinkLost)
	}
	f.Counters.Reattached.Add(1)
	f.logger().Info("call-reattached", zap.String("request-id", call.RequestID), zap.String("target", target.InstanceID))
	return f.reattach(ctx, call, target, link)
}

// send asks over a link to the target's daemon, and over another if the first
// was closed before it took the call. The link is nil when there was none.
func (f *Forwarder) send(ctx context.Context, call *messenger.Call, target tracker.Record, deadline time.Time) (*callLink, *messenger.Answer, error) {
	for first := true; ; first = false {
		link, err := f.link(ctx, target, laneOf(call))
		if err != nil {
			return nil, nil, err
		}
		call.RemainingMS = time.Until(deadline).Milliseconds()
		answer, err := link.ask(ctx, call.ID, call)
		var unsent *notSentError
		if !first || !errors.As(err, &unsent) || ctx.Err() != nil {
			return link, answer, err
		}
		f.peer(target, laneOf(call)).remove(link)
	}
}

// ended returns the answer of a call whose context ended before it was known.
func ended(ctx context.Context, id messenger.CallID) *messenger.Answer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.Unknown(id, causeDeadline)
	}
	return messenger.Unknown(id, causeCancelled)
}

// reattach asks over new links what became of a call whose link was lost.
func (f *Forwarder) reattach(ctx context.Context, call *messenger.Call, target tracker.Record, old *callLink) *messenger.Answer {
	id := call.ID
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = reattachFirstWait
	wait.MaxInterval = reattachMaxWait
	refusedUntil := time.Now().Add(reattachRefused)
	for ctx.Err() == nil {
		link, err := f.link(ctx, target, laneOf(call))
		switch {
		case err != nil && time.Now().After(refusedUntil) && isRefused(err):
			return messenger.Unknown(id, causeLost)
		case err == nil && !link.sameProcess(old):
			return messenger.Unknown(id, causeRestarted)
		case err == nil:
			answer, err := link.ask(ctx, id, &messenger.Reattach{ID: id, Link: old.opening.Link, Incarnation: old.opening.Incarnation})
			if err == nil {
				return answer
			}
			refusedUntil = time.Now().Add(reattachRefused)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
	return ended(ctx, id)
}
