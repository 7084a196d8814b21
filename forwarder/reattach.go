package forwarder

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// This file finds out what became of calls whose link was lost.

const (
	// reattachMinBackoff and reattachMaxBackoff bound the mean wait between the
	// attempts of reattach.
	reattachMinBackoff = 20 * time.Millisecond
	reattachMaxBackoff = 300 * time.Millisecond
	// reattachRefusedLimit is how long reattach keeps dialing a daemon that refuses
	// connections.
	reattachRefusedLimit = 3 * time.Second
)

// lostCall is a call whose link was lost after the call had been handed to it.
type lostCall struct {
	call   *messenger.Call
	target tracker.Record
	link   *callLink
}

// resumeLost returns the answer to the caller after a last attempt that brought none. If
// its link was lost, the target may still be running the call, and resumeLost waits for
// that answer: the daemon beside the target may only have been too busy to reply. If no
// link to the same process of that daemon can be opened, the caller is told at once, since
// it may try the call again itself.
func (f *Forwarder) resumeLost(ctx context.Context, x *exchange, last *messenger.Answer) *messenger.Answer {
	lost := x.lastLost()
	if last.Cause != causeLinkLost || lost == nil {
		return x.finalAnswer(last)
	}
	f.pool(lost.target, laneOf(lost.call)).remove(lost.link)
	link, err := f.link(ctx, lost.target, laneOf(lost.call))
	if err != nil || !link.sameProcess(lost.link) {
		return x.finalAnswer(last)
	}
	f.Counters.Reattached.Add(1)
	answer, err := link.roundTrip(ctx, lost.call.ID, lost.link.reattachMessage(lost.call.ID))
	if err == nil {
		f.learn(answer)
	}
	if err != nil || answer.Outcome != messenger.OutcomeAnswered || answer.IsDamaged() {
		return x.finalAnswer(last)
	}
	f.notices.observe(lost.target.InstanceID, answer)
	return answer
}

// lastLost returns the call of the last attempt, if its link was lost, or nil.
func (x *exchange) lastLost() *lostCall {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lost
}

// setLost records whether the link of the last attempt was lost.
func (x *exchange) setLost(lost *lostCall) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lost = lost
}

// reattach returns the outcome of a call whose link was lost. It queries the same
// process of the target's daemon over new links until one brings the answer, the
// process is found to be gone, or ctx ends.
func (f *Forwarder) reattach(ctx context.Context, call *messenger.Call, target tracker.Record, old *callLink) *messenger.Answer {
	id := call.ID
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = reattachMinBackoff
	wait.MaxInterval = reattachMaxBackoff
	refusedUntil := time.Now().Add(reattachRefusedLimit)
	for ctx.Err() == nil {
		link, err := f.link(ctx, target, laneOf(call))
		switch {
		case err != nil && time.Now().After(refusedUntil) && isConnectionRefused(err):
			return messenger.Unknown(id, causeDaemonLost)
		case err == nil && !link.sameProcess(old):
			return messenger.Unknown(id, causeDaemonRestarted)
		case err == nil:
			answer, err := link.roundTrip(ctx, id, old.reattachMessage(id))
			if err == nil {
				return answer
			}
			refusedUntil = time.Now().Add(reattachRefusedLimit)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
	return contextAnswer(ctx, id)
}
