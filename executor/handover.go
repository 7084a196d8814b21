package executor

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// historySuccessors is the number of daemons that get the loss-free history of a
// daemon that leaves. It doesn't depend on the size of the service, so that the cost
// of a departure doesn't either.
const historySuccessors = 3

// HandOver sends the keys to the daemons that will own them when this one has left,
// and the loss-free history of keys to them and to historySuccessors more. It fails
// if a daemon did not accept its keys. The keys are then lost with this process, and
// the other daemons learn that from its record. A history that was not accepted loses
// no keys, and HandOver does not fail for it.
func (x *Executor) HandOver(ctx context.Context) error {
	k := &x.KeyCoordinator
	if k.Peers == nil || x.Service == nil {
		return nil
	}
	successors := otherTargets(x.InstanceID, k.Peers.Service(x.Service()))
	records := k.Keys.Records(k.retention())
	if len(successors) == 0 && len(records) > 0 {
		return &HandoverError{Keys: len(records)}
	}
	batches := make(map[string][]messenger.KeyRecord)
	for _, r := range records {
		best, rank := "", uint64(0)
		for id := range successors {
			if n := messenger.Rank(r.Key, id); best == "" || n > rank {
				best, rank = id, n
			}
		}
		batches[best] = append(batches[best], r)
	}
	for _, id := range x.chooseHistorySuccessors(successors) {
		if _, ok := batches[id]; !ok {
			batches[id] = nil
		}
	}
	var g errgroup.Group
	for id, batch := range batches {
		g.Go(func() error {
			err := x.sendKeys(ctx, successors[id], batch)
			if len(batch) == 0 {
				return nil
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for id := range batches {
		g.Go(func() error {
			m := x.newHandover(nil)
			m.Done = true
			_, err := x.KeyCoordinator.Ask(ctx, successors[id], m.ID, m)
			return err
		})
	}
	// The last record of this target, which is announced next, shows the handover to
	// the daemons that get no message or that these messages do not reach.
	_ = g.Wait()
	return nil
}

// chooseHistorySuccessors returns the ids of at most historySuccessors of the targets,
// chosen by their rank for this process, so that departures spread over the service.
func (x *Executor) chooseHistorySuccessors(successors map[string]tracker.Record) []string {
	var seed messenger.KeyID
	binary.BigEndian.PutUint64(seed[:], x.Incarnation)
	ids := slices.SortedFunc(maps.Keys(successors), func(a, b string) int {
		return cmp.Compare(messenger.Rank(seed, b), messenger.Rank(seed, a))
	})
	return ids[:min(len(ids), historySuccessors)]
}

// newHandover returns a message that hands over the records.
func (x *Executor) newHandover(records []messenger.KeyRecord) *messenger.KeyHandover {
	return &messenger.KeyHandover{
		ID: messenger.NewCallID(), Keys: records, Sender: x.InstanceID, Incarnation: x.Incarnation,
	}
}

// sendKeys sends records to one successor, in messages of about handoverBatchBytes
// each. It sends at least one message, also without records; the first one carries this
// daemon's loss-free history of keys.
func (x *Executor) sendKeys(ctx context.Context, successor tracker.Record, records []messenger.KeyRecord) error {
	for first := true; first || len(records) > 0; first = false {
		n, bytes := 0, 0
		for n < len(records) && (n == 0 || bytes < handoverBatchBytes) {
			bytes += len(records[n].Answer.Body)
			n++
		}
		m := x.newHandover(records[:n])
		if first {
			m.Coverage = x.keyHistory()
		}
		answer, err := x.KeyCoordinator.Ask(ctx, successor, m.ID, m)
		if err != nil {
			return err
		}
		if answer.Outcome != messenger.OutcomeAnswered {
			return &HandoverError{Keys: len(records)}
		}
		x.KeyCoordinator.Keys.Counters.HandedOver.Add(int64(n))
		records = records[n:]
	}
	return nil
}

// HandoverError reports keys that no other daemon accepted.
type HandoverError struct{ Keys int }

// Error implements error.
func (e *HandoverError) Error() string { return "idempotency keys were not accepted by another daemon" }

// receiveHandover stores keys that another daemon hands over, and answers it.
func (x *Executor) receiveHandover(ctx context.Context, l *servedLink, m *messenger.KeyHandover) {
	answer := &messenger.Answer{ID: m.ID, Outcome: messenger.OutcomeAnswered, Cause: causeKeysTaken}
	if err := x.KeyCoordinator.Keys.Import(m.Keys); err != nil {
		answer = messenger.NotRun(m.ID, CauseKeyTableFull)
	} else {
		if m.Done {
			x.KeyCoordinator.markHandedOver(messenger.Process{InstanceID: m.Sender, Incarnation: m.Incarnation})
		}
		if len(m.Keys) > 0 {
			x.introduceToPeers(ctx)
		}
		x.adoptKeyHistory(messenger.Process{InstanceID: m.Sender, Incarnation: m.Incarnation}, m.Coverage)
	}
	x.send(ctx, l, answer)
}

// introduceToPeers makes the daemons of the service's other targets know this process,
// which may now hold the only copy of some keys. If it were lost before its record reaches
// them, they would otherwise take those keys for never run. Once per retention is enough,
// since peers remember whoever has queried them for longer.
func (x *Executor) introduceToPeers(ctx context.Context) {
	k := &x.KeyCoordinator
	if k.Peers == nil || x.Service == nil || k.isIntroduced() {
		return
	}
	service := x.Service()
	known := x.knownProcesses(service)
	id := messenger.NewCallID()
	query := &messenger.KeyQuery{
		Key: messenger.KeyID(id), Asker: x.InstanceID, Incarnation: x.Incarnation, KnownDigest: messenger.DigestProcesses(known),
	}
	peers := otherTargets(x.InstanceID, k.Peers.Service(service), k.Peers.Draining(service))
	if x.queryPeers(ctx, &messenger.Call{Service: service}, slices.Collect(maps.Values(peers)), query, known) == nil {
		k.setIntroduced()
	}
}

// adoptKeyHistory extends this daemon's loss-free history of keys by that of a process
// that leaves. It does so only if every process on which that history depends is this
// one, the sender, one that has handed over its keys, or one that this daemon knows to
// exist: it then learns of the loss of each of them from the process's record.
func (x *Executor) adoptKeyHistory(sender messenger.Process, history *messenger.KeyCoverage) {
	k := &x.KeyCoordinator
	if k.Peers == nil || x.Service == nil || history == nil {
		return
	}
	service := x.Service()
	k.markHandedOver(history.HandedOver...)
	known := map[messenger.Process]bool{sender: true, {InstanceID: x.InstanceID, Incarnation: x.Incarnation}: true}
	for _, r := range slices.Concat(k.Peers.Service(service), k.Peers.Draining(service)) {
		known[processOf(r)] = true
	}
	for _, p := range history.Known {
		if !known[p] && !k.hasLeftAfterHandover(service, p) {
			return
		}
	}
	k.extendLossFree(time.Duration(history.CoveredMS) * time.Millisecond)
}
