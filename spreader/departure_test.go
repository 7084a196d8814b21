package spreader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

func ready(id, domain string) tracker.Record {
	return tracker.Record{InstanceID: id, Incarnation: 1, Sequence: 4, Service: "ledger-view", Domain: domain, State: tracker.StateReady}
}

func TestLostChildrenAreMarkedAfterTheGraceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lone()
		ids := []string{"child", "grandchild", "back"}
		for _, id := range ids {
			s.Table.Merge([]tracker.Record{ready(id, "mobile-bay")})
		}
		sess := &session{role: roleChild, node: messenger.Node{InstanceID: "child"}, members: make(map[string]struct{})}
		sess.addMembers(ids)
		s.forget(sess)
		time.Sleep(s.cfg.DepartureGrace - time.Second)
		s.markLost()
		if got := len(s.Table.Service("ledger-view")); got != 3 {
			t.Errorf("targets within the grace: got %d, want 3", got)
		}
		s.mu.Lock()
		s.found([]string{"back"})
		s.mu.Unlock()
		time.Sleep(time.Second)
		s.markLost()
		got := s.Table.Service("ledger-view")
		if len(got) != 1 || got[0].InstanceID != "back" {
			t.Errorf("targets after the grace: got %v, want the one that came back", got)
		}
	})
}

func TestUnreachedDaemonsAreMarkedOnceByRelaysThatSeeAll(t *testing.T) {
	tests := []struct {
		name     string
		relaying bool
		slots    []slot
		root     string
		want     tracker.State
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
				s := lone()
				s.slots = tt.slots
				if tt.relaying {
					s.relaySlot = slotKey("selma-row", 0)
				}
				s.reports["root"] = &rootReport{RootReport: messenger.RootReport{
					Domain: tt.root, Root: messenger.Node{InstanceID: "root", PeerAddress: "127.0.0.1:2"},
					Tally: messenger.Tally{Counts: []messenger.VersionCount{{Version: 1, Daemons: 1}}},
				}}
				s.Table.Merge([]tracker.Record{ready("unreached", "mobile-bay"), ready("foreign", "selma-row")})
				look := func() tracker.State {
					s.markUnreached()
					time.Sleep(2*s.cfg.DepartureGrace + time.Second)
					s.markUnreached()
					got, _ := s.Table.Find("unreached")
					return got.State
				}
				if got := look(); got != tt.want {
					t.Errorf("state: got %v, want %v", got, tt.want)
				}
				refuted := ready("unreached", "mobile-bay")
				refuted.Sequence = 9
				s.Table.Merge([]tracker.Record{refuted})
				if got := look(); got != tracker.StateReady && tt.relaying {
					t.Errorf("state after a refutation: got %v, want it left alone", got)
				}
				if got, _ := s.Table.Find("foreign"); got.State != tracker.StateReady {
					t.Errorf("record of another domain: got %v, want ready", got.State)
				}
			})
		})
	}
}

func TestSilentDomainsAreMarkedUnlessHalfOfThemAre(t *testing.T) {
	for silent, want := range []int{0, 1, 2, 0, 0, 0} {
		t.Run(fmt.Sprint(silent, " silent"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := lone()
				report := func(n int, sequence uint64) {
					domain := fmt.Sprint("domain-", n)
					s.takeReports(between(s), []messenger.RootReport{{
						Root: messenger.Node{InstanceID: "root-" + domain}, Domain: domain, Epoch: 1, Sequence: sequence,
						Tally: messenger.Tally{Counts: []messenger.VersionCount{{Version: 1, Daemons: 1}}},
					}})
					s.Table.Merge([]tracker.Record{ready(fmt.Sprint("target-", n), domain)})
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

func TestReportsAreNotSentToANeighborThatHasThem(t *testing.T) {
	s := lone()
	from, same, older := between(s), between(s), between(s)
	report := func(sequence uint64) []messenger.RootReport {
		return []messenger.RootReport{{Root: messenger.Node{InstanceID: "root"}, Domain: "selma-row", Epoch: 1, Sequence: sequence}}
	}
	s.takeReports(from, report(2))
	s.takeReports(same, report(2))
	s.takeReports(older, report(1))
	for name, tt := range map[string]struct {
		sess *session
		want bool
	}{"sender": {from, false}, "has it": {same, false}, "has an older one": {older, true}} {
		if got := s.rootReports(tt.sess) != nil; got != tt.want {
			t.Errorf("%s: report sent: got %v, want %v", name, got, tt.want)
		}
	}
}
