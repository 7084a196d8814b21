package measurer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/spreader"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

type appliedVersion = applier.Applied

// spreadMember is the spreader of one daemon, without the rest of the daemon, and
// the count of bytes that its sockets sent and received.
type spreadMember struct {
	*spreader.Spreader
	bytes  atomic.Int64
	server *http.Server
}

// spreadFleet runs spreaders in this process; they call the store over HTTP.
type spreadFleet struct {
	mode     spreader.Mode
	store    *fakestorer.Store
	storeURL string
	server   *http.Server
	acceptor *acceptor.Acceptor
	// acceptorStore counts the acceptor's calls to the store, which storeCalls
	// excludes.
	acceptorStore *fakestorer.FaultInjector
	members       []*spreadMember
	// domains is the number of failure domains.
	domains int
	// changes counts the changes submitted.
	changes int
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// newSpreadFleet starts a store and n members, and does not wait until they have
// converged. The caller must call stop, unless there is an error.
func newSpreadFleet(ctx context.Context, plan ConvergencePlan, mode string, n int, window time.Duration) (*spreadFleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &spreadFleet{mode: spreader.Mode(mode), store: new(fakestorer.Store), domains: min(plan.Domains, n), cancel: cancel}
	f.acceptorStore = &fakestorer.FaultInjector{Client: f.store}
	f.acceptor = &acceptor.Acceptor{Store: f.acceptorStore}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	f.storeURL = "http://" + l.Addr().String()
	f.server = &http.Server{Handler: platform.StoreHandler(f.store), ReadHeaderTimeout: readyTimeout}
	go func() { _ = f.server.Serve(l) }()
	if _, err := f.accept(ctx, initialEntries(plan.Services)...); err != nil {
		f.stop()
		return nil, err
	}
	records := simulatedRecords(plan, n)
	for i := range n {
		settings := spreader.Settings{Mode: f.mode, Coalesce: window, PollInterval: plan.Poll, Fanout: plan.Fanout}
		if err := f.start(ctx, i, settings, records); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// initialEntries returns a configuration of that many services, at least one, each
// with a route.
func initialEntries(services int) []versioner.Entry {
	entries := []versioner.Entry{partner(ownerPartner)}
	for i := range max(1, services) {
		entries = append(entries, service(serviceName(i), 12),
			route(fmt.Sprintf("route-%03d", i), fmt.Sprintf("/service/%d", i), serviceName(i), ownerPartner, versioner.ClassLookup))
	}
	return entries
}

// simulatedRecords returns the membership records of targets whose daemons are not
// run, so that the table has as many targets as planned.
func simulatedRecords(plan ConvergencePlan, daemons int) []tracker.Record {
	var records []tracker.Record
	for i := daemons; i < plan.Targets; i++ {
		records = append(records, newRecord(fmt.Sprintf("instance-%04d", i), fmt.Sprintf("elsewhere-%02d", i%18), "10.0.0.1:7101", i%max(1, plan.Services)))
	}
	return records
}

// newRecord returns the first membership record of a target that is ready.
func newRecord(id, domain, addr string, service int) tracker.Record {
	return tracker.Record{
		InstanceID: id, Incarnation: 1, Sequence: 1, Service: serviceName(service),
		Domain: domain, PeerAddress: addr, State: tracker.StateReady,
	}
}

// start starts the ith member with the records in its table.
func (f *spreadFleet) start(ctx context.Context, i int, settings spreader.Settings, records []tracker.Record) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m := new(spreadMember)
	client := &http.Client{Transport: &http.Transport{DialContext: m.dial}}
	domain := fmt.Sprintf("domain-%02d", i%f.domains)
	m.Spreader = &spreader.Spreader{
		InstanceID: fmt.Sprintf("instance-%04d", i), Domain: domain, PeerAddress: l.Addr().String(),
		Store:   &platform.Store{BaseURL: f.storeURL, HTTP: client},
		Applier: &applier.Applier{Domain: domain}, Table: new(tracker.Table), Log: zap.NewNop(),
		Settings: settings, HTTP: client,
	}
	m.Table.Merge(records)
	m.server = &http.Server{ReadHeaderTimeout: readyTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if link, err := messenger.Accept(w, r); err == nil {
			_ = m.Serve(ctx, link)
		}
	})}
	go func() { _ = m.server.Serve(&countingListener{Listener: l, bytes: &m.bytes}) }()
	f.done.Go(func() { m.Run(ctx) })
	m.Announce(ctx, []tracker.Record{newRecord(m.InstanceID, domain, m.PeerAddress, i%7)})
	f.members = append(f.members, m)
	return nil
}

// stop stops the members, waits until they have ended, and stops the store.
func (f *spreadFleet) stop() {
	f.cancel()
	for _, m := range f.members {
		_ = m.server.Close()
	}
	f.done.Wait()
	for _, m := range f.members {
		m.HTTP.CloseIdleConnections()
	}
	_ = f.server.Close()
}

// storeCalls returns the number of calls that the members made to the store.
func (f *spreadFleet) storeCalls() int64 {
	c := f.store.Counts()
	return c.Reads + c.Writes + c.Watches - f.acceptorStore.Calls()
}

// lowestVersion returns the lowest version in force on any member, 0 if a member
// has none.
func (f *spreadFleet) lowestVersion() versioner.Version {
	var lowest versioner.Version
	for i, m := range f.members {
		var v versioner.Version
		if snapshot := m.Applier.Current(); snapshot != nil {
			v = snapshot.Version()
		}
		if i == 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

// await polls until holds reports true. It fails after convergenceTimeout.
func (f *spreadFleet) await(ctx context.Context, holds func() bool) error {
	deadline := time.Now().Add(convergenceTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			return errorx.TimeoutElapsed.New("fleet did not converge, lowest version %d", f.lowestVersion())
		}
		if err := sleeper.Sleep(ctx, convergencePollInterval); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until every member has a version in force and isSettled reports
// true, and then for the duration rest.
func (f *spreadFleet) settle(ctx context.Context, rest time.Duration) error {
	if err := f.await(ctx, func() bool { return f.lowestVersion() > 0 && f.isSettled() }); err != nil {
		return err
	}
	return sleeper.Sleep(ctx, rest)
}

// isSettled reports whether, in mode tree, every member that is not a relay has a
// parent, each failure domain has two relays (all members are relays if there are
// fewer), and all tables are equal. In other modes it returns true.
func (f *spreadFleet) isSettled() bool {
	if f.mode != spreader.ModeTree {
		return true
	}
	relays := 0
	digest := f.members[0].Table.Digest()
	for _, m := range f.members {
		c := m.Convergence()
		if c.IsRelay {
			relays++
		} else if c.Parent.InstanceID == "" {
			return false
		}
		if m.Table.Digest() != digest {
			return false
		}
	}
	return relays == min(2*f.domains, len(f.members))
}

// dial opens a connection whose bytes are counted.
func (m *spreadMember) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &m.bytes}, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
