package forwarder

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// maxRefusedRetries bounds the further attempts of a call that no target has begun.
	maxRefusedRetries = 3
	// maxHarmed bounds the further attempts of an idempotent call after attempts
	// that ended without an answer: the call itself may be what kills its targets.
	maxHarmed = 1

	reattachFirstWait = 20 * time.Millisecond
	reattachMaxWait   = 300 * time.Millisecond
	// reattachRefused bounds the time in which a daemon that accepts no link is asked again.
	reattachRefused = 3 * time.Second
	// finalWait is how long after its deadline a call waits for the answer to its Cancel.
	finalWait = 250 * time.Millisecond
)

// dispatch makes attempts until the call has an outcome that may be told.
//
// Invariants: a further attempt of a call that isn't idempotent is made only
// after the one before it is proved never to begin. A call of which any attempt
// may have run is never told not to have run.
func (f *Forwarder) dispatch(ctx context.Context, x *exchange) *messenger.Answer {
	choice := Choice{Route: x.route, Service: x.call.Service, Class: x.call.Class, Partner: x.call.Partner}
	var last, undecided *messenger.Answer
	refused, harmed := 0, 0
	for n := 0; ; n++ {
		target, ok := f.pick(choice)
		if !ok && last == nil {
			last = noTarget(x.call.ID)
		}
		if !ok || n > 0 && f.Budget != nil && !f.Budget(x.route) {
			return conclude(last, undecided)
		}
		if n > 0 {
			f.Counters.Redispatched.Add(1)
		}
		last = f.attempt(ctx, x, choice, target, n)
		switch last.Outcome {
		case messenger.OutcomeAnswered:
			return last
		case messenger.OutcomeNotRun:
			refused++
		default:
			undecided = last
			harmed++
		}
		if ctx.Err() != nil || refused > maxRefusedRetries || harmed > min(maxHarmed, x.maxRetries) || !mayRepeat(x.call, last) {
			return conclude(last, undecided)
		}
		choice.Exclude = append(choice.Exclude, target.InstanceID)
	}
}

// conclude returns the last answer, or the undecided one if there was any.
func conclude(last, undecided *messenger.Answer) *messenger.Answer {
	if undecided != nil {
		return undecided
	}
	return last
}

func noTarget(id messenger.CallID) *messenger.Answer {
	answer := messenger.NotRun(id, causeNoTarget)
	answer.RetryAfterMS = unavailableRetryMS
	return answer
}

// mayRepeat says whether another target may be asked after this answer.
func mayRepeat(call *messenger.Call, answer *messenger.Answer) bool {
	if answer.Outcome == messenger.OutcomeNotRun {
		return statusOf(answer) >= 500 && answer.Cause != causeDeadline && answer.Cause != causeCancelled
	}
	return call.Idempotent && answer.Cause != causeCancelled
}

func (f *Forwarder) pick(c Choice) (tracker.Record, bool) {
	if f.Pick != nil {
		return f.Pick(c)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.Table.Service(c.Service)
	usable := make([]tracker.Record, 0, len(targets))
	for _, r := range targets {
		if !slices.Contains(c.Exclude, r.InstanceID) && f.draining[r.InstanceID] < r.Incarnation {
			usable = append(usable, r)
		}
	}
	return picker.Pick(usable, f.Domain)
}

// IsDraining says whether the target's daemon has said on a call link that it
// takes no new calls.
func (f *Forwarder) IsDraining(r tracker.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining[r.InstanceID] >= r.Incarnation
}

func (f *Forwarder) markDraining(instanceID string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining == nil {
		f.draining = make(map[string]uint64)
	}
	f.draining[instanceID] = max(f.draining[instanceID], incarnation)
}

// attempt brings the call to one target, and reports how that went.
func (f *Forwarder) attempt(ctx context.Context, x *exchange, choice Choice, target tracker.Record, n int) *messenger.Answer {
	start := time.Now()
	call := *x.call
	binary.BigEndian.PutUint16(call.ID[14:], uint16(n))
	answer := f.try(ctx, &call, target, x.deadline)
	if answer.Outcome == messenger.OutcomeAnswered && !answer.IsWhole() {
		f.Counters.Damaged.Add(1)
		answer = messenger.Unknown(call.ID, causeDamaged)
	}
	if f.Observe != nil {
		f.Observe(Attempt{
			Choice: choice, Target: target, Outcome: answer.Outcome, Status: answer.Status,
			Cause: answer.Cause, Elapsed: time.Since(start),
		})
	}
	return answer
}

func (f *Forwarder) try(ctx context.Context, call *messenger.Call, target tracker.Record, deadline time.Time) *messenger.Answer {
	call.RemainingMS = time.Until(deadline).Milliseconds()
	if call.RemainingMS <= 0 {
		return messenger.NotRun(call.ID, causeDeadline)
	}
	if f.Local != nil && target.InstanceID == f.InstanceID {
		return f.Local(ctx, call)
	}
	link, err := f.link(ctx, target)
	if err != nil {
		if ctx.Err() != nil {
			return messenger.NotRun(call.ID, causeDeadline)
		}
		return messenger.NotRun(call.ID, causeUnreachable)
	}
	call.RemainingMS = time.Until(deadline).Milliseconds()
	answer, err := link.ask(ctx, call.ID, call)
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
	return f.reattach(ctx, call.ID, target, link)
}

// ended returns the answer of a call whose context ended before it was known.
func ended(ctx context.Context, id messenger.CallID) *messenger.Answer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.Unknown(id, causeDeadline)
	}
	return messenger.Unknown(id, causeCancelled)
}

// reattach asks over new links what became of a call whose link was lost.
func (f *Forwarder) reattach(ctx context.Context, id messenger.CallID, target tracker.Record, old *callLink) *messenger.Answer {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = reattachFirstWait
	wait.MaxInterval = reattachMaxWait
	refusedUntil := time.Now().Add(reattachRefused)
	for ctx.Err() == nil {
		link, err := f.link(ctx, target)
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
