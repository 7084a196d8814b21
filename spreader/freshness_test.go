package spreader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// lone returns a spreader that is not run.
func lone() *Spreader {
	s := &Spreader{
		InstanceID: "a", Domain: "mobile-bay", Store: &fakestorer.FaultInjector{Client: new(fakestorer.Store)},
		Applier: new(applier.Applier), Table: new(tracker.Table), Log: zap.NewNop(),
	}
	s.init()
	return s
}

func heldAt(v versioner.Version) held {
	doc := &versioner.Document{Version: v}
	digest, _ := doc.Digest()
	return held{doc: doc, digest: digest}
}

func TestFreshDaemonTrustsOnlyARecentConfirmation(t *testing.T) {
	tests := []struct {
		name    string
		held    versioner.Version
		confirm *messenger.Confirmation
		transit time.Duration
		want    versioner.Version
	}{
		{"none", 5, nil, 0, 0},
		{"recent", 5, &messenger.Confirmation{Version: 5, AgeMS: 4000}, time.Second, 5},
		{"recent, holding a later one", 6, &messenger.Confirmation{Version: 5, AgeMS: 4000}, 0, 6},
		{"too old", 5, &messenger.Confirmation{Version: 5, AgeMS: 10_001}, 0, 0},
		{"too old by the time on the way", 5, &messenger.Confirmation{Version: 5, AgeMS: 8000}, 3 * time.Second, 0},
		{"recent, holding an older one", 4, &messenger.Confirmation{Version: 5, AgeMS: 0}, 0, 0},
		{"negative age", 5, &messenger.Confirmation{Version: 5, AgeMS: -1}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := lone()
				asked := time.Now()
				time.Sleep(tt.transit)
				s.accept(heldAt(tt.held), nil, nil)
				s.observe(tt.confirm, asked)
				if got := s.versionInForce(); got != tt.want {
					t.Errorf("in force: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

func TestEachHopAddsToTheAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lone()
		s.confirm(5, time.Now())
		for range 3 {
			time.Sleep(2 * time.Second)
			next := lone()
			s.mu.Lock()
			c := s.age()
			s.mu.Unlock()
			next.observe(c, time.Now().Add(-500*time.Millisecond))
			s = next
		}
		if got, want := s.Convergence().HeadAge, 7500*time.Millisecond; got < want {
			t.Errorf("age: got %v, want at least %v", got, want)
		}
	})
}

// stale returns a fleet with one daemon that is cut off at version 1 while the
// store holds version 3.
func stale(t *testing.T) (*fleet, *member) {
	f := newFleet(t)
	f.accept()
	f.grow(1, "mobile-bay")
	f.waitConverged()
	old := f.members[0]
	old.gate.Set(fakestorer.Fault{IsDown: true})
	f.accept()
	f.accept()
	time.Sleep(f.settings.MaxConfirmationAge)
	return f, old
}

func TestFreshDaemonReadsTheStoreDespiteAStalePeer(t *testing.T) {
	f, old := stale(t)
	f.settings.Seeds = []string{old.PeerAddress}
	m := f.start("mobile-bay-1", "mobile-bay", f.ip+":0")
	f.waitFor("a version in force", func() (bool, string) { return m.versionInForce() > 0, "none" })
	if got := m.versionInForce(); got != f.accepted {
		t.Errorf("first version in force: got %d, want %d", got, f.accepted)
	}
	old.gate.Set(fakestorer.Fault{})
	f.waitConverged()
}

func TestFreshDaemonTakesTheHighestOfItsPeersWhenTheStoreIsDown(t *testing.T) {
	f, old := stale(t)
	newer := f.start("selma-row-0", "selma-row", f.ip+":0")
	f.waitConverged(newer)
	newer.gate.Set(fakestorer.Fault{IsDown: true})
	time.Sleep(f.settings.MaxConfirmationAge)
	f.net.cut(func(from, to string) bool { return from == newer.PeerAddress || from == old.PeerAddress })
	f.settings.Seeds = []string{old.PeerAddress, newer.PeerAddress}
	m := f.startWith("quimperle-0", "quimperle", f.ip+":0", fakestorer.Fault{IsDown: true})
	f.waitFor("a version in force", func() (bool, string) { return m.versionInForce() > 0, "none" })
	if got := m.versionInForce(); got != f.accepted {
		t.Errorf("first version in force: got %d, want %d", got, f.accepted)
	}
	if m.Convergence().IsConfirmed {
		t.Error("confirmed: got true, want false")
	}
	m.gate.Set(fakestorer.Fault{})
	f.waitFor("a confirmation", func() (bool, string) {
		c := m.Convergence()
		return c.IsConfirmed, fmt.Sprintf("%+v", c)
	})
}

func TestFreshDaemonServesNothingWhenNobodyKnowsAVersion(t *testing.T) {
	f := newFleet(t)
	f.accept()
	m := f.startWith("quimperle-0", "quimperle", f.ip+":0", fakestorer.Fault{IsDown: true})
	f.waitFor("two surveys", func() (bool, string) {
		got := m.Counters.Surveys.Value()
		return got >= 2, fmt.Sprint(got)
	})
	if got := m.versionInForce(); got != 0 {
		t.Errorf("in force: got %d, want none", got)
	}
}
