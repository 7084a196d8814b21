package picker

import (
	"testing"
	"testing/synctest"
	"time"
)

// countPicks returns how many of n picks chose each target.
func (p *Picker) countPicks(n int) map[string]int {
	picks := make(map[string]int)
	for range n {
		c, _ := p.Pick(estimatePolicy(), Need{Objective: testObjective}, Tried{})
		c.target.inFlight.Add(-1)
		picks[c.Record.InstanceID]++
	}
	return picks
}

// A target that answers with errors at once has free slots when all others are busy. Were it
// chosen for them, most calls would fail.
func TestIdleFailingTargetGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEstimateFixture()
		p.reportLoad("near-1", loadReport{run: 50 * time.Millisecond, failureShare: 0.5})
		p.reportLoad("near-2", loadReport{running: 11, run: 100 * time.Millisecond})
		p.reportLoad("far", loadReport{running: 11, run: 100 * time.Millisecond})
		time.Sleep(loadFadeTime) // the reports say only what the mean loads are
		if got := p.countPicks(1000)["near-1"]; got > 100 {
			t.Errorf("calls to the failing target: got %d of 1000, want at most 100", got)
		}
	})
}

// While calls wait at all targets, all daemons know about the same. Were the target with the
// shortest queue chosen each time, it would get the calls of all daemons at once.
func TestUncertainRoomSharesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEstimateFixture()
		p.reportLoad("near-1", loadReport{running: 12, waiting: 6, run: 80 * time.Millisecond})
		p.reportLoad("near-2", loadReport{running: 12, waiting: 8, run: 80 * time.Millisecond})
		p.reportLoad("far", loadReport{running: 12, waiting: 12, run: 80 * time.Millisecond})
		time.Sleep(loadFadeTime)
		got := p.countPicks(1000)
		if got["near-1"] <= got["near-2"] || got["near-2"] < 250 {
			t.Errorf("calls: got %v, want more to near-1 than to near-2, and at least 250 to near-2", got)
		}
	})
}

// A refusal shows that a failure domain is short of room. A call that stays in it by news as old as
// that of its first attempt is refused several times and then fails.
func TestRefusedCallLeavesUncertainDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEstimateFixture()
		p.reportLoad("near-1", loadReport{running: 10, run: 80 * time.Millisecond})
		p.reportLoad("near-2", loadReport{running: 10, run: 80 * time.Millisecond})
		p.reportLoad("far", loadReport{running: 2, run: 80 * time.Millisecond})
		time.Sleep(loadFadeTime)
		first, _ := p.Pick(estimatePolicy(), Need{Objective: testObjective}, Tried{})
		if got := first.Record.Domain; got != "mobile-bay" {
			t.Errorf("first attempt: got domain %s, want mobile-bay", got)
		}
		first.Done(Result{Outcome: Overloaded})
		var tried Tried
		tried.Add(first)
		second, _ := p.Pick(estimatePolicy(), Need{Objective: testObjective}, tried)
		if got := second.Record.InstanceID; got != "far" {
			t.Errorf("second attempt: got %s, want far", got)
		}
		// Where bytes between domains are dear, larger calls stay.
		p.NearBytes = 4 << 10
		large, _ := p.Pick(estimatePolicy(), Need{Objective: testObjective, Bytes: p.NearBytes}, tried)
		if got := large.Record.Domain; got != "mobile-bay" {
			t.Errorf("second attempt of a larger call: got domain %s, want mobile-bay", got)
		}
	})
}

// A refusal by a full target while another one has free slots shows that load is uneven.
func TestRefusalBesideRoomIsCounted(t *testing.T) {
	for _, tt := range []struct {
		name        string
		runningElse int
		want        int64
	}{{"others idle", 2, 1}, {"others full", 12, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newEstimateFixture()
				for _, id := range []string{"near-1", "near-2", "far"} {
					p.reportLoad(id, loadReport{running: tt.runningElse, run: 100 * time.Millisecond})
				}
				c, _ := p.Pick(estimatePolicy(), Need{Objective: testObjective}, Tried{})
				c.Done(Result{Outcome: Overloaded, HasLoad: true, Running: 12, Slots: 12, Run: 100 * time.Millisecond})
				if got := p.Counters.RefusedBesideRoom.Value(); got != tt.want {
					t.Errorf("refusals beside room: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}
