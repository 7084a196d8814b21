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

// newIdleSpreader returns a Spreader that is initialized and not run.
func newIdleSpreader() *Spreader {
	s := &Spreader{
		InstanceID: "a", Domain: "mobile-bay", Store: &fakestorer.FaultInjector{Client: new(fakestorer.Store)},
		Applier: new(applier.Applier), Table: new(tracker.Table), Log: zap.NewNop(),
	}
	s.init()
	return s
}

// emptyDocAt returns a document of version v without entries.
func emptyDocAt(v versioner.Version) digestedDoc {
	doc := &versioner.Document{Version: v}
	digest, _ := doc.Digest()
	return digestedDoc{doc: doc, digest: digest}
}

// TestFreshDaemonTrustsOnlyARecentConfirmation guards against a daemon that
// starts with an old version and puts it in force. The first document may be put
// in force only after a confirmation that names no newer version and is recent,
// with the transit time added to its age.
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
		{"too old by the transit time", 5, &messenger.Confirmation{Version: 5, AgeMS: 8000}, 3 * time.Second, 0},
		{"recent, holding an older one", 4, &messenger.Confirmation{Version: 5, AgeMS: 0}, 0, 0},
		{"negative age", 5, &messenger.Confirmation{Version: 5, AgeMS: -1}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newIdleSpreader()
				asked := time.Now()
				time.Sleep(tt.transit)
				s.stageOrApply(emptyDocAt(tt.held), nil, nil)
				s.handleConfirmation(tt.confirm, asked)
				if got := s.versionInForce(); got != tt.want {
					t.Errorf("in force: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// TestConfirmationAgeGrowsWithEachHop checks that the age of a confirmation
// includes the time that it spent on each daemon and in transit, so that it
// never looks more recent than it is.
func TestConfirmationAgeGrowsWithEachHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newIdleSpreader()
		s.recordConfirmation(5, time.Now())
		for range 3 {
			time.Sleep(2 * time.Second)
			next := newIdleSpreader()
			s.mu.Lock()
			c := s.confirmationMessage()
			s.mu.Unlock()
			next.handleConfirmation(c, time.Now().Add(-500*time.Millisecond))
			s = next
		}
		if got, want := s.Convergence().HeadAge, 7500*time.Millisecond; got < want {
			t.Errorf("age: got %v, want at least %v", got, want)
		}
	})
}

// newFleetWithStaleMember returns a fleet with one daemon, also returned, that
// is cut off from the store at version 1 while the store holds version 3.
func newFleetWithStaleMember(t *testing.T) (*fleet, *member) {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(1, "mobile-bay")
	f.waitConverged()
	old := f.members[0]
	old.storeFaults.Set(fakestorer.Fault{IsDown: true})
	f.acceptVersion()
	f.acceptVersion()
	time.Sleep(f.settings.MaxConfirmationAge)
	return f, old
}

// TestFreshDaemonReadsTheStoreDespiteAStalePeer starts a daemon whose only peer
// is behind. Its first version must be the newest one, from the store.
func TestFreshDaemonReadsTheStoreDespiteAStalePeer(t *testing.T) {
	f, old := newFleetWithStaleMember(t)
	f.settings.Seeds = []string{old.PeerAddress}
	m := f.start("mobile-bay-1", "mobile-bay", f.ip+":0")
	f.waitFor("a version in force", func() (bool, string) { return m.versionInForce() > 0, "none" })
	if got := m.versionInForce(); got != f.accepted {
		t.Errorf("first version in force: got %d, want %d", got, f.accepted)
	}
	old.storeFaults.Set(fakestorer.Fault{})
	f.waitConverged()
}

// TestFreshDaemonTakesTheHighestOfItsPeersWhenTheStoreIsDown starts a daemon
// that can reach two peers with different versions and no store. It must apply
// the newer one, report it as unconfirmed, and report a confirmation once the
// store is back.
func TestFreshDaemonTakesTheHighestOfItsPeersWhenTheStoreIsDown(t *testing.T) {
	f, old := newFleetWithStaleMember(t)
	newer := f.start("selma-row-0", "selma-row", f.ip+":0")
	f.waitConverged(newer)
	newer.storeFaults.Set(fakestorer.Fault{IsDown: true})
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
	m.storeFaults.Set(fakestorer.Fault{})
	f.waitFor("a confirmation", func() (bool, string) {
		c := m.Convergence()
		return c.IsConfirmed, fmt.Sprintf("%+v", c)
	})
}

// TestFreshDaemonServesNothingWhenNobodyKnowsAVersion starts a daemon that
// reaches neither a peer nor the store. It must go on surveying and put no
// version in force.
func TestFreshDaemonServesNothingWhenNobodyKnowsAVersion(t *testing.T) {
	f := newFleet(t)
	f.acceptVersion()
	m := f.startWith("quimperle-0", "quimperle", f.ip+":0", fakestorer.Fault{IsDown: true})
	f.waitFor("two surveys", func() (bool, string) {
		got := m.Counters.Surveys.Value()
		return got >= 2, fmt.Sprint(got)
	})
	if got := m.versionInForce(); got != 0 {
		t.Errorf("in force: got %d, want none", got)
	}
}

// TestConfirmationIsNotBelowTheVersionInForce guards against a daemon that confirms to its
// peers the older version which a restored store holds.
func TestConfirmationIsNotBelowTheVersionInForce(t *testing.T) {
	s := newIdleSpreader()
	s.stageOrApply(emptyDocAt(5), nil, nil)
	s.recordConfirmation(5, time.Now())
	time.Sleep(time.Nanosecond)
	s.recordConfirmation(3, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := s.confirmationMessage().Version; got != 5 {
		t.Errorf("confirmed version: got %d, want the 5 in force", got)
	}
}

// A new daemon that starts while the store is down knows no other. Once the store answers it must
// look for a parent at once: the version that it reads is in force there, but without a parent it
// hears of no later one until its next try.
func TestDaemonJoinsOnceTheStoreIsBack(t *testing.T) {
	for _, tt := range []struct {
		name      string
		relaySlot string
		isDown    bool
		want      int
	}{
		{"alone", "", false, 1},
		{"relay", "relay/selma-row/0", false, 0},
		{"store still down", "", true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			faults := &fakestorer.FaultInjector{Client: new(fakestorer.Store)}
			faults.Set(fakestorer.Fault{IsDown: tt.isDown})
			s := &Spreader{
				InstanceID: "d1", Domain: "selma-row", Store: faults, Applier: new(applier.Applier), Table: new(tracker.Table),
				Log: zap.NewNop(), relaySlot: tt.relaySlot,
			}
			s.init()
			s.readHeadOrSurvey(t.Context())
			if got := len(s.inviteWake); got != tt.want {
				t.Errorf("wakes: got %d, want %d", got, tt.want)
			}
		})
	}
}
