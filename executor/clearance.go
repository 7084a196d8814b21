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

// clear returns nil when no other daemon has run the key or ever will, and
// else the answer that the caller is told.
func (x *Executor) clear(ctx context.Context, call *messenger.Call, key messenger.KeyID, request messenger.RequestDigest) *messenger.Answer {
	k := &x.KeyCoordinator
	if k.Peers == nil {
		return nil
	}
	service := call.Service
	joined, _ := k.ages()
	young := joined < k.retention()
	ready := k.Peers.Service(service)
	own := messenger.Rank(key, x.InstanceID)
	for _, r := range ready {
		if r.InstanceID != x.InstanceID && messenger.Rank(key, r.InstanceID) > own {
			return messenger.NotRun(call.ID, CauseKeyMoved)
		}
	}
	asked := others(x.InstanceID, ready, k.Peers.Draining(service))
	ask := young || len(k.Peers.Draining(service)) > 0
	if !young {
		// A new daemon learns by its queries who has handed over its keys.
		if refusal := x.lostHome(call, key, young); refusal != nil {
			return refusal
		}
	}
	ask = ask || k.hasReturned(service)
	for _, p := range call.KeyPeers {
		if _, ok := asked[p.InstanceID]; !ok && p.InstanceID != x.InstanceID && !k.hasLeft(service, messenger.Process{InstanceID: p.InstanceID, Incarnation: p.Incarnation}) {
			asked[p.InstanceID] = tracker.Record{InstanceID: p.InstanceID, PeerAddress: p.PeerAddress, Incarnation: p.Incarnation}
			ask = true
		}
	}
	if !ask {
		return nil
	}
	query := &messenger.KeyQuery{Key: key, Request: request, Asker: x.InstanceID, Incarnation: x.Incarnation}
	if refusal := x.askAll(ctx, call, slices.Collect(maps.Values(asked)), query); refusal != nil {
		return refusal
	}
	// The answers may have told of losses.
	if refusal := x.lostHome(call, key, young); refusal != nil {
		return refusal
	}
	return x.forgetful(call)
}

// lostHome returns nil unless a process was lost that may have run the key.
func (x *Executor) lostHome(call *messenger.Call, key messenger.KeyID, young bool) *messenger.Answer {
	k := &x.KeyCoordinator
	own := messenger.Rank(key, x.InstanceID)
	for _, d := range k.Peers.Departed(call.Service) {
		if d.Returned || time.Since(d.At) > k.retention() || k.isClean(d.Record) {
			continue
		}
		if young || d.Record.InstanceID == x.InstanceID || messenger.Rank(key, d.Record.InstanceID) > own {
			answer := messenger.Unknown(call.ID, CauseKeyHomeLost)
			answer.RetryAfterMS = (k.retention() - time.Since(d.At)).Milliseconds()
			return answer
		}
	}
	return nil
}

// hasReturned says whether a target came back that was held to be gone.
func (k *Keyring) hasReturned(service string) bool {
	return slices.ContainsFunc(k.Peers.Departed(service), func(d tracker.Departure) bool {
		return d.Returned && time.Since(d.At) <= k.retention()
	})
}

func others(self string, sets ...[]tracker.Record) map[string]tracker.Record {
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

// askAll asks the daemons. It returns nil when every one of them knows nothing of
// the key, and every process that one of them knows has answered or has handed
// over its keys. It takes in what they vouch for then.
func (x *Executor) askAll(ctx context.Context, call *messenger.Call, asked []tracker.Record, q *messenger.KeyQuery) *messenger.Answer {
	k := &x.KeyCoordinator
	answers := make([]*messenger.Answer, len(asked))
	var g errgroup.Group
	for i, r := range asked {
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
			k.markClean(answer.Coverage.HandedOver...)
		}
	}
	there := map[messenger.Process]bool{{InstanceID: x.InstanceID, Incarnation: x.Incarnation}: true}
	for i, answer := range answers {
		if told := x.tell(call, asked[i], answer); told != nil {
			return told
		}
		there[messenger.Process{InstanceID: asked[i].InstanceID, Incarnation: answer.Coverage.Incarnation}] = true
	}
	for _, answer := range answers {
		for _, p := range answer.Coverage.Known {
			if !there[p] && !k.hasHandedOver(p) {
				return messenger.Unknown(call.ID, CauseKeyHomeLost)
			}
		}
	}
	for _, answer := range answers {
		k.extend(time.Duration(answer.Coverage.CoveredMS) * time.Millisecond)
	}
	return nil
}

// tell returns what the caller is told after the answer to a query, or nil if
// the daemon that was asked, and no successor of it, knows nothing of the key.
func (x *Executor) tell(call *messenger.Call, asked tracker.Record, answer *messenger.Answer) *messenger.Answer {
	switch {
	case answer.Outcome == messenger.OutcomeAnswered:
		again := *answer
		again.ID = call.ID
		return &again
	case answer.Cause == CauseKeyReused:
		return messenger.NotRun(call.ID, CauseKeyReused)
	case answer.Outcome != messenger.OutcomeNotRun || answer.Coverage == nil:
		return messenger.Unknown(call.ID, answer.Cause)
	case answer.Coverage.Incarnation != asked.Incarnation && !x.KeyCoordinator.isClean(asked):
		return messenger.Unknown(call.ID, CauseKeyHomeLost)
	}
	return nil
}

// forgetful returns nil when this daemon knows, itself or by others, that no
// keys of the service were lost for as long as the retention.
func (x *Executor) forgetful(call *messenger.Call) *messenger.Answer {
	k := &x.KeyCoordinator
	_, memory := k.ages()
	left := k.retention() - memory
	if left <= 0 {
		return nil
	}
	answer := messenger.Unknown(call.ID, CauseKeyMemory)
	answer.RetryAfterMS = left.Milliseconds()
	return answer
}

// learn takes in what the others vouch for, before one of them leaves.
func (x *Executor) learn(ctx context.Context) {
	k := &x.KeyCoordinator
	if k.Peers == nil || x.Service == nil {
		return
	}
	if _, memory := k.ages(); memory >= k.retention() {
		return
	}
	var none messenger.Call
	id := messenger.NewCallID()
	query := &messenger.KeyQuery{Key: messenger.KeyID(id), Asker: x.InstanceID, Incarnation: x.Incarnation}
	asked := others(x.InstanceID, k.Peers.Service(x.Service()), k.Peers.Draining(x.Service()))
	_ = x.askAll(ctx, &none, slices.Collect(maps.Values(asked)), query)
}
