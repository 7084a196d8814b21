package spreader

import (
	"fmt"
	"testing"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/tracker"
)

// grown returns a fleet of three failure domains that has converged.
func grown(t *testing.T, perDomain int) *fleet {
	f := newFleet(t)
	f.accept()
	f.grow(perDomain, "mobile-bay", "selma-row", "quimperle")
	f.waitConverged()
	f.waitRelays()
	f.waitMembers(3 * perDomain)
	return f
}

// pastLeases waits until every lease that is not renewed has lapsed.
func (f *fleet) pastLeases() { time.Sleep(2 * f.settings.LeaseTTL) }

func TestStoreDownLongAndTwice(t *testing.T) {
	f := grown(t, 6)
	for range 2 {
		f.setStore(fakestorer.Fault{IsDown: true})
		f.accept()
		f.pastLeases()
		f.setStore(fakestorer.Fault{})
		f.waitConverged()
	}
	f.waitRelays()
	f.waitMembers(18)
}

func TestRelaysKilledWhileTheStoreIsDown(t *testing.T) {
	f := grown(t, 6)
	f.setStore(fakestorer.Fault{IsDown: true})
	killed := f.killAll(f.relays())
	f.pastLeases()
	f.drain(f.members[0])
	f.accept()
	f.setStore(fakestorer.Fault{})
	f.waitConverged()
	f.waitMembers(11)
	for _, m := range killed {
		f.restart(m)
	}
	f.waitConverged()
	f.waitMembers(17)
}

// drain announces a drain and waits until all daemons know of it.
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
			f := grown(t, 4)
			f.setStore(tt.fault)
			f.accept()
			f.waitConverged()
			f.pastLeases()
			f.accept()
			f.waitConverged()
			f.setStore(fakestorer.Fault{})
			f.waitRelays()
		})
	}
}

// killAll kills daemons together.
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

func TestRelaysKilledTogether(t *testing.T) {
	f := grown(t, 6)
	killed := f.killAll(f.relays())
	f.accept()
	f.waitConverged()
	f.waitMembers(12)
	for _, m := range killed {
		f.restart(m)
	}
	f.accept()
	f.waitConverged()
	f.waitMembers(18)
}

func TestThirdOfTheFleetKilledAndReturning(t *testing.T) {
	f := grown(t, 12)
	var third []*member
	for i, m := range f.members {
		if i%3 == 0 {
			third = append(third, m)
		}
	}
	f.killAll(third)
	f.accept()
	for _, m := range third {
		f.restart(m)
	}
	f.accept()
	f.waitConverged()
	f.waitMembers(36)
}

func TestRelayFrozenPastItsLease(t *testing.T) {
	f := grown(t, 5)
	frozen := f.relays()[0]
	thaw := f.net.isolate(frozen.PeerAddress)
	frozen.gate.Set(fakestorer.Fault{IsDown: true})
	f.accept()
	f.waitConverged(f.without(frozen)...)
	f.pastLeases()
	f.waitMembers(14, f.without(frozen)...)
	frozen.gate.Set(fakestorer.Fault{})
	thaw()
	f.waitConverged()
	f.accept()
	f.waitConverged()
	f.waitMembers(15)
	f.waitRelays()
}

func (f *fleet) without(out *member) []*member {
	var members []*member
	for _, m := range f.members {
		if m != out {
			members = append(members, m)
		}
	}
	return members
}

func TestSilentStreamIsLeft(t *testing.T) {
	f := grown(t, 8)
	relay := f.relays()[0]
	f.net.silence(relay.PeerAddress)
	f.accept()
	f.waitConverged()
	f.waitMembers(24)
}

func TestDomainCutFromTheStoreConvergesThroughPeers(t *testing.T) {
	f := grown(t, 5)
	for _, m := range f.domain("selma-row") {
		m.gate.Set(fakestorer.Fault{IsDown: true})
	}
	f.accept()
	f.waitConverged()
	f.pastLeases()
	f.accept()
	f.waitConverged()
}

func TestDomainCutOffWhollyAndHealed(t *testing.T) {
	f := grown(t, 5)
	inside := make(map[string]bool)
	for _, m := range f.domain("selma-row") {
		inside[m.PeerAddress] = true
		m.gate.Set(fakestorer.Fault{IsDown: true})
	}
	f.net.cut(func(from, to string) bool { return inside[from] != inside[to] })
	old := f.accepted
	f.accept()
	f.waitConverged(f.domain("mobile-bay")...)
	f.waitConverged(f.domain("quimperle")...)
	f.waitMembers(10, f.domain("mobile-bay")...)
	for _, m := range f.domain("selma-row") {
		if got := m.versionInForce(); got != old {
			t.Errorf("%s: got version %d, want %d while cut off", m.InstanceID, got, old)
		}
	}
	f.waitMembers(15, f.domain("selma-row")[0])
	f.net.heal()
	for _, m := range f.domain("selma-row") {
		m.gate.Set(fakestorer.Fault{})
	}
	f.waitConverged()
	f.waitMembers(15)
}

// A daemon that is restarted while the store is down knows nobody; those that
// knew it look for it.
func TestRestartedDaemonIsInvitedWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	f.accept()
	f.grow(2, "mobile-bay", "selma-row")
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
