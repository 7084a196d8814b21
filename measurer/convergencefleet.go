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

type applierRecord = applier.Applied

// spreadMember is one daemon's spreading with the bytes of its sockets.
type spreadMember struct {
	*spreader.Spreader
	bytes  atomic.Int64
	server *http.Server
}

// spreadFleet is a set of spreaders in this process, with a store over HTTP.
type spreadFleet struct {
	mode     spreader.Mode
	store    *fakestorer.Store
	storeURL string
	server   *http.Server
	acceptor *acceptor.Acceptor
	// editor counts the acceptor's calls, which are no cost of the spreading.
	editor  *fakestorer.FaultInjector
	members []*spreadMember
	domains int
	changes int
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func newSpreadFleet(ctx context.Context, plan ConvergencePlan, mode string, n int, window time.Duration) (*spreadFleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &spreadFleet{mode: spreader.Mode(mode), store: new(fakestorer.Store), domains: min(plan.Domains, n), cancel: cancel}
	f.editor = &fakestorer.FaultInjector{Client: f.store}
	f.acceptor = &acceptor.Acceptor{Store: f.editor}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	f.storeURL = "http://" + l.Addr().String()
	f.server = &http.Server{Handler: platform.StoreHandler(f.store), ReadHeaderTimeout: readyBound}
	go func() { _ = f.server.Serve(l) }()
	if _, err := f.accept(ctx, initialEntries(plan.Services)...); err != nil {
		f.stop()
		return nil, err
	}
	records := otherTargets(plan, n)
	for i := range n {
		settings := spreader.Settings{Mode: f.mode, Coalesce: window, PollInterval: plan.Poll, Fanout: plan.Fanout}
		if err := f.start(ctx, i, settings, records); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func initialEntries(services int) []versioner.Entry {
	entries := []versioner.Entry{partner(ownerPartner)}
	for i := range max(1, services) {
		entries = append(entries, service(serviceName(i), 12),
			route(fmt.Sprintf("route-%03d", i), fmt.Sprintf("/service/%d", i), serviceName(i), ownerPartner, versioner.ClassLookup))
	}
	return entries
}

// otherTargets returns the records of targets whose daemons are not run.
func otherTargets(plan ConvergencePlan, daemons int) []tracker.Record {
	var records []tracker.Record
	for i := daemons; i < plan.Targets; i++ {
		records = append(records, newRecord(fmt.Sprintf("instance-%04d", i), fmt.Sprintf("elsewhere-%02d", i%18), "10.0.0.1:7101", i%max(1, plan.Services)))
	}
	return records
}

func newRecord(id, domain, addr string, service int) tracker.Record {
	return tracker.Record{
		InstanceID: id, Incarnation: 1, Sequence: 1, Service: serviceName(service),
		Domain: domain, PeerAddress: addr, State: tracker.StateReady,
	}
}

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
	m.server = &http.Server{ReadHeaderTimeout: readyBound, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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

// storeCalls returns the daemons' calls of the store.
func (f *spreadFleet) storeCalls() int64 {
	c := f.store.Counts()
	return c.Reads + c.Writes + c.Watches - f.editor.Calls()
}

func (f *spreadFleet) lowest() versioner.Version {
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

// await polls until the state holds.
func (f *spreadFleet) await(ctx context.Context, holds func() bool) error {
	deadline := time.Now().Add(convergenceBound)
	for !holds() {
		if time.Now().After(deadline) {
			return errorx.TimeoutElapsed.New("fleet did not converge, lowest version %d", f.lowest())
		}
		if err := sleeper.Sleep(ctx, convergencePoll); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until the fleet has grown together.
func (f *spreadFleet) settle(ctx context.Context, rest time.Duration) error {
	if err := f.await(ctx, func() bool { return f.lowest() > 0 && f.isGrown() }); err != nil {
		return err
	}
	return sleeper.Sleep(ctx, rest)
}

// isGrown says whether every daemon has a place and all tables are equal.
func (f *spreadFleet) isGrown() bool {
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

func (m *spreadMember) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &m.bytes}, nil
}

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

// countingConn counts the bytes of a socket in both directions.
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
