package picker

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// TestExplainAgreesWithPick guards against an explanation that names other targets than those
// that get the calls, and against one that changes where calls go. The targets differ in
// speed, load and failures, and one is ejected.
func TestExplainAgreesWithPick(t *testing.T) {
	for _, objective := range []time.Duration{0, 400 * time.Millisecond} {
		t.Run(fmt.Sprint(objective), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(map[string]int{"mobile-bay": 4, "selma-row": 3})
				time.Sleep(time.Minute)
				f.failCalls(t, "mobile-bay-3", Failed, f.policy.EjectAfterFailures)
				f.failCalls(t, "mobile-bay-1", Failed, 1)
				for i := range 3 {
					f.pickUntil(t, fmt.Sprintf("mobile-bay-%d", i)).Done(Result{
						Outcome: Answered, HasLoad: true, Running: 2 * i, Slots: 12, Run: time.Duration(50+20*i) * time.Millisecond,
					})
				}
				need := Need{Objective: objective}
				before := f.Counters.Local.Value()
				explained := f.Explain(f.policy, need)
				if got := f.Counters.Local.Value(); got != before {
					t.Errorf("choices counted by Explain: got %d, want none", got-before)
				}
				const picks = 20_000
				got, expected := make(map[string]float64), make(map[string]time.Duration)
				for range picks {
					c, _ := f.Pick(f.policy, need, Tried{})
					got[c.Record.InstanceID] += 100.0 / picks
					expected[c.Record.InstanceID] = c.ExpectedLatency
					c.withdraw()
				}
				sum := 0.0
				for _, x := range explained {
					sum += x.OddsPercent
					if math.Abs(x.OddsPercent-got[x.InstanceID]) > 5 {
						t.Errorf("%s: explained %.1f%%, but Pick chose it for %.1f%%", x.InstanceID, x.OddsPercent, got[x.InstanceID])
					}
					if e := expected[x.InstanceID]; e > 0 && math.Abs(x.ExpectedMS-float64(e)/1e6) > 0.1 {
						t.Errorf("%s: explained %.1f ms, but Pick expected %v", x.InstanceID, x.ExpectedMS, e)
					}
					if x.InFlight != 0 {
						t.Errorf("%s: got %d calls in flight, want none", x.InstanceID, x.InFlight)
					}
				}
				if len(explained) != 7 || math.Abs(sum-100) > 0.1 {
					t.Errorf("got %d targets with %.1f%% together, want 7 with 100%%", len(explained), sum)
				}
				for _, x := range explained {
					if x.InstanceID == "mobile-bay-3" && (x.Use != "ejected" || x.OddsPercent > 0 || x.OutForMS <= 0) {
						t.Errorf("ejected target: got use %q, %.1f%%, out for %d ms", x.Use, x.OddsPercent, x.OutForMS)
					}
				}
			})
		})
	}
}

// TestExplainLeavesTheProbe guards against an explanation that takes the single call by which
// an ejected target may show that it answers again.
func TestExplainLeavesTheProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(map[string]int{"mobile-bay": 3})
		time.Sleep(time.Minute)
		f.failCalls(t, "mobile-bay-0", Failed, f.policy.EjectAfterFailures)
		time.Sleep(f.policy.EjectFor + time.Second)
		explained := f.Explain(f.policy, Need{})
		if x := explained[0]; x.Use != "probing" || x.Reason != "probe" || x.OddsPercent <= 0 {
			t.Errorf("got use %q, reason %q, %.1f%%, want a probe", x.Use, x.Reason, x.OddsPercent)
		}
		if c := f.pickUntil(t, "mobile-bay-0"); c.Reason != ReasonProbe {
			t.Errorf("next choice of the target: got reason %v, want a probe", c.Reason)
		}
	})
}
