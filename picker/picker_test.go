package picker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

func newPolicy() *applier.Policy {
	return &applier.Policy{
		Service: "ledger-view", Class: versioner.ClassLookup, Slots: 12, Idempotent: true,
		EjectAfterFailures: 5, EjectFor: 5 * time.Second, MaxEjectedPercent: 34,
		SlowStart: 10 * time.Second, SpillOverPercent: 80,
	}
}

func record(id, domain string) tracker.Record {
	return tracker.Record{InstanceID: id, Incarnation: 1, Sequence: 1, Service: "ledger-view", Domain: domain, State: tracker.StateReady}
}

// fixture is a picker in failure domain mobile-bay, with targets that are named
// after their domains.
type fixture struct {
	*Picker
	policy *applier.Policy
}

func newFixture(perDomain map[string]int) *fixture {
	f := &fixture{policy: newPolicy(), Picker: &Picker{Table: new(tracker.Table), Domain: "mobile-bay", Source: rand.NewPCG(1, 2)}}
	for _, domain := range []string{"mobile-bay", "selma-row", "natchez-hall"} {
		for i := range perDomain[domain] {
			f.Table.Merge([]tracker.Record{record(fmt.Sprintf("%s-%d", domain, i), domain)})
		}
	}
	return f
}

func (f *fixture) mustPick(t *testing.T) Choice {
	t.Helper()
	c, ok := f.Pick(f.policy, Need{}, Tried{})
	if !ok {
		t.Fatal("got no target")
	}
	return c
}

// pickUntil picks until the target is chosen and ends all other attempts as
// answered.
func (f *fixture) pickUntil(t *testing.T, id string) Choice {
	t.Helper()
	for range 1000 {
		c := f.mustPick(t)
		if c.Record.InstanceID == id {
			return c
		}
		c.Done(Result{Outcome: Answered})
	}
	t.Fatalf("got no pick of %s in 1000", id)
	return Choice{}
}

// failCalls ends n attempts at the target with the outcome.
func (f *fixture) failCalls(t *testing.T, id string, outcome Outcome, n int) {
	t.Helper()
	for range n {
		f.pickUntil(t, id).Done(Result{Outcome: outcome})
	}
}

// pickShares returns the percentage that each target gets of n calls that are
// answered at once.
func (f *fixture) pickShares(t *testing.T, n int) map[string]float64 {
	t.Helper()
	got := make(map[string]float64)
	for range n {
		c := f.mustPick(t)
		got[c.Record.InstanceID] += 100 / float64(n)
		c.Done(Result{Outcome: Answered})
	}
	return got
}

// useOf returns how the picker reports that it uses the target, or "" if it does
// not know the target.
func (f *fixture) useOf(id string) string {
	for _, v := range f.Targets() {
		if v.InstanceID == id {
			return v.Use
		}
	}
	return ""
}

func wantBetween(t *testing.T, what string, got, low, high float64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: got %.1f, want %.1f to %.1f", what, got, low, high)
	}
}

func TestEqualTargetsGetEqualShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(map[string]int{"mobile-bay": 5, "selma-row": 5})
		for id, share := range f.pickShares(t, 20_000) {
			wantBetween(t, id, share, 19, 21)
		}
		if got := f.Counters.Local.Value(); got != 20_000 {
			t.Errorf("local picks: got %d, want all 20000", got)
		}
	})
}

func TestTriedTargetIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(map[string]int{"mobile-bay": 2, "selma-row": 1})
		var tried Tried
		seen := make(map[string]bool)
		for range 3 {
			c, ok := f.Pick(f.policy, Need{}, tried)
			if !ok || seen[c.Record.InstanceID] {
				t.Errorf("got %q, %v, want a target not tried yet", c.Record.InstanceID, ok)
			}
			seen[c.Record.InstanceID] = true
			tried.Add(c)
		}
		if c, ok := f.Pick(f.policy, Need{}, tried); !ok || c.Reason != ReasonLastResort {
			t.Errorf("with all tried: got %v, %v, want a last resort", c.Reason, ok)
		}
	})
}

func TestDrainingAnswerRemovesTargetAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(map[string]int{"mobile-bay": 2})
		f.pickUntil(t, "mobile-bay-0").Done(Result{Outcome: Answered, Draining: true})
		if got := f.pickShares(t, 1000)["mobile-bay-0"]; got != 0 {
			t.Errorf("share of the draining target: got %.1f%%, want 0", got)
		}
		f.pickUntil(t, "mobile-bay-1").Done(Result{Outcome: Draining})
		if c, ok := f.Pick(f.policy, Need{}, Tried{}); ok {
			t.Errorf("with all draining: got %s, want none", c.Record.InstanceID)
		}
		back := record("mobile-bay-0", "mobile-bay")
		back.Sequence = 2
		f.Table.Merge([]tracker.Record{back})
		if got := f.pickShares(t, 100)["mobile-bay-0"]; got < 99.9 {
			t.Errorf("share after a newer record: got %.1f%%, want 100", got)
		}
	})
}

func TestNewIncarnationResetsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(map[string]int{"mobile-bay": 2})
		f.pickUntil(t, "mobile-bay-0").Done(Result{Outcome: Draining})
		f.failCalls(t, "mobile-bay-1", Failed, 5)
		for _, id := range []string{"mobile-bay-0", "mobile-bay-1"} {
			restarted := record(id, "mobile-bay")
			restarted.Incarnation = 2
			f.Table.Merge([]tracker.Record{restarted})
			if got := f.useOf(id); got != "in-use" {
				t.Errorf("%s after a restart of its daemon: got %s, want in-use", id, got)
			}
		}
	})
}

func TestSlowStartGrowsWithAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(map[string]int{"mobile-bay": 4})
		f.pickShares(t, 100)
		time.Sleep(2 * startupPeriod)
		f.Table.Merge([]tracker.Record{record("mobile-bay-9", "mobile-bay")})
		for _, tt := range []struct {
			age       time.Duration
			low, high float64
		}{
			{0, 0.2, 3}, {2500 * time.Millisecond, 3, 9}, {5 * time.Second, 8, 14}, {10 * time.Second, 18, 22},
		} {
			f.pickShares(t, 1)
			wantBetween(t, fmt.Sprintf("share at age %v", tt.age), f.pickShares(t, 5000)["mobile-bay-9"], tt.low, tt.high)
			time.Sleep(2500 * time.Millisecond)
			if tt.age == 5*time.Second {
				time.Sleep(2500 * time.Millisecond)
			}
		}
		again := record("mobile-bay-0", "mobile-bay")
		again.Sequence, again.Epoch = 2, 7
		f.Table.Merge([]tracker.Record{again})
		wantBetween(t, "share after a new epoch", f.pickShares(t, 5000)["mobile-bay-0"], 0.2, 3)
	})
}

func TestSpillOverByLoad(t *testing.T) {
	for _, tt := range []struct {
		load      int
		low, high float64
	}{
		{9, 0, 0},    // 75%
		{11, 30, 60}, // 92%
		// One spilled call in 15 draws both local targets and stays local.
		{12, 90, 96},
		{30, 90, 96},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(map[string]int{"mobile-bay": 2, "selma-row": 4})
			for _, id := range []string{"mobile-bay-0", "mobile-bay-1"} {
				f.pickUntil(t, id).Done(Result{Outcome: Answered, HasLoad: true, Running: tt.load})
			}
			remote := 0.0
			for range 4000 {
				c := f.mustPick(t)
				if c.Record.Domain != "mobile-bay" {
					remote += 100.0 / 4000
				}
				c.Done(Result{Outcome: Abandoned})
			}
			wantBetween(t, fmt.Sprintf("remote share with %d of 12 slots taken", tt.load), remote, tt.low, tt.high)
		})
	}
}

func TestPickWhileTableChanges(t *testing.T) {
	f := newFixture(map[string]int{"mobile-bay": 4})
	f.Source = nil
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 2000 {
				c, ok := f.Pick(f.policy, Need{}, Tried{})
				if !ok {
					t.Error("got no target, want one of the four that are always ready")
					return
				}
				c.Done(Result{Outcome: Outcome((n + i) % int(Draining)), HasLoad: true, Running: n % 12})
			}
		})
	}
	for n := range 500 {
		r := record("selma-row-0", "selma-row")
		r.Sequence, r.Epoch, r.State = uint64(n+2), uint64(n/4), tracker.State(1+n%2)
		f.Table.Merge([]tracker.Record{r})
		f.Targets()
	}
	wg.Wait()
	for id, load := range f.inFlight() {
		if load != 0 {
			t.Errorf("calls in flight at %s at the end: got %d, want 0", id, load)
		}
	}
}

// inFlight returns the calls in flight at each target.
func (f *fixture) inFlight() map[string]int64 {
	got := make(map[string]int64)
	for _, v := range f.Targets() {
		got[v.InstanceID] = v.InFlight
	}
	return got
}

func newBenchmarkFixture() *fixture {
	f := newFixture(map[string]int{"mobile-bay": 38})
	f.Source = nil
	return f
}

func TestPickAllocatesNothing(t *testing.T) {
	f := newBenchmarkFixture()
	for _, need := range []Need{{}, {Objective: testObjective}} {
		got := testing.AllocsPerRun(1000, func() {
			c, _ := f.Pick(f.policy, need, Tried{})
			c.Done(Result{Outcome: Answered, HasLoad: true, Running: 3})
		})
		if got != 0 {
			t.Errorf("allocations per pick with objective %v: got %v, want 0", need.Objective, got)
		}
	}
}

func BenchmarkPick38(b *testing.B) {
	f := newBenchmarkFixture()
	b.ReportAllocs()
	for b.Loop() {
		c, _ := f.Pick(f.policy, Need{}, Tried{})
		c.Done(Result{Outcome: Answered, HasLoad: true, Running: 3})
	}
}

func BenchmarkPickByEstimate38(b *testing.B) {
	f := newBenchmarkFixture()
	need := Need{Objective: testObjective}
	b.ReportAllocs()
	for b.Loop() {
		c, _ := f.Pick(f.policy, need, Tried{})
		c.Done(Result{Outcome: Answered, HasLoad: true, Running: 3, Slots: 12, Run: 150 * time.Millisecond})
	}
}

func BenchmarkPick38Parallel(b *testing.B) {
	f := newBenchmarkFixture()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := f.Pick(f.policy, Need{}, Tried{})
			c.Done(Result{Outcome: Answered, HasLoad: true, Running: 3})
		}
	})
}
