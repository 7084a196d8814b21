package executor

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// checkKeyNotRun returns nil if no other daemon has run the key or will run it.
// Otherwise it returns the answer for the caller.
func (x *Executor) checkKeyNotRun(ctx context.Context, call *messenger.Call, key messenger.KeyID, request messenger.RequestDigest) *messenger.Answer {
	k := &x.KeyCoordinator
	if k.Peers == nil {
		return nil
	}
	service := call.Service
	joined, _ := k.ages()
	isNew := joined < k.retention()
	ready := k.Peers.Service(service)
	ownRank := messenger.Rank(key, x.InstanceID)
	for _, r := range ready {
		if r.InstanceID != x.InstanceID && messenger.Rank(key, r.InstanceID) > ownRank {
			return messenger.NotRun(call.ID, CauseKeyMoved)
		}
	}
	peers := otherTargets(x.InstanceID, ready, k.Peers.Draining(service))
	mustAsk := isNew || len(k.Peers.Draining(service)) > 0
	if !isNew {
		// A new daemon skips this check here, since it has yet to learn from its
		// queries which processes have handed over their keys.
		if refusal := x.checkLostOwners(call, key, isNew); refusal != nil {
			return refusal
		}
	}
	mustAsk = mustAsk || k.hasReturnedTarget(service)
	for _, p := range call.KeyPeers {
		if _, ok := peers[p.InstanceID]; !ok && p.InstanceID != x.InstanceID && !k.hasLeft(service, messenger.Process{InstanceID: p.InstanceID, Incarnation: p.Incarnation}) {
			peers[p.InstanceID] = tracker.Record{InstanceID: p.InstanceID, PeerAddress: p.PeerAddress, Incarnation: p.Incarnation}
			mustAsk = true
		}
	}
	if !mustAsk {
		return nil
	}
	known := x.knownProcesses(service)
	query := &messenger.KeyQuery{
		Key: key, Request: request, Asker: x.InstanceID, Incarnation: x.Incarnation,
		KnownDigest: messenger.DigestProcesses(known),
	}
	if refusal := x.queryPeers(ctx, call, slices.Collect(maps.Values(peers)), query, known); refusal != nil {
		return refusal
	}
	// Processes may have been lost while the peers were queried, and a new daemon
	// has not checked for lost owners yet.
	if refusal := x.checkLostOwners(call, key, isNew); refusal != nil {
		return refusal
	}
	return x.checkKeyHistory(call)
}

// checkLostOwners returns an answer of unknown outcome if a process that may have
// run the key was lost within the retention, and nil otherwise.
func (x *Executor) checkLostOwners(call *messenger.Call, key messenger.KeyID, isNew bool) *messenger.Answer {
	k := &x.KeyCoordinator
	ownRank := messenger.Rank(key, x.InstanceID)
	for _, d := range k.Peers.Departed(call.Service) {
		if d.Returned || time.Since(d.At) > k.retention() || k.isHandedOver(d.Record) {
			continue
		}
		if isNew || d.Record.InstanceID == x.InstanceID || messenger.Rank(key, d.Record.InstanceID) > ownRank {
			answer := messenger.Unknown(call.ID, CauseKeyOwnerLost)
			answer.RetryAfterMS = (k.retention() - time.Since(d.At)).Milliseconds()
			return answer
		}
	}
	return nil
}

// hasReturnedTarget reports whether a target of the service that was considered
// gone came back within the retention.
func (k *KeyCoordinator) hasReturnedTarget(service string) bool {
	return slices.ContainsFunc(k.Peers.Departed(service), func(d tracker.Departure) bool {
		return d.Returned && time.Since(d.At) <= k.retention()
	})
}

// otherTargets returns the records of all instances in sets but self, by instance.
func otherTargets(self string, sets ...[]tracker.Record) map[string]tracker.Record {
	all := make(map[string]tracker.Record)
	for _, set := range sets {
		for _, r := range set {
			if r.InstanceID != self {
				all[r.InstanceID] = r
			}
		}
	}
	return all
}

// queryPeers sends the query to the daemons of the targets in peers. It returns nil
// if none of them knows the key, and every process that one of them knows has
// answered or has handed over its keys. In that case it also extends this daemon's
// loss-free history of keys by theirs. Otherwise it returns the answer for the
// caller. The query carries the digest of the known processes.
func (x *Executor) queryPeers(ctx context.Context, call *messenger.Call, peers []tracker.Record, q *messenger.KeyQuery, known []messenger.Process) *messenger.Answer {
	k := &x.KeyCoordinator
	answers := make([]*messenger.Answer, len(peers))
	var g errgroup.Group
	for i, r := range peers {
		g.Go(func() error {
			query := *q
			query.ID = messenger.NewCallID()
			answer, err := k.Ask(ctx, r, query.ID, &query)
			if err != nil {
				answer = messenger.Unknown(call.ID, CauseKeyPeer)
			}
			answers[i] = answer
			return nil
		})
	}
	_ = g.Wait()
	for _, answer := range answers {
		if answer.Coverage != nil {
			k.markHandedOver(answer.Coverage.HandedOver...)
		}
	}
	answered := map[messenger.Process]bool{{InstanceID: x.InstanceID, Incarnation: x.Incarnation}: true}
	for i, answer := range answers {
		if result := x.interpretPeerAnswer(call, peers[i], answer); result != nil {
			return result
		}
		answered[messenger.Process{InstanceID: peers[i].InstanceID, Incarnation: answer.Coverage.Incarnation}] = true
	}
	for _, answer := range answers {
		needed := answer.Coverage.Known
		if answer.Coverage.SameKnown {
			needed = known
		}
		for _, p := range needed {
			if !answered[p] && !k.hasLeftAfterHandover(call.Service, p) {
				return messenger.Unknown(call.ID, CauseKeyOwnerLost)
			}
		}
	}
	for _, answer := range answers {
		k.extendLossFree(time.Duration(answer.Coverage.CoveredMS) * time.Millisecond)
	}
	return nil
}

// interpretPeerAnswer returns the answer for the caller that follows from a peer's
// answer to a query, or nil if the process that was asked knows nothing of the
// key. If a later process of the instance has answered, the keys of the one that
// was asked are lost, unless it has handed them over.
func (x *Executor) interpretPeerAnswer(call *messenger.Call, asked tracker.Record, answer *messenger.Answer) *messenger.Answer {
	switch {
	case answer.Outcome == messenger.OutcomeAnswered:
		again := *answer
		again.ID = call.ID
		return &again
	case answer.Cause == CauseKeyReused:
		return messenger.NotRun(call.ID, CauseKeyReused)
	case answer.Outcome != messenger.OutcomeNotRun || answer.Coverage == nil:
		return messenger.Unknown(call.ID, answer.Cause)
	case answer.Coverage.Incarnation != asked.Incarnation && !x.KeyCoordinator.isHandedOver(asked):
		return messenger.Unknown(call.ID, CauseKeyOwnerLost)
	}
	return nil
}

// checkKeyHistory returns nil if this daemon knows, by itself or from its peers,
// that no keys of the service were lost within the retention. Otherwise it returns
// an answer of unknown outcome.
func (x *Executor) checkKeyHistory(call *messenger.Call) *messenger.Answer {
	k := &x.KeyCoordinator
	_, lossFree := k.ages()
	missing := k.retention() - lossFree
	if missing <= 0 {
		return nil
	}
	answer := messenger.Unknown(call.ID, CauseKeyMemory)
	answer.RetryAfterMS = missing.Milliseconds()
	return answer
}
