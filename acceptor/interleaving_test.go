package acceptor_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// plannedChange is one change that an editor makes after a pause.
type plannedChange struct {
	pause    time.Duration
	names    []string
	slots    int
	setsBase bool
	repeats  int
}

// editor is one concurrent editor with its own faulty client of the store.
type editor struct {
	id        int
	changes   []plannedChange
	script    []step
	lateDelay time.Duration
}

// outcome is the final result that an editor got for a change.
type outcome struct {
	change  acceptor.Change
	version versioner.Version
	err     error
}

// drawEditor draws the changes and the fault script of an editor.
func drawEditor(t *rapid.T, id int) editor {
	ms := func(limit int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Millisecond
	}
	e := editor{id: id, lateDelay: ms(4000, "late")}
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		e.changes = append(e.changes, plannedChange{
			pause:    ms(300, "pause"),
			names:    rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID).Draw(t, "names"),
			slots:    rapid.IntRange(1, 4).Draw(t, "slots"),
			setsBase: rapid.Bool().Draw(t, "sets base"),
			repeats:  rapid.IntRange(0, 2).Draw(t, "repeats"),
		})
	}
	for range rapid.IntRange(0, 30).Draw(t, "faults") {
		f := rapid.SampledFrom([]fault{0, 0, faultRequestLost, faultAnswerLost, faultRequestLate}).Draw(t, "fault")
		s := step{delay: ms(100, "delay"), fault: f}
		if f != 0 && rapid.Bool().Draw(t, "has outage") {
			s.outage = ms(3000, "outage")
		}
		e.script = append(e.script, s)
	}
	return e
}

// run makes the editor's changes and returns their outcomes.
func (e *editor) run(ctx context.Context, store storer.Client) []outcome {
	client := &faultyClient{Client: store, script: e.script, lateDelay: e.lateDelay}
	defer client.wg.Wait()
	a := &acceptor.Acceptor{Store: client, Timeout: time.Second, RecentBytes: 800}
	var outcomes []outcome
	for i, p := range e.changes {
		time.Sleep(p.pause)
		c := change(fmt.Sprintf("editor-%d-change-%d", e.id, i))
		for _, name := range p.names {
			c.Upserts = append(c.Upserts, service(name, p.slots))
		}
		if p.setsBase {
			head, _, _ := acceptor.ReadHead(ctx, store)
			c.Base = head.Version
		}
		outcomes = append(outcomes, e.accept(ctx, a, c, p.repeats))
	}
	return outcomes
}

// accept makes a change, and repeats it with the same id up to the given number of
// times while its outcome is unknown.
func (e *editor) accept(ctx context.Context, a *acceptor.Acceptor, c acceptor.Change, repeats int) outcome {
	v, err := a.Accept(ctx, c)
	var unknown *acceptor.UnknownOutcomeError
	for ; repeats > 0 && errors.As(err, &unknown); repeats-- {
		again, failed := a.Accept(ctx, c)
		if failed == nil {
			v, err = again, nil
		}
	}
	return outcome{change: c, version: v, err: err}
}

// checkOutcomes compares the outcomes that the editors got with the history in the
// store.
func checkOutcomes(ctx context.Context, store *fakestorer.Store, outcomes []outcome) error {
	deltas, err := acceptor.ReadHistory(ctx, store, 1000)
	if err != nil {
		return err
	}
	head, _, err := acceptor.ReadHead(ctx, store)
	if err != nil {
		return err
	}
	if _, err := acceptor.ReadDocument(ctx, store, head); err != nil {
		return err
	}
	if got, want := len(deltas), int(head.Version); got != want {
		return fmt.Errorf("history: got %d versions, want %d", got, want)
	}
	accepted, err := replay(deltas, &head, outcomes)
	if err != nil {
		return err
	}
	for _, o := range outcomes {
		id := o.change.Audit.ChangeID
		v, ok := accepted[id]
		var unknown *acceptor.UnknownOutcomeError
		switch {
		case o.err == nil && v != o.version:
			return fmt.Errorf("change %s: got version %d, the store holds version %d", id, o.version, v)
		case o.err != nil && ok && !errors.As(o.err, &unknown):
			return fmt.Errorf("change %s: got %w, the store holds it as version %d", id, o.err, v)
		}
	}
	return nil
}

// replay applies all deltas, which are sorted newest first, to the empty document
// and returns the version that each change created. It fails if a change created
// two versions, overwrote an entry that is newer than its base, or if the result
// differs from the head.
func replay(deltas []versioner.Delta, head *acceptor.Head, outcomes []outcome) (map[string]versioner.Version, error) {
	base := make(map[string]versioner.Version)
	for _, o := range outcomes {
		base[o.change.Audit.ChangeID] = o.change.Base
	}
	accepted := make(map[string]versioner.Version)
	doc := new(versioner.Document)
	for i := len(deltas) - 1; i >= 0; i-- {
		d := deltas[i]
		id := d.Audit.ChangeID
		if v, twice := accepted[id]; twice {
			return nil, fmt.Errorf("change %s created versions %d and %d", id, v, d.To)
		}
		accepted[id] = d.To
		for _, e := range d.Upserts {
			before, ok := doc.Find(e.Key)
			if ok && base[id] > 0 && before.Revision > base[id] {
				return nil, fmt.Errorf("change %s with base %d overwrote %s of version %d", id, base[id], e.Key, before.Revision)
			}
		}
		next, err := doc.Apply(d)
		if err != nil {
			return nil, err
		}
		doc = next
	}
	if got, _ := doc.Digest(); head.Version > 0 && got != head.Digest {
		return nil, fmt.Errorf("replayed digest: got %s, want %s", got, head.Digest)
	}
	return accepted, nil
}

// TestAcceptInterleavings runs random concurrent editors over faulty clients. It
// guards against changes that are lost, accepted twice or misreported, and against
// conflicts that go unnoticed.
func TestAcceptInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var editors []editor
		for id := range rapid.IntRange(2, 4).Draw(rt, "editors") {
			editors = append(editors, drawEditor(rt, id))
		}
		var failure error
		synctest.Test(t, func(t *testing.T) {
			store := newStore()
			mustAccept(t, &acceptor.Acceptor{Store: store}, change("first", magnolia(50)))
			outcomes := make([][]outcome, len(editors))
			var wg sync.WaitGroup
			for i := range editors {
				wg.Go(func() { outcomes[i] = editors[i].run(t.Context(), store) })
			}
			wg.Wait()
			var all []outcome
			for _, o := range outcomes {
				all = append(all, o...)
			}
			failure = checkOutcomes(t.Context(), store, all)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// TestAcceptEveryTwoFaults injects two faults into a change, at every pair of its
// first nine calls and with every pair of faults. The second fault starts an outage of a
// minute.
func TestAcceptEveryTwoFaults(t *testing.T) {
	const calls = 9
	faults := []fault{faultRequestLost, faultAnswerLost, faultRequestLate}
	var scripts [][]step
	for first := range calls {
		for second := range calls - first - 1 {
			for _, f := range faults {
				for _, g := range faults {
					script := make([]step, calls)
					script[first] = step{fault: f}
					script[first+1+second] = step{fault: g, outage: time.Minute}
					scripts = append(scripts, script)
				}
			}
		}
	}
	for _, script := range scripts {
		synctest.Test(t, func(t *testing.T) {
			store := newStore()
			mustAccept(t, &acceptor.Acceptor{Store: store}, change("first", magnolia(50)))
			client := &faultyClient{Client: store, script: script, lateDelay: 20 * time.Second}
			o := outcome{change: change("one", service("a", 1))}
			o.version, o.err = (&acceptor.Acceptor{Store: client}).Accept(t.Context(), o.change)
			client.wg.Wait()
			if err := checkOutcomes(t.Context(), store, []outcome{o}); err != nil {
				t.Errorf("script %v: %v", script, err)
			}
		})
	}
}

// TestAcceptManyEditors checks that concurrent changes of different entries are all
// accepted, no matter how many versions were accepted between their first attempt
// and the successful one.
func TestAcceptManyEditors(t *testing.T) {
	const editors, changes = 16, 5
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		mustAccept(t, &acceptor.Acceptor{Store: store}, change("first", magnolia(50)))
		var wg sync.WaitGroup
		for i := range editors {
			wg.Go(func() {
				script := make([]step, 10_000)
				for n := range script {
					script[n].delay = 3 * time.Millisecond
				}
				a := &acceptor.Acceptor{Store: &faultyClient{Client: store, script: script}}
				for n := range changes {
					if _, err := a.Accept(t.Context(), change(fmt.Sprintf("%d-%d", i, n), service(fmt.Sprint("s", i), n+1))); err != nil {
						t.Errorf("editor %d, change %d: %v", i, n, err)
					}
				}
			})
		}
		wg.Wait()
		head, _, _ := acceptor.ReadHead(t.Context(), store)
		if got, want := head.Version, versioner.Version(1+editors*changes); got != want {
			t.Errorf("versions: got %d, want %d", got, want)
		}
	})
}
