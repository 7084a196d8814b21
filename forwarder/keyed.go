package forwarder

import (
	"cmp"
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
	// keyOwnerWait is how long a call that does not reach the key's owner is retried.
	// The owner may change while targets start and stop.
	keyOwnerWait = 2 * time.Second
	// keyOwnerMinBackoff and keyOwnerMaxBackoff bound the mean wait between these
	// retries.
	keyOwnerMinBackoff = 10 * time.Millisecond
	keyOwnerMaxBackoff = 200 * time.Millisecond

	// causeKeyOwnerUnreachable is the cause of the unknown outcome of a call that did
	// not reach the key's owner in time.
	causeKeyOwnerUnreachable = "key-home-unreachable"
)

// dispatchKeyed sends a call with an idempotency key to the key's owner, the one target
// that runs calls with the key, and returns the outcome.
//
// Invariant: the outcome is not-run only if the owner has looked the key up. A refusal
// before that does not show whether an earlier call with the key has run.
func (f *Forwarder) dispatchKeyed(ctx context.Context, x *exchange) *messenger.Answer {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = keyOwnerMinBackoff
	wait.MaxInterval = keyOwnerMaxBackoff
	until := time.Now().Add(keyOwnerWait)
	key := x.call.KeyID()
	var unknown *messenger.Answer
	for {
		answer := f.tryKeyOwner(ctx, x, key)
		if answer.Outcome == messenger.OutcomeNotRun && refusedUnseenCauses[answer.Cause] {
			unseen := messenger.Unknown(x.call.ID, answer.Cause)
			unseen.RetryAfterMS = cmp.Or(answer.RetryAfterMS, unavailableRetryAfterMS)
			return unseen
		}
		if !missedKeyOwner(answer) {
			return answer
		}
		unknown = messenger.Unknown(x.call.ID, causeKeyOwnerUnreachable)
		unknown.RetryAfterMS = unavailableRetryAfterMS
		if time.Now().After(until) {
			return unknown
		}
		f.Counters.Redispatched.Add(1)
		select {
		case <-ctx.Done():
			return unknown
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// refusedUnseenCauses holds the causes of refusals that a daemon may make before the
// key's owner has looked the key up.
var refusedUnseenCauses = map[string]bool{
	causeDeadline: true, executor.CauseTableFull: true, executor.CauseBuffersFull: true,
}

// missedKeyOwner reports whether the attempt did not reach the key's owner, so that it
// can be made again.
func missedKeyOwner(answer *messenger.Answer) bool {
	return answer.Outcome == messenger.OutcomeNotRun && (notBegunCauses[answer.Cause] || answer.Cause == executor.CauseKeyMoved || answer.Cause == causeNoTarget)
}

// tryKeyOwner sends the call once to the key's owner, as determined from this daemon's
// current table of targets. The call carries that table along.
func (f *Forwarder) tryKeyOwner(ctx context.Context, x *exchange, key messenger.KeyID) *messenger.Answer {
	targets := f.Picker.Table.Service(x.call.Service)
	owner, ok := f.keyOwner(targets, key)
	if !ok {
		return messenger.NotRun(x.call.ID, causeNoTarget)
	}
	call := x.startAttempt(picker.Choice{}, false)
	for _, r := range targets {
		call.KeyPeers = append(call.KeyPeers, messenger.KeyPeer{
			InstanceID: r.InstanceID, PeerAddress: r.PeerAddress, Incarnation: r.Incarnation,
		})
	}
	answer := f.callTarget(ctx, call, owner, x.deadline)
	if answer.IsDamaged() {
		f.Counters.Damaged.Add(1)
		return messenger.Unknown(call.ID, causeDamaged)
	}
	return answer
}

// keyOwner returns the target with the highest rank for the key among those that don't
// drain, or false if there is none.
func (f *Forwarder) keyOwner(targets []tracker.Record, key messenger.KeyID) (tracker.Record, bool) {
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

// Ask sends a message about a call to another target's daemon and returns its answer.
func (f *Forwarder) Ask(ctx context.Context, to tracker.Record, id messenger.CallID, m messenger.Message) (*messenger.Answer, error) {
	link, err := f.link(ctx, to, laneSmall)
	if err != nil {
		return nil, err
	}
	answer, err := link.roundTrip(ctx, id, m)
	if err != nil {
		return nil, err
	}
	if !answer.IsWhole() {
		return nil, errors.New(causeDamaged)
	}
	return answer, nil
}
