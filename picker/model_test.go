package picker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/tracker"
)

// pickerModel drives a picker through random steps and checks the invariants that
// must hold whatever the results of calls.
type pickerModel struct {
	fixture *fixture
	open    []Choice
	// ready holds the instances whose record is ready, draining those of them for
	// which an answer reported that they drain.
	ready, draining map[string]bool
	sequence        uint64
	// ejected is the number of ejected targets after the previous step.
	ejected int
}

// announce merges a newer record of the instance into the table.
func (m *pickerModel) announce(id string, state tracker.State) {
	m.sequence++
	r := record(id, []string{"mobile-bay", "selma-row"}[int(id[0])%2])
	r.Sequence, r.State = m.sequence, state
	m.fixture.Table.Merge([]tracker.Record{r})
	delete(m.draining, id)
	delete(m.ready, id)
	if state == tracker.StateReady {
		m.ready[id] = true
	}
}

// pick checks that Pick finds a target if and only if one is ready and not
// draining.
func (m *pickerModel) pick(t *rapid.T) {
	c, ok := m.fixture.Pick(m.fixture.policy, Need{}, Tried{})
	if want := len(m.ready) > len(m.draining); ok != want {
		t.Fatalf("pick: got %v, want %v with %d ready and %d draining", ok, want, len(m.ready), len(m.draining))
	}
	if !ok {
		return
	}
	if id := c.Record.InstanceID; !m.ready[id] || m.draining[id] {
		t.Fatalf("pick: got %s, which is not ready or drains", id)
	}
	m.open = append(m.open, c)
}

// end ends an open attempt with the result.
func (m *pickerModel) end(i int, r Result) {
	c := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	known := c.target == m.fixture.knownTarget(c.Record.InstanceID)
	c.Done(r)
	if id := c.Record.InstanceID; known && m.ready[id] && (r.Draining || r.Outcome == Draining) {
		m.draining[id] = true
	}
}

// knownTarget returns the picker's state of a target, or nil.
func (f *fixture) knownTarget(id string) *target {
	f.view("ledger-view", f.now())
	return f.service("ledger-view").targets[id]
}

// check checks the invariants after each step.
func (m *pickerModel) check(t *rapid.T) {
	ejected, inFlight := 0, int64(0)
	for _, v := range m.fixture.Targets() {
		inFlight += v.InFlight
		if known := m.fixture.knownTarget(v.InstanceID); known != nil && known.ejectedUntil.Load() != 0 {
			ejected++
		}
		if v.InFlight < 0 || v.FailurePercent < 0 || v.FailurePercent > 100 {
			t.Fatalf("target: got %+v, want numbers in range", v)
		}
	}
	if inFlight > int64(len(m.open)) {
		t.Fatalf("in flight: got %d, want at most %d", inFlight, len(m.open))
	}
	// Targets that leave raise the share of ejected ones, so only a further
	// ejection above the limit is a failure.
	if limit := max(1, len(m.ready)*m.fixture.policy.MaxEjectedPercent/100); ejected > m.ejected && ejected > limit {
		t.Fatalf("ejected: got %d after %d, want at most %d of %d", ejected, m.ejected, limit, len(m.ready))
	}
	m.ejected = ejected
}

func TestPickerStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := &pickerModel{fixture: newFixture(nil), ready: make(map[string]bool), draining: make(map[string]bool)}
			id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("%c", 'a'+rapid.IntRange(0, 5).Draw(t, "id")) })
			states := rapid.SampledFrom([]tracker.State{tracker.StateReady, tracker.StateReady, tracker.StateReady, tracker.StateDraining, tracker.StateGone, tracker.StateWarming})
			rt.Repeat(map[string]func(*rapid.T){
				"announce": func(rt *rapid.T) { m.announce(id.Draw(rt, "instance"), states.Draw(rt, "state")) },
				"pick":     m.pick,
				"end": func(rt *rapid.T) {
					if len(m.open) == 0 {
						rt.Skip()
					}
					i := rapid.IntRange(0, len(m.open)-1).Draw(rt, "open")
					m.end(i, Result{Outcome: Outcome(rapid.IntRange(0, int(Abandoned)).Draw(rt, "outcome"))})
				},
				"pass": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "ms")) * time.Millisecond)
				},
				"": m.check,
			})
		})
	})
}
