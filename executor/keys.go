package executor

import (
	"context"
	"errors"
	"slices"
	"time"

	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
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
	k := &x.KeyCoordinator
	id, key, request := r.call.ID, r.call.KeyID(), r.call.RequestDigest()
	for {
		answer, done, err := k.Keys.Lookup(key, request, k.retention())
		var other *fencer.KeyReusedError
		var held *fencer.KeyHeldError
		switch {
		case errors.As(err, &other):
			return messenger.NotRun(id, CauseKeyReused)
		case errors.As(err, &held) && !k.hasLeftCleanly(r.call.Service, held.Holder):
			return x.heldFor(r.call, held.Holder)
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

// heldFor returns what a call is told whose key another process may have run.
func (x *Executor) heldFor(call *messenger.Call, holder messenger.Process) *messenger.Answer {
	for _, r := range x.KeyCoordinator.Peers.Service(call.Service) {
		if processOf(r) == holder {
			return messenger.NotRun(call.ID, CauseKeyMoved)
		}
	}
	return messenger.Unknown(call.ID, CauseKeyHomeLost)
}

// hasLeftCleanly says whether the process has left and handed over its keys.
func (k *Keyring) hasLeftCleanly(service string, p messenger.Process) bool {
	if k.Peers == nil || k.hasHandedOver(p) {
		return true
	}
	return slices.ContainsFunc(k.Peers.Departed(service), func(d tracker.Departure) bool {
		return processOf(d.Record) == p && d.Record.HandedOver
	})
}

// hasLeft says whether the process is known to have left.
func (k *Keyring) hasLeft(service string, p messenger.Process) bool {
	return slices.ContainsFunc(k.Peers.Departed(service), func(d tracker.Departure) bool {
		return processOf(d.Record) == p && !d.Returned
	})
}

// answerQuery answers another daemon that is about to run a key.
func (x *Executor) answerQuery(ctx context.Context, l *servedLink, q *messenger.KeyQuery) {
	x.send(ctx, l, x.query(ctx, q))
}

func (x *Executor) query(ctx context.Context, q *messenger.KeyQuery) *messenger.Answer {
	k := &x.KeyCoordinator
	for {
		answer, done, err := k.Keys.Hold(q, k.retention())
		var other *fencer.KeyReusedError
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
		unseen.Coverage = x.vouch()
		k.see(messenger.Process{InstanceID: q.Asker, Incarnation: q.Incarnation})
		return unseen
	}
}

// vouch returns how far back this daemon knows that no keys of its service were
// lost by any daemon, and on whom that rests.
func (x *Executor) vouch() *messenger.KeyCoverage {
	k := &x.KeyCoordinator
	_, memory := k.ages()
	m := &messenger.KeyCoverage{Incarnation: x.Incarnation, HandedOver: k.cleanProcesses(), Known: k.seenProcesses()}
	if k.Peers != nil && x.Service != nil {
		service := x.Service()
		for _, r := range slices.Concat(k.Peers.Service(service), k.Peers.Draining(service)) {
			m.Known = append(m.Known, processOf(r))
		}
		for _, d := range k.Peers.Departed(service) {
			if !k.isClean(d.Record) {
				memory = min(memory, time.Since(d.At))
			}
		}
	}
	m.CoveredMS = memory.Milliseconds()
	return m
}
