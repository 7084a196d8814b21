package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// homeWait bounds the time in which a key's home is looked for while targets
	// come and go.
	homeWait      = 2 * time.Second
	homeFirstWait = 10 * time.Millisecond
	homeMaxWait   = 200 * time.Millisecond

	causeHomeUnreachable = "key-home-unreachable"
)

// dispatchKeyed brings a call with an idempotency key to the key's home.
//
// Invariant: a caller is told not-run only after the home has looked the key
// up; a refusal before that says nothing of an earlier call with the key.
func (f *Forwarder) dispatchKeyed(ctx context.Context, x *exchange) *messenger.Answer {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = homeFirstWait
	wait.MaxInterval = homeMaxWait
	until := time.Now().Add(homeWait)
	key := x.call.KeyOf()
	var undecided *messenger.Answer
	for {
		answer := f.askHome(ctx, x, key)
		if !mayMove(answer) {
			return answer
		}
		undecided = messenger.Unknown(x.call.ID, causeHomeUnreachable)
		undecided.RetryAfterMS = unavailableRetryMS
		if time.Now().After(until) {
			return undecided
		}
		f.Counters.Redispatched.Add(1)
		select {
		case <-ctx.Done():
			return undecided
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// mayMove says that the call did not reach the key's home.
func mayMove(answer *messenger.Answer) bool {
	return answer.Outcome == messenger.OutcomeNotRun && (notBegun[answer.Cause] || answer.Cause == executor.CauseKeyMoved || answer.Cause == causeNoTarget)
}

// askHome makes one attempt at the key's home as this daemon knows it now.
func (f *Forwarder) askHome(ctx context.Context, x *exchange, key messenger.KeyID) *messenger.Answer {
	targets := f.Picker.Table.Service(x.call.Service)
	home, ok := f.home(targets, key)
	if !ok {
		return messenger.NotRun(x.call.ID, causeNoTarget)
	}
	call := x.take(picker.Choice{}, false)
	for _, r := range targets {
		call.KeyPeers = append(call.KeyPeers, messenger.KeyPeer{
			InstanceID: r.InstanceID, PeerAddress: r.PeerAddress, Incarnation: r.Incarnation,
		})
	}
	answer := f.try(ctx, call, home, x.deadline)
	if answer.Outcome == messenger.OutcomeAnswered && !answer.IsWhole() {
		f.Counters.Damaged.Add(1)
		return messenger.Unknown(call.ID, causeDamaged)
	}
	return answer
}

// home returns the target with the highest rank for the key.
func (f *Forwarder) home(targets []tracker.Record, key messenger.KeyID) (tracker.Record, bool) {
	var best tracker.Record
	var highest uint64
	for _, r := range targets {
		if f.IsDraining(r) {
			continue
		}
		if rank := messenger.Rank(key, r.InstanceID); best.InstanceID == "" || rank > highest {
			best, highest = r, rank
		}
	}
	return best, best.InstanceID != ""
}

// Ask sends a message to another target's daemon and returns its answer.
func (f *Forwarder) Ask(ctx context.Context, to tracker.Record, id messenger.CallID, m messenger.Message) (*messenger.Answer, error) {
	link, err := f.link(ctx, to, laneSmall)
	if err != nil {
		return nil, err
	}
	answer, err := link.ask(ctx, id, m)
	if err != nil {
		return nil, err
	}
	if !answer.IsWhole() {
		return nil, errors.New(causeDamaged)
	}
	return answer, nil
}
