package executor

import (
	"context"
	"errors"
	"slices"
	"time"

	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/messenger"
)

// Causes of answers to calls with an idempotency key.
const (
	CauseKeyReused     = "key-reused"
	CauseKeyUndecided  = "key-undecided"
	CauseKeyRuns       = "key-still-runs"
	CauseKeyMoved      = "key-home-moved"
	CauseKeyHomeLost   = "key-home-lost"
	CauseKeyMemory     = "key-memory-young"
	CauseKeyPeer       = "key-peer-unreachable"
	CauseKeyTableFull  = "key-table-full"
	CauseKeyUnseen     = "key-unseen"
	causeKeysTaken     = "keys-taken"
	defaultRetention   = 2 * time.Minute
	handoverBatchBytes = 1 << 20
	// frozenAfter is the gap between two beats after which this process takes
	// itself to have been frozen.
	frozenAfter  = 3 * time.Second
	beatInterval = time.Second
)

// performKeyed runs a call with an idempotency key, or returns what is known of
// an earlier call with the key.
func (x *Executor) performKeyed(ctx context.Context, r *run) *messenger.Answer {
	k := &x.Keyring
	id, key, request := r.call.ID, r.call.KeyOf(), r.call.RequestOf()
	for {
		answer, done, err := k.Keys.Look(key, request, k.retention())
		var other *fencer.OtherRequestError
		var held *fencer.HeldError
		switch {
		case errors.As(err, &other):
			return messenger.NotRun(id, CauseKeyReused)
		case errors.As(err, &held) && !k.hasLeft(r.call.Service, held.Holder):
			return messenger.NotRun(id, CauseKeyMoved)
		case done != nil && answer != nil:
			return repeat(id, answer)
		case done != nil && !wait(ctx, done):
			return messenger.Unknown(id, CauseKeyRuns)
		case done != nil:
			continue
		}
		if refusal := x.clear(ctx, r.call, key, request); refusal != nil {
			return refusal
		}
		claimed, err := k.Keys.Claim(key, request)
		if err != nil {
			return messenger.NotRun(id, CauseKeyTableFull)
		}
		if !claimed {
			continue
		}
		answer = x.perform(ctx, r)
		k.Keys.Finish(key, answer)
		return answer
	}
}

// wait returns false when ctx ends before done is closed.
func wait(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	}
}

// repeat returns what the repeat of a call is told that was answered before.
func repeat(id messenger.CallID, answer *messenger.Answer) *messenger.Answer {
	if answer.Outcome != messenger.OutcomeAnswered {
		return messenger.Unknown(id, CauseKeyUndecided)
	}
	again := *answer
	again.ID = id
	return &again
}

func (k *Keyring) hasLeft(service, instance string) bool {
	if k.Peers == nil {
		return false
	}
	for _, d := range k.Peers.Departed(service) {
		if d.Record.InstanceID == instance && !d.Returned {
			return true
		}
	}
	return false
}

// answerQuery answers another daemon that is about to run a key.
func (x *Executor) answerQuery(ctx context.Context, l *servedLink, q *messenger.KeyQuery) {
	x.send(ctx, l, x.query(ctx, q))
}

func (x *Executor) query(ctx context.Context, q *messenger.KeyQuery) *messenger.Answer {
	k := &x.Keyring
	for {
		answer, done, err := k.Keys.Hold(q, k.retention())
		var other *fencer.OtherRequestError
		switch {
		case errors.As(err, &other):
			return messenger.NotRun(q.ID, CauseKeyReused)
		case err != nil:
			return messenger.Unknown(q.ID, CauseKeyTableFull)
		case done != nil && answer != nil:
			return repeat(q.ID, answer)
		case done != nil && !wait(ctx, done):
			return messenger.Unknown(q.ID, CauseKeyRuns)
		case done != nil:
			continue
		}
		unseen := messenger.NotRun(q.ID, CauseKeyUnseen)
		unseen.Memory = x.vouch()
		if x.replacesLost(q) {
			unseen.Memory.MS = 0
		}
		return unseen
	}
}

// replacesLost says whether the asker's process has taken the place of one that
// handed nothing over, which the asker can't know itself.
func (x *Executor) replacesLost(q *messenger.KeyQuery) bool {
	k := &x.Keyring
	if k.Peers == nil {
		return false
	}
	old, ok := k.Peers.Find(q.Asker)
	return ok && old.Incarnation < q.Incarnation && !k.isClean(old)
}

// vouch returns how far back this daemon knows that no keys of its service were
// lost by any daemon.
func (x *Executor) vouch() *messenger.KeyMemory {
	k := &x.Keyring
	_, memory := k.ages()
	if k.Peers == nil || x.Service == nil {
		return &messenger.KeyMemory{MS: memory.Milliseconds(), Incarnation: x.Incarnation}
	}
	service := x.Service()
	members := slices.Concat(k.Peers.Service(service), k.Peers.Draining(service))
	for _, d := range k.Peers.Departed(service) {
		if !k.isClean(d.Record) {
			memory = min(memory, time.Since(d.At))
		}
	}
	return &messenger.KeyMemory{
		MS: memory.Milliseconds(), Members: members, Incarnation: x.Incarnation, Clean: k.cleanProcesses(),
	}
}
