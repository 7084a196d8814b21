package spreader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// readyRecord returns the record of a ready target.
func readyRecord(id, domain string) tracker.Record {
	return tracker.Record{InstanceID: id, Incarnation: 1, Sequence: 4, Service: "ledger-view", Domain: domain, State: tracker.StateReady}
}

// TestLostChildrenMarkedGoneAfterGrace ends the session of a child. The daemons
// reached through it must keep their records during the departure grace, and
// one that rejoins in that time must not be marked gone.
func TestLostChildrenMarkedGoneAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newIdleSpreader()
		ids := []string{"child", "grandchild", "back"}
		for _, id := range ids {
			s.Table.Merge([]tracker.Record{readyRecord(id, "mobile-bay")})
		}
		sess := &session{role: roleChild, node: messenger.Node{InstanceID: "child"}, members: make(map[string]struct{})}
		sess.addMembers(ids)
		s.removeSession(sess)
		time.Sleep(s.cfg.DepartureGrace - time.Second)
		s.markLostDaemons()
		if got := len(s.Table.Service("ledger-view")); got != 3 {
			t.Errorf("targets during the grace: got %d, want 3", got)
		}
		s.mu.Lock()
		s.cancelGrace([]string{"back"})
		s.mu.Unlock()
		time.Sleep(time.Second)
		s.markLostDaemons()
		got := s.Table.Service("ledger-view")
		if len(got) != 1 || got[0].InstanceID != "back" {
			t.Errorf("targets after the grace: got %v, want only the one that rejoined", got)
		}
	})
}

// TestUnreachableDaemonsMarkedGoneOnce guards against two false departures: a
// relay that does not see all relays and roots of its domain must not mark a
// daemon that is merely in another tree, and no relay may mark a daemon again
// after it refuted the first mark.
func TestUnreachableDaemonsMarkedGoneOnce(t *testing.T) {
	tests := []struct {
		name    string
		isRelay bool
		slots   []slot
		root    string
		want    tracker.State
	}{
		{"relay", true, nil, "", tracker.StateGone},
		{"no relay", false, nil, "", tracker.StateReady},
		{"relay without a link to the other", true, []slot{{domain: "mobile-bay", addr: "127.0.0.1:1"}}, "", tracker.StateReady},
		{"relay without a link to a root that has no slot", true, nil, "mobile-bay", tracker.StateReady},
		{"root of another domain", true, nil, "selma-row", tracker.StateGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newIdleSpreader()
				s.slots = tt.slots
				if tt.isRelay {
					s.relaySlot = slotKey("selma-row", 0)
				}
				s.reports["root"] = &rootReport{RootReport: messenger.RootReport{
					Domain: tt.root, Root: messenger.Node{InstanceID: "root", PeerAddress: "127.0.0.1:2"},
					Tally: messenger.Tally{Counts: []messenger.VersionCount{{Version: 1, Daemons: 1}}},
				}}
				s.Table.Merge([]tracker.Record{readyRecord("unreached", "mobile-bay"), readyRecord("foreign", "selma-row")})
				stateAfterTwoChecks := func() tracker.State {
					s.markUnreachable()
					time.Sleep(2*s.cfg.DepartureGrace + time.Second)
					s.markUnreachable()
					got, _ := s.Table.Find("unreached")
					return got.State
				}
				if got := stateAfterTwoChecks(); got != tt.want {
					t.Errorf("state: got %v, want %v", got, tt.want)
				}
				refuted := readyRecord("unreached", "mobile-bay")
				refuted.Sequence = 9
				s.Table.Merge([]tracker.Record{refuted})
				if got := stateAfterTwoChecks(); got != tracker.StateReady && tt.isRelay {
					t.Errorf("state after a refutation: got %v, want ready", got)
				}
				if got, _ := s.Table.Find("foreign"); got.State != tracker.StateReady {
					t.Errorf("record of another domain: got %v, want ready", got.State)
				}
			})
		})
	}
}

// TestSilentDomainsMarkedGoneUnlessHalfAreSilent guards against a root that is
// cut off itself and marks the rest of the fleet gone: it may mark silent
// domains only while most domains still report.
func TestSilentDomainsMarkedGoneUnlessHalfAreSilent(t *testing.T) {
	for silent, want := range []int{0, 1, 2, 0, 0, 0} {
		t.Run(fmt.Sprint(silent, " silent"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newIdleSpreader()
				report := func(n int, sequence uint64) {
					domain := fmt.Sprint("domain-", n)
					s.handleReports(newIdleSession(s), []messenger.RootReport{{
						Root: messenger.Node{InstanceID: "root-" + domain}, Domain: domain, Epoch: 1, Sequence: sequence,
						Tally: messenger.Tally{Counts: []messenger.VersionCount{{Version: 1, Daemons: 1}}},
					}})
					s.Table.Merge([]tracker.Record{readyRecord(fmt.Sprint("target-", n), domain)})
				}
				for n := range 5 {
					report(n, 1)
				}
				time.Sleep(s.cfg.DomainSilence + time.Second)
				for n := silent; n < 5; n++ {
					report(n, 2)
				}
				s.markSilentDomains()
				if got := 5 - len(s.Table.Service("ledger-view")); got != want {
					t.Errorf("targets marked: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestReportsAreNotSentToANeighborThatHasThem checks that a report goes to
// neighbors that have an older one, and not back to its sender or to a neighbor
// that has sent the same one.
func TestReportsAreNotSentToANeighborThatHasThem(t *testing.T) {
	s := newIdleSpreader()
	from, same, older := newIdleSession(s), newIdleSession(s), newIdleSession(s)
	report := func(sequence uint64) []messenger.RootReport {
		return []messenger.RootReport{{Root: messenger.Node{InstanceID: "root"}, Domain: "selma-row", Epoch: 1, Sequence: sequence}}
	}
	s.handleReports(from, report(2))
	s.handleReports(same, report(2))
	s.handleReports(older, report(1))
	for name, tt := range map[string]struct {
		sess *session
		want bool
	}{"sender": {from, false}, "has it": {same, false}, "has an older one": {older, true}} {
		if got := s.reportsMessage(tt.sess) != nil; got != tt.want {
			t.Errorf("%s: report sent: got %v, want %v", name, got, tt.want)
		}
	}
}
