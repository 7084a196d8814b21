package picker

import (
	"testing"

	"bambooweir.example/bambooweir/tracker"
)

// newVersionsFixture returns a picker with six targets of v1, three of v2 and two of v0.
func newVersionsFixture() *fixture {
	f := newFixture(nil)
	for version, ids := range map[string][]string{"v1": {"a", "b", "c", "d", "e", "f"}, "v2": {"g", "h", "i"}, "v0": {"j", "k"}} {
		for _, id := range ids {
			r := record(id, "mobile-bay")
			r.Version = version
			f.Table.Merge([]tracker.Record{r})
		}
	}
	return f
}

// versionsOf makes a number of choices and counts the targets by version, and those of v2.
func (f *fixture) versionsOf(versions Versions, n int) (byVersion, fresh map[string]int) {
	byVersion, fresh = make(map[string]int), make(map[string]int)
	for range n {
		c, ok := f.Pick(f.policy, Need{Versions: versions}, Tried{})
		if !ok {
			byVersion[""]++
			continue
		}
		c.Done(Result{Outcome: Answered})
		byVersion[c.Record.Version]++
		if c.Record.Version == "v2" {
			fresh[c.Record.InstanceID]++
		}
	}
	return byVersion, fresh
}

// TestPickByVersion checks between which targets calls are balanced while a service moves to a
// new version. It guards against a call to a version that is held or was rolled back, also where
// no other target is left.
func TestPickByVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		versions Versions
		remove   []string
		want     []string
		canaries int
	}{
		"no roll-out":         {want: []string{"v0", "v1", "v2"}, canaries: 3},
		"held":                {versions: Versions{Split: &Split{Version: "v2", Barred: []string{"v0"}}}, want: []string{"v1"}},
		"canary":              {versions: Versions{Split: &Split{Version: "v2", Canaries: 1}, UseNew: true}, want: []string{"v2"}, canaries: 1},
		"all new":             {versions: Versions{Split: &Split{Version: "v2"}, UseNew: true, IsMoved: true}, want: []string{"v2"}, canaries: 3},
		"canaries gone":       {versions: Versions{Split: &Split{Version: "v2", Canaries: 1}, UseNew: true}, remove: []string{"g", "h", "i"}, want: []string{"v0", "v1"}},
		"only barred ones":    {versions: Versions{Split: &Split{Barred: []string{"v0", "v1", "v2"}}}, want: []string{""}},
		"held, the old gone":  {versions: Versions{Split: &Split{Version: "v2", Barred: []string{"v0"}}}, remove: []string{"a", "b", "c", "d", "e", "f"}, want: []string{""}},
		"moved, the old gone": {versions: Versions{Split: &Split{Version: "v2", Barred: []string{"v0"}}, UseNew: true, IsMoved: true}, remove: []string{"a", "b", "c", "d", "e", "f"}, want: []string{"v2"}, canaries: 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionsFixture()
			for _, id := range tc.remove {
				r := record(id, "mobile-bay")
				r.Sequence, r.State = 2, tracker.StateGone
				f.Table.Merge([]tracker.Record{r})
			}
			got, fresh := f.versionsOf(tc.versions, 300)
			if len(got) != len(tc.want) || len(fresh) != tc.canaries {
				t.Errorf("got choices %v at %d targets of v2, want versions %q and %d", got, len(fresh), tc.want, tc.canaries)
			}
			for _, v := range tc.want {
				if got[v] == 0 {
					t.Errorf("got choices %v, want some of %q", got, v)
				}
			}
		})
	}
}

// TestEjectedTargetsOfTheWholeTrafficAreTheLastResort guards against calls that are refused, or
// sent to old targets that stop, while all targets of the version that took over are ejected.
func TestEjectedTargetsOfTheWholeTrafficAreTheLastResort(t *testing.T) {
	f := newVersionsFixture()
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "j", "k"} {
		r := record(id, "mobile-bay")
		r.Sequence, r.State = 2, tracker.StateGone
		f.Table.Merge([]tracker.Record{r})
	}
	f.policy.MaxEjectedPercent = 100
	moved := Versions{Split: &Split{Version: "v2"}, UseNew: true, IsMoved: true}
	for range 100 {
		c, ok := f.Pick(f.policy, Need{Versions: moved}, Tried{})
		if !ok || c.Record.Version != "v2" {
			t.Fatalf("got %+v, %v, want a target of v2", c.Record, ok)
		}
		c.Done(Result{Outcome: Unreachable})
	}
}

// TestPickByVersionAllocatesNothing guards against garbage on the call path.
func TestPickByVersionAllocatesNothing(t *testing.T) {
	f := newVersionsFixture()
	versions := Versions{Split: &Split{Version: "v2", Canaries: 1}}
	got := testing.AllocsPerRun(1000, func() {
		c, _ := f.Pick(f.policy, Need{Versions: versions}, Tried{})
		c.Done(Result{Outcome: Answered})
	})
	if got != 0 {
		t.Errorf("got %v allocations a choice, want 0", got)
	}
}
