package spreader

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/tracker"
)

// newConvergedFleet returns a fleet of three failure domains that has
// converged.
func newConvergedFleet(t *testing.T, perDomain int) *fleet {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(perDomain, "mobile-bay", "selma-row", "quimperle")
	f.waitConverged()
	f.waitRelays()
	f.waitMembers(3 * perDomain)
	return f
}

// waitLeasesExpired waits until every lease that is not renewed has expired.
func (f *fleet) waitLeasesExpired() { time.Sleep(2 * f.settings.LeaseTTL) }

// TestTwoStoreOutagesLongerThanLease accepts a version during each of two
// outages of the store in which all relay leases expire. The fleet must
// converge after each, and get its relays back.
func TestTwoStoreOutagesLongerThanLease(t *testing.T) {
	f := newConvergedFleet(t, 6)
	for range 2 {
		f.setStore(fakestorer.Fault{IsDown: true})
		f.acceptVersion()
		f.waitLeasesExpired()
		f.setStore(fakestorer.Fault{})
		f.waitConverged()
	}
	f.waitRelays()
	f.waitMembers(18)
}

// TestRelaysKilledWhileTheStoreIsDown kills all relays when no other daemon can
// claim a slot. Membership must still spread, and the fleet must converge once
// the store is back.
func TestRelaysKilledWhileTheStoreIsDown(t *testing.T) {
	f := newConvergedFleet(t, 6)
	f.setStore(fakestorer.Fault{IsDown: true})
	killed := f.killAll(f.relays())
	f.waitLeasesExpired()
	f.drain(f.members[0])
	f.acceptVersion()
	f.setStore(fakestorer.Fault{})
	f.waitConverged()
	f.waitMembers(11)
	for _, m := range killed {
		f.restart(m)
	}
	f.waitConverged()
	f.waitMembers(17)
}

// drain announces that m is draining and waits until all members know it.
func (f *fleet) drain(m *member) {
	f.t.Helper()
	own, _ := m.Table.Find(m.InstanceID)
	own.Sequence++
	own.State = tracker.StateDraining
	m.Announce(f.t.Context(), []tracker.Record{own})
	f.waitFor("the drain of "+m.InstanceID, func() (bool, string) {
		for _, other := range f.members {
			if got, _ := other.Table.Find(m.InstanceID); got.State != tracker.StateDraining {
				return false, fmt.Sprintf("%s: %+v", other.InstanceID, got)
			}
		}
		return true, ""
	})
}

// TestStoreSlowAndLosingAnswers checks that the fleet converges and has its
// relays afterwards while the store answers late, or reports writes as failed
// that took effect.
func TestStoreSlowAndLosingAnswers(t *testing.T) {
	tests := []struct {
		name  string
		fault fakestorer.Fault
	}{
		{"slow", fakestorer.Fault{Delay: 400 * time.Millisecond}},
		{"losing answers", fakestorer.Fault{LosesAnswers: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newConvergedFleet(t, 4)
			f.setStore(tt.fault)
			f.acceptVersion()
			f.waitConverged()
			f.waitLeasesExpired()
			f.acceptVersion()
			f.waitConverged()
			f.setStore(fakestorer.Fault{})
			f.waitRelays()
		})
	}
}

// killAll kills the members at the same time and returns them.
func (f *fleet) killAll(members []*member) []*member {
	for _, m := range members {
		m.cancel()
		f.remove(m)
	}
	for _, m := range members {
		m.kill()
	}
	return members
}

// TestRelaysKilledTogether kills the roots of all trees at once. The other
// daemons must claim the slots, mark the killed ones gone and converge.
func TestRelaysKilledTogether(t *testing.T) {
	f := newConvergedFleet(t, 6)
	killed := f.killAll(f.relays())
	f.acceptVersion()
	f.waitConverged()
	f.waitMembers(12)
	for _, m := range killed {
		f.restart(m)
	}
	f.acceptVersion()
	f.waitConverged()
	f.waitMembers(18)
}

// TestThirdOfFleetKilledAndRestarted restarts a third of the daemons right
// after they were killed together. The records of the new processes must
// replace the old ones, and the fleet must converge.
func TestThirdOfFleetKilledAndRestarted(t *testing.T) {
	f := newConvergedFleet(t, 12)
	var third []*member
	for i, m := range f.members {
		if i%3 == 0 {
			third = append(third, m)
		}
	}
	f.killAll(third)
	f.acceptVersion()
	for _, m := range third {
		f.restart(m)
	}
	f.acceptVersion()
	f.waitConverged()
	f.waitMembers(36)
}

// TestRelayFrozenPastItsLease stops all traffic of a relay until its lease has
// expired and it is marked gone. When it resumes, it must converge, refute the
// mark, and leave no failure domain with more relays than slots.
func TestRelayFrozenPastItsLease(t *testing.T) {
	f := newConvergedFleet(t, 5)
	frozen := f.relays()[0]
	resume := f.net.isolate(frozen.PeerAddress)
	frozen.storeFaults.Set(fakestorer.Fault{IsDown: true})
	f.acceptVersion()
	f.waitConverged(f.membersExcept(frozen)...)
	f.waitLeasesExpired()
	f.waitMembers(14, f.membersExcept(frozen)...)
	frozen.storeFaults.Set(fakestorer.Fault{})
	resume()
	f.waitConverged()
	f.acceptVersion()
	f.waitConverged()
	f.waitMembers(15)
	f.waitRelays()
}

// membersExcept returns all members but one.
func (f *fleet) membersExcept(excluded *member) []*member {
	var members []*member
	for _, m := range f.members {
		if m != excluded {
			members = append(members, m)
		}
	}
	return members
}

// TestSilentSessionIsClosed stalls the open connections of a relay without
// closing them. The peers must end the sessions after SilentAfter and connect
// again.
func TestSilentSessionIsClosed(t *testing.T) {
	f := newConvergedFleet(t, 8)
	relay := f.relays()[0]
	f.net.silence(relay.PeerAddress)
	f.acceptVersion()
	f.waitConverged()
	f.waitMembers(24)
}

// TestDomainCutFromTheStoreConvergesThroughPeers makes the store unreachable
// for one failure domain. Its daemons must get new versions from other domains,
// also after their relays' leases have expired.
func TestDomainCutFromTheStoreConvergesThroughPeers(t *testing.T) {
	f := newConvergedFleet(t, 5)
	for _, m := range f.membersOf("selma-row") {
		m.storeFaults.Set(fakestorer.Fault{IsDown: true})
	}
	f.acceptVersion()
	f.waitConverged()
	f.waitLeasesExpired()
	f.acceptVersion()
	f.waitConverged()
}

// TestDomainPartitionedAndHealed cuts one failure domain off from the store and
// from all other domains. The others must mark its records gone; the domain
// itself must keep its version and all records, since too few domains report to
// its roots. After healing, all must agree again.
func TestDomainPartitionedAndHealed(t *testing.T) {
	f := newConvergedFleet(t, 5)
	inside := make(map[string]bool)
	for _, m := range f.membersOf("selma-row") {
		inside[m.PeerAddress] = true
		m.storeFaults.Set(fakestorer.Fault{IsDown: true})
	}
	f.net.cut(func(from, to string) bool { return inside[from] != inside[to] })
	old := f.accepted
	f.acceptVersion()
	f.waitConverged(f.membersOf("mobile-bay")...)
	f.waitConverged(f.membersOf("quimperle")...)
	f.waitMembers(10, f.membersOf("mobile-bay")...)
	for _, m := range f.membersOf("selma-row") {
		if got := m.versionInForce(); got != old {
			t.Errorf("%s: got version %d, want %d while cut off", m.InstanceID, got, old)
		}
	}
	f.waitMembers(15, f.membersOf("selma-row")[0])
	f.net.heal()
	for _, m := range f.membersOf("selma-row") {
		m.storeFaults.Set(fakestorer.Fault{})
	}
	f.waitConverged()
	f.waitMembers(15)
}

// TestRestartedDaemonIsInvitedWhileTheStoreIsDown restarts a daemon while the
// store is down, so that it knows no other daemon. The daemons that knew its
// address must invite it.
func TestRestartedDaemonIsInvitedWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(2, "mobile-bay", "selma-row")
	f.waitConverged()
	lost := f.members[1]
	f.setStore(fakestorer.Fault{IsDown: true})
	lost.kill()
	f.waitFor("the departure is known", func() (bool, string) {
		r, ok := f.members[0].Table.Find(lost.InstanceID)
		return ok && r.State == tracker.StateGone, r.State.String()
	})
	back := f.startWith(lost.InstanceID, lost.Domain, lost.PeerAddress, fakestorer.Fault{IsDown: true})
	f.waitFor("a version in force", func() (bool, string) { return back.versionInForce() == f.accepted, fmt.Sprint(back.versionInForce()) })
	f.waitFor("membership", func() (bool, string) {
		got := len(back.Table.Service("ledger-view"))
		return got == 4, fmt.Sprint(got)
	})
}

// A relay that dies before any other has a session with it must be found to be gone by the
// other relay of its failure domain, also while the store is down and its slot stays known.
func TestRelayThatDiesUnlinkedIsFoundWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	l, err := net.Listen("tcp", f.ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	deadAddr := l.Addr().String()
	_ = l.Close()
	f.acceptVersion()
	f.startMembers(1, "mobile-bay", "selma-row")
	f.waitConverged()
	f.waitFor("a relay of selma-row", func() (bool, string) { return len(f.relays()) == 2, fmt.Sprint(len(f.relays())) })
	if _, err := f.store.CompareAndSwap(t.Context(), slotKey("selma-row", 1), []byte(deadAddr), 0, 0); err != nil {
		t.Fatal(err)
	}
	relay := f.members[1]
	f.waitFor("the dead relay's slot is known", func() (bool, string) {
		relay.mu.Lock()
		defer relay.mu.Unlock()
		return slices.ContainsFunc(relay.slots, func(o slot) bool { return o.addr == deadAddr }), fmt.Sprint(relay.slots)
	})
	f.setStore(fakestorer.Fault{IsDown: true})
	dead := tracker.Record{
		InstanceID: "selma-row-9", Incarnation: 1, Sequence: 1, Service: "ledger-view", Domain: "selma-row",
		PeerAddress: deadAddr, State: tracker.StateReady,
	}
	relay.Table.Merge([]tracker.Record{dead})
	for _, m := range f.members {
		f.waitFor("the departure is known to "+m.InstanceID, func() (bool, string) {
			r, ok := m.Table.Find(dead.InstanceID)
			return ok && r.State == tracker.StateGone, r.State.String()
		})
	}
}
