package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/requester"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// mesh is one entry daemon and the targets' daemons that it calls, connected by pipes.
type mesh struct {
	ctx       context.Context
	forwarder *Forwarder
	// table is the membership table of the entry daemon.
	table *tracker.Table
	// hasOwnTables gives every target's daemon a table of its own instead of that one.
	hasOwnTables bool
	retention    func() time.Duration

	mu      sync.Mutex
	targets map[string]*fakeTarget
}

// lockedSource is a seeded random source for concurrent use, so that the picker makes the
// same choices in every run.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// fakeTarget is a target with its daemon.
type fakeTarget struct {
	mesh     *mesh
	name     string
	executor *executor.Executor
	stop     context.CancelFunc

	mu       sync.Mutex
	down     bool
	pipes    []*pipe
	sequence uint64
	// table is the membership table of the target's daemon.
	table *tracker.Table
	// knowsKeysFor is how far back a new process counts as knowing its service's keys.
	knowsKeysFor time.Duration
	// losesGoneRecord means that the last record of a process reaches no other daemon,
	// as when the record of its successor is newer.
	losesGoneRecord bool
	// runs holds the bodies of the requests that ran.
	runs []string
	// epoch is that of the target's current run, slots the number of calls that its daemon
	// admits at a time; with 0 it admits all.
	epoch uint64
	slots int
	// handle runs a request at the target; nil answers "ran " and the request's body.
	handle func(*http.Request, string) (*http.Response, error)
}

const testTimeoutMS = 10_000

// meshEntries returns a configuration with one route for postings and one for lookups, both to
// the service payout-desk.
func meshEntries() []versioner.Entry {
	timeout, retries := testTimeoutMS, 10
	class := func(name string) versioner.Entry {
		return versioner.Entry{Key: versioner.Key{Kind: versioner.KindClass, Name: name}, Class: &versioner.Class{TimeoutMS: &timeout, MaxRetries: &retries}}
	}
	route := func(name, class string) versioner.Entry {
		return versioner.Entry{
			Key:   versioner.Key{Kind: versioner.KindRoute, Name: name},
			Route: &versioner.Route{Partner: "magnolia", PathPrefix: "/" + name, Service: "payout-desk", Class: class},
		}
	}
	return []versioner.Entry{
		{Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: 50}},
		{Key: versioner.Key{Kind: versioner.KindService, Name: "payout-desk"}, Service: &versioner.Service{Partner: "magnolia", Slots: 12, Connections: 130}},
		class(versioner.ClassPosting), class(versioner.ClassLookup),
		route("postings", versioner.ClassPosting), route("lookups", versioner.ClassLookup),
	}
}

// newMesh returns a mesh with one running target for each name.
func newMesh(ctx context.Context, t testing.TB, names ...string) *mesh {
	t.Helper()
	m := &mesh{ctx: ctx, targets: make(map[string]*fakeTarget)}
	m.table = new(tracker.Table)
	m.forwarder = &Forwarder{
		Applier: new(applier.Applier), Dial: m.dial,
		Picker: &picker.Picker{Table: m.table, Source: &lockedSource{source: rand.NewPCG(1, 1)}},
	}
	if _, err := m.forwarder.Applier.Offer(new(versioner.Document).With(meshEntries(), nil)); err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		m.targets[name] = &fakeTarget{mesh: m, name: name, knowsKeysFor: time.Hour}
		m.targets[name].start()
	}
	return m
}

// start starts a new process of the target's daemon, without the state of the last one.
func (f *fakeTarget) start() {
	ctx, stop := context.WithCancel(f.mesh.ctx)
	f.mu.Lock()
	f.stop = stop
	f.down = false
	f.executor = &executor.Executor{
		InstanceID: f.name, Incarnation: uint64(time.Now().UnixNano()), Exchange: f.exchange,
		Target:    func() string { return "http://target" },
		Service:   func() string { return "payout-desk" },
		TargetRun: func() messenger.TargetRun { return messenger.TargetRun{ID: f.name, Epoch: f.currentEpoch()} },
	}
	if f.slots > 0 {
		f.executor.Admit = f.newAdmission(f.executor)
	}
	f.table = f.mesh.newTable(f.name)
	f.executor.KeyCoordinator.Peers = f.table
	f.executor.KeyCoordinator.Retention = f.mesh.retention
	f.executor.KeyCoordinator.Ask = f.mesh.forwarder.Ask
	f.executor.KeyCoordinator.Joined = time.Now().Add(-f.knowsKeysFor)
	f.sequence = 0
	f.mu.Unlock()
	context.AfterFunc(ctx, f.cut)
	f.announce(tracker.StateReady, false)
}

// currentEpoch returns the epoch of the target's current run.
func (f *fakeTarget) currentEpoch() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch
}

// setEpoch begins a run of the target with the epoch.
func (f *fakeTarget) setEpoch(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = epoch
}

// newAdmission returns the admission control of a new process of the target's daemon.
func (f *fakeTarget) newAdmission(x *executor.Executor) func(context.Context, *messenger.Call) (func(), *messenger.Answer) {
	l := &limiter.Limiter{
		Applier: f.mesh.forwarder.Applier, Service: x.Service, Announced: func() int { return f.slots },
		RateLimit: func() (float64, bool) {
			notice := x.Notice()
			return notice.CallsPerSecond, notice.IsLimited
		},
	}
	return func(ctx context.Context, call *messenger.Call) (func(), *messenger.Answer) {
		slot, err := l.Admit(ctx, limiter.Request{Class: call.Class, Partner: call.Partner, Objective: 400 * time.Millisecond})
		var refused *limiter.RefusedError
		if errors.As(err, &refused) {
			return nil, messenger.NotRun(call.ID, refused.Cause)
		}
		return slot.Release, nil
	}
}

// announce puts a record with a new state of the target into the mesh's table and that of
// the target's daemon.
func (f *fakeTarget) announce(state tracker.State, handedOver bool) {
	f.mu.Lock()
	f.sequence++
	r := tracker.Record{
		InstanceID: f.name, Incarnation: f.executor.Incarnation, Sequence: f.sequence, Service: "payout-desk",
		PeerAddress: f.name, State: state, HandedOver: handedOver, Epoch: f.epoch,
	}
	f.mu.Unlock()
	f.mesh.table.Merge([]tracker.Record{r})
	f.table.Merge([]tracker.Record{r})
}

// newTable returns the table of a new process of the target. With hasOwnTables it starts
// as a copy of another daemon's table.
func (m *mesh) newTable(name string) *tracker.Table {
	if !m.hasOwnTables {
		return m.table
	}
	own := new(tracker.Table)
	for _, n := range threeTargets {
		if other := m.targets[n]; n != name && !other.down {
			own.Merge(other.table.All())
			break
		}
	}
	return own
}

// leave stops the target's daemon as planned: it drains, hands over its keys and ends.
func (f *fakeTarget) leave(ctx context.Context) error {
	f.announce(tracker.StateDraining, false)
	f.executor.Drain(ctx)
	for f.executor.InFlight() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	err := f.executor.HandOver(ctx)
	if !f.losesGoneRecord {
		f.announce(tracker.StateGone, err == nil)
	}
	f.kill()
	return err
}

// kill ends the process of the target's daemon; links are refused until start.
func (f *fakeTarget) kill() {
	f.mu.Lock()
	f.down = true
	stop := f.stop
	f.mu.Unlock()
	stop()
	f.cut()
}

// links returns the pipes of all links that were ever opened to the target's daemon.
func (f *fakeTarget) links() []*pipe {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.pipes)
}

// cut breaks all links to the target's daemon.
func (f *fakeTarget) cut() {
	for _, p := range f.links() {
		p.cut()
	}
}

// ran returns the bodies of the requests that ran.
func (f *fakeTarget) ran() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs)
}

// dial opens a pipe to the target's daemon at addr, which is the target's name.
func (m *mesh) dial(_ context.Context, addr string) (messenger.Conn, error) {
	m.mu.Lock()
	f := m.targets[addr]
	m.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, syscall.ECONNREFUSED
	}
	p := newPipe()
	f.pipes = append(f.pipes, p)
	x := f.executor
	ctx, cancel := context.WithCancel(m.ctx)
	go func() {
		defer cancel()
		defer p.far.Close()
		_ = x.Serve(ctx, p.far)
	}()
	return p.near, nil
}

// exchange runs a request at the fake target; it replaces the executor's Requester.
func (f *fakeTarget) exchange(ctx context.Context, base string, req *requester.Request) (*requester.Response, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, base+req.Target, bytes.NewReader(req.Body))
	if err != nil {
		return nil, &requester.NotSentError{Cause: err}
	}
	for _, field := range req.Fields {
		r.Header.Add(field.Name, field.Value)
	}
	res, err := f.run(r, req.Body)
	var unsent *requester.NotSentError
	if errors.As(err, &unsent) {
		return nil, err
	}
	if err != nil {
		return nil, &requester.LostError{Cause: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && int64(len(body)) < res.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, &requester.LostError{Cause: err}
	}
	return &requester.Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// run records a request and returns its response.
func (f *fakeTarget) run(r *http.Request, body []byte) (*http.Response, error) {
	f.mu.Lock()
	f.runs = append(f.runs, string(body))
	work := f.handle
	f.mu.Unlock()
	if work != nil {
		return work(r, string(body))
	}
	return respond("ran " + string(body)), nil
}

// respond returns a response with status 200.
func respond(body string) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

// callerResponse is the HTTP response that a caller got.
type callerResponse struct {
	status int
	body   string
}

// contains reports whether all words occur in the status and the body.
func (t callerResponse) contains(words ...string) bool {
	for _, w := range words {
		if !strings.Contains(fmt.Sprintf("%d %s", t.status, t.body), w) {
			return false
		}
	}
	return true
}

// call sends a request to the entry daemon and returns the response. The header lists
// names and values in turn.
func (m *mesh) call(ctx context.Context, path, body string, header ...string) callerResponse {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewBufferString(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	m.forwarder.ServeHTTP(w, r)
	return callerResponse{status: w.Code, body: w.Body.String()}
}

// start sends a request in the background; the response is sent to the channel.
func (m *mesh) start(path, body string) <-chan callerResponse {
	c := make(chan callerResponse, 1)
	go func() { c <- m.call(m.ctx, path, body) }()
	return c
}
