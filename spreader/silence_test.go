package spreader

import (
	"slices"
	"testing"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
)

// newTreeFleet returns a converged fleet with an external configuration that only relays
// watch. Its sessions and watches never end by a time limit.
func newTreeFleet(t *testing.T, slots, fanout, members int) *fleet {
	f := newExternalFleet(t)
	f.settings.HasNarrowLink = true
	f.settings.Slots, f.settings.Fanout = slots, fanout
	f.settings.SilentAfter, f.settings.WatchWait = time.Hour, time.Hour
	f.startMembers(members, "mobile-bay")
	f.waitConverged()
	f.waitFor("a tree", func() (bool, string) {
		for _, m := range f.members {
			if c := m.Convergence(); !c.IsRelay && c.Parent.InstanceID == "" {
				return false, m.InstanceID + " has no parent"
			}
		}
		return len(f.relays()) == slots, "relays are missing"
	})
	return f
}

// others returns the members without m.
func (f *fleet) others(m *member) []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(o *member) bool { return o == m })
}

// TestVersionPassesASilentRelay guards against daemons that wait for a version behind a relay
// that has stopped, while their sessions with it last.
func TestVersionPassesASilentRelay(t *testing.T) {
	f := newTreeFleet(t, 2, 3, 7)
	silent := f.watchers()["mobile-bay"][0]
	f.net.isolate(silent.PeerAddress)
	f.writeExternal()
	f.waitConverged(f.others(silent)...)
}

// TestVersionPassesASilentRelayWithoutTheStore guards against daemons behind a relay that has
// stopped depending on the store while other relays know the version.
func TestVersionPassesASilentRelayWithoutTheStore(t *testing.T) {
	f := newTreeFleet(t, 2, 3, 7)
	silent := f.watchers()["mobile-bay"][0]
	for _, m := range f.members {
		if !m.Convergence().IsRelay {
			m.storeFaults.Set(fakestorer.Fault{IsDown: true})
		}
	}
	f.net.isolate(silent.PeerAddress)
	f.writeExternal()
	f.waitConverged(f.others(silent)...)
}

// TestVersionReachesADaemonWithoutPeers guards against a daemon that is cut off from all others
// keeping an old version although it reaches the store.
func TestVersionReachesADaemonWithoutPeers(t *testing.T) {
	f := newTreeFleet(t, 1, 3, 4)
	alone := f.others(f.relays()[0])[0]
	f.net.cut(func(from, to string) bool { return from == alone.PeerAddress || to == alone.PeerAddress })
	f.writeExternal()
	f.waitConverged()
}

// TestVersionPassesAParentWithoutSource guards against a daemon that waits for a version from a
// parent that answers, but has itself lost its parent and the store.
func TestVersionPassesAParentWithoutSource(t *testing.T) {
	f := newTreeFleet(t, 1, 1, 3)
	relay := f.relays()[0]
	f.net.cut(func(from, to string) bool { return from == relay.PeerAddress || to == relay.PeerAddress })
	for _, m := range f.members {
		if m.Convergence().Children == 1 && m != relay {
			m.storeFaults.Set(fakestorer.Fault{IsDown: true})
		}
	}
	f.writeExternal()
	f.waitConverged()
}

// TestSilentParentIsTriedLast guards against a daemon that has left a silent parent waiting for
// the same one again while another relay would take it.
func TestSilentParentIsTriedLast(t *testing.T) {
	own := []slot{{addr: "127.0.0.1:1"}, {addr: "127.0.0.1:2"}, {addr: "127.0.0.1:3"}}
	for range 100 {
		order := joinOrder(own, "127.0.0.1:2")
		if got := order[len(order)-1]; len(order) != len(own) || got != 1 {
			t.Fatalf("order: got %v, want all three slots, slot 1 last", order)
		}
	}
}
