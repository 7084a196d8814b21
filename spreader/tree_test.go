package spreader

import (
	"fmt"
	"testing"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// TestTreeConvergesAndReports checks that all daemons get each version, that
// each daemon learns the tally of the whole fleet, and that no daemon has more
// children than Fanout.
func TestTreeConvergesAndReports(t *testing.T) {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(9, "mobile-bay", "selma-row", "quimperle")
	f.waitConverged()
	f.waitMembers(27)
	f.waitRelays()
	for range 5 {
		f.acceptVersion()
	}
	f.waitConverged()
	f.waitFor("every daemon's tally complete", func() (bool, string) {
		for _, m := range f.members {
			got := m.Convergence().Fleet.Counts
			if len(got) != 1 || got[0] != (messenger.VersionCount{Version: f.accepted, Daemons: 27}) {
				return false, fmt.Sprintf("%s: %v", m.InstanceID, got)
			}
		}
		return true, ""
	})
	for _, m := range f.members {
		if got := m.Convergence(); got.Children > f.settings.Fanout {
			t.Errorf("%s: got %d children, want at most %d", m.InstanceID, got.Children, f.settings.Fanout)
		}
	}
}

// TestDrainAndDepartureReachEveryDaemon checks that all daemons learn of a
// draining target and of a killed one.
func TestDrainAndDepartureReachEveryDaemon(t *testing.T) {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(6, "mobile-bay", "selma-row")
	f.waitConverged()
	f.waitMembers(12)
	f.drain(f.members[3])
	f.waitMembers(11)
	killed := f.members[4]
	killed.kill()
	f.remove(killed)
	f.waitMembers(10)
	if got := f.members[0].Table.Departed("ledger-view"); len(got) != 1 || got[0].Record.InstanceID != killed.InstanceID {
		t.Errorf("departed: got %v, want %s", got, killed.InstanceID)
	}
}

// TestFalseDepartureIsRefuted marks a running daemon gone. Its own refutation
// must restore the record everywhere.
func TestFalseDepartureIsRefuted(t *testing.T) {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(5, "mobile-bay")
	f.waitConverged()
	f.waitMembers(5)
	victim, _ := f.members[0].Table.Find(f.members[4].InstanceID)
	f.members[0].markGone([]tracker.Record{victim})
	f.waitFor("the owner's refutation", func() (bool, string) {
		got := f.members[4].Counters.RecordsRefuted.Value()
		return got == 1, fmt.Sprint(got)
	})
	f.waitMembers(5)
}

// TestInvalidVersionRefusedAndNextApplied writes an invalid version past the
// acceptor. No daemon may apply any of it, the fleet tally must report the
// refusal, and the next valid version must be applied.
func TestInvalidVersionRefusedAndNextApplied(t *testing.T) {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(6, "mobile-bay")
	f.waitConverged()
	f.writeInvalid()
	f.waitFor("the refusal in the tally", func() (bool, string) {
		got := f.members[0].Convergence().Fleet
		ok := len(got.Counts) == 1 && got.Counts[0].Version == 1 && len(got.Lagging) > 0
		return ok, fmt.Sprintf("%+v", got)
	})
	f.acceptVersion()
	if want := versioner.Version(3); f.accepted != want {
		t.Fatalf("accepted: got %d, want %d", f.accepted, want)
	}
	f.waitConverged()
}
