package spreader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// waitTimeout bounds the wait for a state. It is far above the expected times,
// so that only a state that is never reached fails a test.
const waitTimeout = 30 * time.Second

// fastSettings holds intervals far below the defaults, so that a test passes
// many of them within seconds.
var fastSettings = Settings{
	Fanout: 3, Coalesce: 5 * time.Millisecond, Heartbeat: 100 * time.Millisecond, SilentAfter: 600 * time.Millisecond,
	LeaseTTL: 900 * time.Millisecond, WatchWait: 200 * time.Millisecond, JoinJitter: 50 * time.Millisecond,
	DepartureGrace: 2 * time.Second, DomainSilence: 4 * time.Second, MaxConfirmationAge: 2 * time.Second,
}

// member is one daemon of a fleet.
type member struct {
	*Spreader
	// storeFaults injects faults into the daemon's calls of the store.
	storeFaults *fakestorer.FaultInjector
	cancel      context.CancelFunc
	server      *http.Server
	done        chan struct{}
}

// fleet is a set of Spreaders in one process with links over loopback.
type fleet struct {
	t        *testing.T
	store    *fakestorer.Store
	net      *network
	settings Settings
	members  []*member
	accepted versioner.Version
	acceptor *acceptor.Acceptor
	// external is set when the configuration is external.
	external *External
	// starts counts the started daemons and gives each process its incarnation.
	starts int
	// ip is a loopback address that only this fleet uses, so that no other
	// process takes the port of a daemon that is down.
	ip string
}

// newFleet returns a fleet without daemons, for a test that runs in parallel with
// others. It kills all daemons of the fleet when the test ends.
func newFleet(t *testing.T) *fleet {
	t.Parallel()
	f := &fleet{t: t, store: new(fakestorer.Store), net: new(network), settings: fastSettings}
	f.ip = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(254), rand.IntN(256))
	f.acceptor = &acceptor.Acceptor{Store: f.store}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.cancel()
		}
		for _, m := range f.members {
			m.kill()
		}
	})
	return f
}

// startMembers starts n daemons in each failure domain.
func (f *fleet) startMembers(n int, domains ...string) {
	for i := range n {
		for _, d := range domains {
			f.start(fmt.Sprintf("%s-%d", d, i), d, f.ip+":0")
		}
	}
}

// start starts a daemon whose store has no fault.
func (f *fleet) start(id, domain, addr string) *member {
	f.t.Helper()
	return f.startWith(id, domain, addr, fakestorer.Fault{})
}

// startWith starts a daemon whose store has the fault.
func (f *fleet) startWith(id, domain, addr string, fault fakestorer.Fault) *member {
	f.t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		f.t.Fatalf("listening: %v", err)
	}
	addr = l.Addr().String()
	storeFaults := &fakestorer.FaultInjector{Client: f.store}
	storeFaults.Set(fault)
	m := &member{storeFaults: storeFaults, done: make(chan struct{}), Spreader: &Spreader{
		InstanceID: id, Domain: domain, PeerAddress: addr, Store: storeFaults, Applier: &applier.Applier{Domain: domain},
		Table: new(tracker.Table), Log: zap.NewNop(), Settings: f.settings, HTTP: f.net.client(addr),
		External: f.external, Quarantine: new(quarantiner.Table),
	}}
	m.Quarantine.OnChange = m.SpreadSuspicions
	m.Parts = []Part{&notePart{spread: m.SpreadParts, peers: make(map[tracker.Source]byte)}}
	f.run(m, l)
	return m
}

// run serves and runs m and announces its record.
func (f *fleet) run(m *member, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if link, err := messenger.Accept(w, r); err == nil {
			_ = m.Serve(ctx, link)
		}
	})}
	go func() { _ = m.server.Serve(l) }()
	go func() {
		defer close(m.done)
		m.Run(ctx)
	}()
	f.starts++
	m.Announce(ctx, []tracker.Record{{
		InstanceID: m.InstanceID, Incarnation: uint64(f.starts), Sequence: 1, Service: "ledger-view",
		Domain: m.Domain, PeerAddress: m.PeerAddress, State: tracker.StateReady,
	}})
	go f.checkMonotonic(ctx, m)
	f.members = append(f.members, m)
}

// checkMonotonic fails the test if the version in force on m goes down.
func (f *fleet) checkMonotonic(ctx context.Context, m *member) {
	var newest versioner.Version
	for sleeper.Sleep(ctx, time.Millisecond) == nil {
		snapshot := m.Applier.Current()
		if snapshot == nil {
			continue
		}
		if got := snapshot.Version(); got < newest {
			f.t.Errorf("%s: got version %d in force after %d", m.InstanceID, got, newest)
		}
		newest = max(newest, snapshot.Version())
	}
}

// kill stops a daemon without announcing its departure.
func (m *member) kill() {
	m.cancel()
	_ = m.server.Close()
	<-m.done
}

// restart replaces a killed daemon by a new process with the same address and
// no state.
func (f *fleet) restart(old *member) {
	f.t.Helper()
	f.remove(old)
	f.start(old.InstanceID, old.Domain, old.PeerAddress)
}

// remove removes a member from the fleet.
func (f *fleet) remove(old *member) {
	kept := f.members[:0:0]
	for _, m := range f.members {
		if m != old {
			kept = append(kept, m)
		}
	}
	f.members = kept
}

// acceptVersion has the acceptor accept a change, which makes the next version.
func (f *fleet) acceptVersion() {
	f.t.Helper()
	share := int(f.accepted) % 100
	change := acceptor.Change{
		Audit: versioner.Audit{ChangeID: fmt.Sprint("change-", f.accepted), Author: "ada", Reason: "test"},
		Upserts: []versioner.Entry{{
			Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: share},
		}},
	}
	v, err := f.acceptor.Accept(context.Background(), change)
	if err != nil {
		f.t.Fatalf("accepting: %v", err)
	}
	f.accepted = v
}

// waitFor polls until holds returns true. The string that holds returns
// describes the present state for the failure message.
func (f *fleet) waitFor(what string, holds func() (bool, string)) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		ok, got := holds()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("waiting for %s: got %s", what, got)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// waitConverged waits until the members, or all if none are given, have the
// newest accepted version in force.
func (f *fleet) waitConverged(members ...*member) {
	f.t.Helper()
	if members == nil {
		members = f.members
	}
	f.waitFor(fmt.Sprintf("version %d everywhere", f.accepted), func() (bool, string) {
		for _, m := range members {
			if got := m.versionInForce(); got != f.accepted {
				return false, fmt.Sprintf("%s at %d, %+v", m.InstanceID, got, m.Convergence())
			}
		}
		return true, ""
	})
}

// waitMembers waits until the members, or all if none are given, know want
// ready targets.
func (f *fleet) waitMembers(want int, members ...*member) {
	f.t.Helper()
	if members == nil {
		members = f.members
	}
	f.waitFor(fmt.Sprintf("%d targets known everywhere", want), func() (bool, string) {
		for _, m := range members {
			if got := len(m.Table.Service("ledger-view")); got != want {
				return false, fmt.Sprintf("%s knows %d: %s", m.InstanceID, got, f.differences(m))
			}
		}
		return true, ""
	})
}

// differences describes the records of running daemons whose copy on m differs
// from their own.
func (f *fleet) differences(m *member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+v", m.Convergence())
	for _, other := range f.members {
		want, _ := other.Table.Find(other.InstanceID)
		if got, _ := m.Table.Find(other.InstanceID); got != want {
			fmt.Fprintf(&b, "\n got %+v\nwant %+v, %+v", got, want, other.Convergence())
		}
	}
	return b.String()
}

// relays returns the members that hold a relay slot.
func (f *fleet) relays() []*member {
	var relays []*member
	for _, m := range f.members {
		if m.Convergence().IsRelay {
			relays = append(relays, m)
		}
	}
	return relays
}

// waitRelays waits until each failure domain has its two relays.
func (f *fleet) waitRelays() {
	f.t.Helper()
	domains := make(map[string]bool)
	for _, m := range f.members {
		domains[m.Domain] = true
	}
	want := 2 * len(domains)
	f.waitFor(fmt.Sprintf("%d relays", want), func() (bool, string) {
		got := len(f.relays())
		return got == want, fmt.Sprint(got)
	})
}

// membersOf returns the members of a failure domain.
func (f *fleet) membersOf(name string) []*member {
	var members []*member
	for _, m := range f.members {
		if m.Domain == name {
			members = append(members, m)
		}
	}
	return members
}

// setStore sets the fault of the store for all members.
func (f *fleet) setStore(fault fakestorer.Fault) {
	for _, m := range f.members {
		m.storeFaults.Set(fault)
	}
}

// writeInvalid writes a version with a dangling reference to the store, which
// the acceptor would reject. The next accepted version restores the partner.
func (f *fleet) writeInvalid() {
	f.t.Helper()
	ctx := context.Background()
	head, rev, err := acceptor.ReadHead(ctx, f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	doc, err := acceptor.ReadDocument(ctx, f.store, head)
	if err != nil {
		f.t.Fatal(err)
	}
	service := versioner.Entry{
		Key:     versioner.Key{Kind: versioner.KindService, Name: "ledger-view"},
		Service: &versioner.Service{Partner: "magnolia"},
	}
	bad := doc.With([]versioner.Entry{service}, []versioner.Key{{Kind: versioner.KindPartner, Name: "magnolia"}})
	digest, _ := bad.Digest()
	content, _ := versioner.Marshal(bad)
	value, _ := versioner.Marshal(acceptor.Head{Version: bad.Version, Digest: digest})
	if _, err := f.store.CompareAndSwap(ctx, acceptor.ContentKey(digest), content, 0, 0); err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.CompareAndSwap(ctx, acceptor.HeadKey, value, rev, 0); err != nil {
		f.t.Fatal(err)
	}
}
