package picker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/tracker"
)

// pickerModel drives a picker through random steps and checks what must hold
// whatever calls show.
type pickerModel struct {
	fleet *fleet
	open  []Choice
	// ready holds the records that are ready, draining those of them of which an
	// answer said that they drain.
	ready, draining map[string]bool
	sequence        uint64
	// ejected is the number of ejected targets after the step before.
	ejected int
}

func (m *pickerModel) announce(id string, state tracker.State) {
	m.sequence++
	r := record(id, []string{"mobile-bay", "selma-row"}[int(id[0])%2])
	r.Sequence, r.State = m.sequence, state
	m.fleet.Table.Merge([]tracker.Record{r})
	delete(m.draining, id)
	delete(m.ready, id)
	if state == tracker.StateReady {
		m.ready[id] = true
	}
}

func (m *pickerModel) pick(t *rapid.T) {
	c, ok := m.fleet.Pick(m.fleet.policy, Need{}, Tried{})
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

func (m *pickerModel) end(i int, r Result) {
	c := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	known := c.target == m.fleet.known(c.Record.InstanceID)
	c.Done(r)
	if id := c.Record.InstanceID; known && m.ready[id] && (r.Draining || r.Outcome == Draining) {
		m.draining[id] = true
	}
}

func (f *fleet) known(id string) *target {
	f.view("ledger-view", f.now())
	return f.service("ledger-view").known[id]
}

func (m *pickerModel) check(t *rapid.T) {
	ejected, inFlight := 0, int64(0)
	for _, v := range m.fleet.Targets() {
		inFlight += v.InFlight
		if known := m.fleet.known(v.InstanceID); known != nil && known.ejectedUntil.Load() != 0 {
			ejected++
		}
		if v.InFlight < 0 || v.FailurePercent < 0 || v.FailurePercent > 100 {
			t.Fatalf("target: got %+v, want numbers in range", v)
		}
	}
	if inFlight > int64(len(m.open)) {
		t.Fatalf("in flight: got %d, want at most %d", inFlight, len(m.open))
	}
	// Targets that leave may raise the share of those that are ejected.
	if limit := max(1, len(m.ready)*m.fleet.policy.MaxEjectedPercent/100); ejected > m.ejected && ejected > limit {
		t.Fatalf("ejected: got %d after %d, want at most %d of %d", ejected, m.ejected, limit, len(m.ready))
	}
	m.ejected = ejected
}

func TestPickerStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := &pickerModel{fleet: newFleet(nil), ready: make(map[string]bool), draining: make(map[string]bool)}
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
