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
	CauseKeyReused    = "key-reused"           // the key was used for another request
	CauseKeyUndecided = "key-undecided"        // the earlier call's outcome is unknown
	CauseKeyRuns      = "key-still-runs"       // the earlier call has not ended in time
	CauseKeyMoved     = "key-home-moved"       // another target owns the key
	CauseKeyOwnerLost = "key-home-lost"        // a process that may have run the key was lost
	CauseKeyMemory    = "key-memory-young"     // the loss-free history is shorter than the retention
	CauseKeyPeer      = "key-peer-unreachable" // a peer did not answer the query
	CauseKeyTableFull = "key-table-full"
	CauseKeyUnseen    = "key-unseen" // answer to a query: the key is unknown and held for the asker
	causeKeysTaken    = "keys-taken" // answer to a handover

	// defaultRetention is how long keys are kept if KeyCoordinator.Retention is nil.
	defaultRetention = 2 * time.Minute
	// handoverBatchBytes is the total size of answer bodies at which a handover
	// message is full.
	handoverBatchBytes = 1 << 20
	// freezeThreshold is the gap between two checks above which this process
	// considers itself to have been frozen. It checks every freezeCheckInterval.
	freezeThreshold     = 3 * time.Second
	freezeCheckInterval = time.Second
)

// performKeyed runs a call with an idempotency key, or returns the answer of an
// earlier call with the key.
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
		case errors.As(err, &held) && !k.hasLeftAfterHandover(r.call.Service, held.Holder):
			return x.answerHeld(r.call, held.Holder)
		case done != nil && answer != nil:
			return repeatAnswer(id, answer)
		case done != nil && !waitDone(ctx, done):
			return messenger.Unknown(id, CauseKeyRuns)
		case done != nil:
			continue
		}
		if refusal := x.checkKeyNotRun(ctx, r.call, key, request); refusal != nil {
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

// waitDone waits until done is closed, and reports whether that happened before ctx
// ended.
func waitDone(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	}
}

// repeatAnswer returns the answer to a repeated call, given the answer of the first
// call with the key.
func repeatAnswer(id messenger.CallID, answer *messenger.Answer) *messenger.Answer {
	if answer.Outcome != messenger.OutcomeAnswered {
		return messenger.Unknown(id, CauseKeyUndecided)
	}
	again := *answer
	again.ID = id
	return &again
}

// answerHeld returns the answer to a call whose key is held for another process,
// which may have run it.
func (x *Executor) answerHeld(call *messenger.Call, holder messenger.Process) *messenger.Answer {
	for _, r := range x.KeyCoordinator.Peers.Service(call.Service) {
		if processOf(r) == holder {
			return messenger.NotRun(call.ID, CauseKeyMoved)
		}
	}
	return messenger.Unknown(call.ID, CauseKeyOwnerLost)
}

// hasLeftAfterHandover reports whether the process has handed over its keys,
// according to this daemon or to the process's last record. It reports true if
// there are no Peers.
func (k *KeyCoordinator) hasLeftAfterHandover(service string, p messenger.Process) bool {
	if k.Peers == nil || k.hasHandedOver(p) {
		return true
	}
	return slices.ContainsFunc(k.Peers.Departed(service), func(d tracker.Departure) bool {
		return processOf(d.Record) == p && d.Record.HandedOver
	})
}

// hasLeft reports whether the process is known to have left.
func (k *KeyCoordinator) hasLeft(service string, p messenger.Process) bool {
	return slices.ContainsFunc(k.Peers.Departed(service), func(d tracker.Departure) bool {
		return processOf(d.Record) == p && !d.Returned
	})
}

// answerQuery answers the query of another daemon that is about to run a key.
func (x *Executor) answerQuery(ctx context.Context, l *servedLink, q *messenger.KeyQuery) {
	x.send(ctx, l, x.queryAnswer(ctx, q))
}

// queryAnswer returns the answer to a query. If the key is unknown here, it holds the
// key for the asker, so that this daemon does not run it.
func (x *Executor) queryAnswer(ctx context.Context, q *messenger.KeyQuery) *messenger.Answer {
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
			return repeatAnswer(q.ID, answer)
		case done != nil && !waitDone(ctx, done):
			return messenger.Unknown(q.ID, CauseKeyRuns)
		case done != nil:
			continue
		}
		unseen := messenger.NotRun(q.ID, CauseKeyUnseen)
		unseen.Coverage = x.keyHistory()
		if messenger.DigestProcesses(unseen.Coverage.Known) == q.KnownDigest {
			unseen.Coverage.Known, unseen.Coverage.SameKnown = nil, true
		}
		k.noteAsker(messenger.Process{InstanceID: q.Asker, Incarnation: q.Incarnation})
		return unseen
	}
}

// keyHistory returns how far back this daemon knows that no daemon of its service
// has lost keys, and the processes on which that depends.
func (x *Executor) keyHistory() *messenger.KeyCoverage {
	k := &x.KeyCoordinator
	_, lossFree := k.ages()
	m := &messenger.KeyCoverage{Incarnation: x.Incarnation, HandedOver: k.handedOverProcesses(), Known: k.recentAskers()}
	if k.Peers != nil && x.Service != nil {
		service := x.Service()
		m.Known = x.knownProcesses(service)
		recorded := make(map[messenger.Process]bool)
		for _, d := range k.Peers.Departed(service) {
			if !k.isHandedOver(d.Record) {
				lossFree = min(lossFree, time.Since(d.At))
			}
			recorded[processOf(d.Record)] = d.Record.HandedOver
		}
		m.HandedOver = slices.DeleteFunc(m.HandedOver, func(p messenger.Process) bool { return recorded[p] })
	}
	m.CoveredMS = lossFree.Milliseconds()
	return m
}

// knownProcesses returns this process and those of the other targets' daemons that may
// hold keys of the service: the ones that have not left, and those that queried keys here
// and have not handed over theirs since. Peers must be set.
func (x *Executor) knownProcesses(service string) []messenger.Process {
	k := &x.KeyCoordinator
	known := []messenger.Process{{InstanceID: x.InstanceID, Incarnation: x.Incarnation}}
	for _, r := range slices.Concat(k.Peers.Service(service), k.Peers.Draining(service)) {
		known = append(known, processOf(r))
	}
	for _, p := range k.recentAskers() {
		if !k.hasLeftAfterHandover(service, p) {
			known = append(known, p)
		}
	}
	return known
}
