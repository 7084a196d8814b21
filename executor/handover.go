package executor

import (
	"context"

	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// HandOver sends the keys to the daemons that will own them when this one has left.
// It fails if one of them did not accept its keys. The keys are then lost with this
// process, and the other daemons learn that from its record.
func (x *Executor) HandOver(ctx context.Context) error {
	k := &x.KeyCoordinator
	if k.Peers == nil || x.Service == nil {
		return nil
	}
	successors := otherTargets(x.InstanceID, k.Peers.Service(x.Service()))
	batches := make(map[string][]messenger.KeyRecord)
	records := k.Keys.Records(k.retention())
	if len(successors) == 0 && len(records) > 0 {
		return &HandoverError{Keys: len(records)}
	}
	for _, r := range records {
		best, rank := "", uint64(0)
		for id := range successors {
			if n := messenger.Rank(r.Key, id); best == "" || n > rank {
				best, rank = id, n
			}
		}
		batches[best] = append(batches[best], r)
	}
	var g errgroup.Group
	for id, successor := range successors {
		g.Go(func() error { return x.sendKeys(ctx, successor, batches[id]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, successor := range successors {
		g.Go(func() error {
			m := x.newHandover(nil)
			m.Done = true
			_, err := x.KeyCoordinator.Ask(ctx, successor, m.ID, m)
			return err
		})
	}
	// The last record of this target, which is announced next, shows the handover to
	// daemons that these messages do not reach.
	_ = g.Wait()
	return nil
}

// newHandover returns a message that hands over the records.
func (x *Executor) newHandover(records []messenger.KeyRecord) *messenger.KeyHandover {
	return &messenger.KeyHandover{
		ID: messenger.NewCallID(), Keys: records, Sender: x.InstanceID, Incarnation: x.Incarnation,
	}
}

// sendKeys sends records to one successor, in messages of about handoverBatchBytes
// each. It sends at least one message, also without records.
func (x *Executor) sendKeys(ctx context.Context, successor tracker.Record, records []messenger.KeyRecord) error {
	for first := true; first || len(records) > 0; first = false {
		n, bytes := 0, 0
		for n < len(records) && (n == 0 || bytes < handoverBatchBytes) {
			bytes += len(records[n].Answer.Body)
			n++
		}
		m := x.newHandover(records[:n])
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
		x.refreshKeyHistory(ctx)
	}
	x.send(ctx, l, answer)
}
