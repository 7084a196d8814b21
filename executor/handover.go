package executor

import (
	"context"

	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// HandOver gives the keys to the daemons that are their homes without this one.
// It fails when one of them did not take them; the keys are lost with this
// process then, and the others know it from its record.
func (x *Executor) HandOver(ctx context.Context) error {
	k := &x.KeyCoordinator
	if k.Peers == nil || x.Service == nil {
		return nil
	}
	heirs := others(x.InstanceID, k.Peers.Service(x.Service()))
	batches := make(map[string][]messenger.KeyRecord)
	records := k.Keys.Records(k.retention())
	if len(heirs) == 0 && len(records) > 0 {
		return &NoHeirError{Keys: len(records)}
	}
	for _, r := range records {
		best, rank := "", uint64(0)
		for id := range heirs {
			if n := messenger.Rank(r.Key, id); best == "" || n > rank {
				best, rank = id, n
			}
		}
		batches[best] = append(batches[best], r)
	}
	var g errgroup.Group
	for id, heir := range heirs {
		g.Go(func() error { return x.give(ctx, heir, batches[id]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, heir := range heirs {
		g.Go(func() error {
			m := x.newHandover(nil)
			m.Done = true
			_, err := x.KeyCoordinator.Ask(ctx, heir, m.ID, m)
			return err
		})
	}
	// The record that follows says the same to whom this doesn't reach.
	_ = g.Wait()
	return nil
}

func (x *Executor) newHandover(records []messenger.KeyRecord) *messenger.KeyHandover {
	return &messenger.KeyHandover{
		ID: messenger.NewCallID(), Keys: records, Sender: x.InstanceID, Incarnation: x.Incarnation,
	}
}

// give hands records to one heir, in messages of bounded size.
func (x *Executor) give(ctx context.Context, heir tracker.Record, records []messenger.KeyRecord) error {
	for first := true; first || len(records) > 0; first = false {
		n, bytes := 0, 0
		for n < len(records) && (n == 0 || bytes < handoverBatchBytes) {
			bytes += len(records[n].Answer.Body)
			n++
		}
		m := x.newHandover(records[:n])
		answer, err := x.KeyCoordinator.Ask(ctx, heir, m.ID, m)
		if err != nil {
			return err
		}
		if answer.Outcome != messenger.OutcomeAnswered {
			return &NoHeirError{Keys: len(records)}
		}
		x.KeyCoordinator.Keys.Counters.HandedOver.Add(int64(n))
		records = records[n:]
	}
	return nil
}

// NoHeirError reports keys that no other daemon took.
type NoHeirError struct{ Keys int }

// Error implements error.
func (e *NoHeirError) Error() string { return "no daemon took the idempotency keys" }

// takeOver takes in keys that another daemon hands over.
func (x *Executor) takeOver(ctx context.Context, l *servedLink, m *messenger.KeyHandover) {
	answer := &messenger.Answer{ID: m.ID, Outcome: messenger.OutcomeAnswered, Cause: causeKeysTaken}
	if err := x.KeyCoordinator.Keys.Import(m.Keys); err != nil {
		answer = messenger.NotRun(m.ID, CauseKeyTableFull)
	} else {
		if m.Done {
			x.KeyCoordinator.markClean(messenger.Process{InstanceID: m.Sender, Incarnation: m.Incarnation})
		}
		x.learn(ctx)
	}
	x.send(ctx, l, answer)
}
