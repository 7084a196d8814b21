package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/announcer"
	"bambooweir.example/bambooweir/daemon"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/loadgenerator"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// readyTimeout bounds the preparation of a call fleet. It is also the timeout for
	// request headers of the servers in the convergence and link measurements.
	readyTimeout = 20 * time.Second
	// retryInterval is the pause between the attempts of retry.
	retryInterval     = 20 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	// maxIdleConns is large enough for the load generator to reuse every
	// connection that it opens.
	maxIdleConns = 8192

	// targetService runs at the other nodes, so that calls to it cross a link;
	// localService runs beside the entry daemon.
	targetService = "ledger-view"
	localService  = "catalogue"
)

// callTarget is a fake target with a fixed number of slots and a service time.
// Calls in excess of its slots wait, as they would in the accept queue of a
// server.
type callTarget struct {
	slots chan struct{}
	// serviceTime is in nanoseconds.
	serviceTime atomic.Int64
	// body is the body of each response.
	body []byte
	// runs counts the calls that obtained a slot.
	runs atomic.Int64
}

func newCallTarget(slots, bodyBytes int, serviceTime time.Duration) *callTarget {
	t := &callTarget{slots: make(chan struct{}, slots), body: bytes.Repeat([]byte{'x'}, bodyBytes)}
	t.serviceTime.Store(int64(serviceTime))
	return t
}

// ServeHTTP implements http.Handler.
func (t *callTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	t.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if d := time.Duration(t.serviceTime.Load()); d > 0 {
		time.Sleep(d)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(t.body)))
	_, _ = w.Write(t.body)
}

// callNode is a daemon and its target.
type callNode struct {
	cfg     loader.Daemon
	service string
	target  *callTarget
	// address is the address of the target.
	address string
}

// callFleet runs a store, daemons and targets on loopback sockets in this
// process.
type callFleet struct {
	store    *fakestorer.Store
	acceptor acceptor.Acceptor
	// entry is the node whose daemon receives the calls; its target runs
	// localService. It is nodes[0].
	entry *callNode
	nodes []*callNode
	http  *http.Client

	// cancel ends the fleet with a cause, such as the error of a daemon that ended by itself.
	cancel context.CancelCauseFunc
	done   sync.WaitGroup
	// changes counts the accepted versions.
	changes atomic.Int64
}

// fleetPlan describes a fleet to start.
type fleetPlan struct {
	// targets is the number of targets of targetService, slots the number of
	// slots of each target, and bodyBytes the length of a response's body.
	targets, slots, bodyBytes int
	serviceTime               time.Duration
	tuning                    daemon.Tuning
	// edit, if set, changes the configuration's entries before they are accepted.
	edit func([]versioner.Entry) []versioner.Entry
}

// newCallFleet starts a fleet and waits until every target has run a call. The caller
// must call stop, unless there is an error.
func newCallFleet(ctx context.Context, p fleetPlan) (*callFleet, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	f := &callFleet{store: new(fakestorer.Store), cancel: cancel, http: newHTTPClient()}
	f.acceptor.Store = f.store
	for i := range p.targets + 1 {
		f.nodes = append(f.nodes, newCallNode(i, p))
	}
	f.entry = f.nodes[0]
	for _, n := range f.nodes {
		f.start(ctx, n, p.tuning)
	}
	if err := f.prepare(ctx, p); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
}

// newCallNode returns node i with unused loopback addresses, without starting it. Node 0
// runs localService, all others run targetService.
func newCallNode(i int, p fleetPlan) *callNode {
	n := &callNode{service: targetService, target: newCallTarget(p.slots, p.bodyBytes, p.serviceTime)}
	if i == 0 {
		n.service = localService
	}
	n.cfg = *loader.Defaults()
	n.cfg.InstanceID, n.cfg.FailureDomain = fmt.Sprintf("node-%d", i), "mobile-bay"
	for _, addr := range []*string{&n.cfg.CallerAddress, &n.cfg.PeerAddress, &n.cfg.OperatorAddress, &n.address} {
		*addr = launcher.NewAddress()
	}
	return n
}

// start runs the node's daemon and target in the background until ctx is done.
func (f *callFleet) start(ctx context.Context, n *callNode, tuning daemon.Tuning) {
	d := daemon.New(&n.cfg, f.store, zap.NewNop())
	d.Tune(tuning)
	server := &http.Server{Addr: n.address, Handler: n.target, ReadHeaderTimeout: readHeaderTimeout}
	f.done.Go(func() { _ = server.ListenAndServe() })
	f.done.Go(func() {
		if err := d.Run(ctx, ctx); err != nil {
			f.cancel(errorx.Decorate(err, "%s ended", n.cfg.InstanceID))
		}
		_ = server.Close()
	})
}

// stop stops the fleet and waits until its daemons and targets have ended.
func (f *callFleet) stop() {
	f.cancel(nil)
	f.http.CloseIdleConnections()
	f.done.Wait()
}

// prepare accepts the configuration, announces the targets, and waits until
// calls of both services are answered and every target has run a call.
func (f *callFleet) prepare(ctx context.Context, p fleetPlan) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	entries := callEntries(p.slots)
	if p.edit != nil {
		entries = p.edit(entries)
	}
	if err := f.accept(ctx, entries...); err != nil {
		return err
	}
	for _, n := range f.nodes {
		if err := retry(ctx, func() error { return f.announce(ctx, n) }); err != nil {
			return err
		}
	}
	for _, path := range []string{"/lookup", "/local/lookup"} {
		err := retry(ctx, func() error {
			if got := f.call(ctx, http.MethodGet, f.entryURL(path), nil, p.bodyBytes); got != loadgenerator.Answered {
				return fmt.Errorf("%s is not served yet", path)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return retry(ctx, func() error { return f.probeTargets(ctx, p.bodyBytes) })
}

// probeTargets returns nil once every target has run a call. Until then it makes
// one call and returns an error, so that a retry makes the next call.
func (f *callFleet) probeTargets(ctx context.Context, bodyBytes int) error {
	for _, n := range f.nodes {
		if n.target.runs.Load() == 0 {
			f.call(ctx, http.MethodGet, f.entryURL("/lookup"), nil, bodyBytes)
			return fmt.Errorf("target of %s has run no call yet", n.cfg.InstanceID)
		}
	}
	return nil
}

// retry calls f until it succeeds; when ctx is done first, it returns f's last error with the
// cause of that.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errorx.Decorate(err, "preparing the fleet (%v)", context.Cause(ctx))
		case <-time.After(retryInterval):
		}
	}
}

// announce announces the node's target to its daemon as ready.
func (f *callFleet) announce(ctx context.Context, n *callNode) error {
	return announcer.Send(ctx, f.http, "http://"+n.cfg.OperatorAddress, announcer.Announcement{
		Service: n.service, Address: n.address, State: tracker.StateReady.String(),
	})
}

// entryURL returns the URL of a path at the entry daemon.
func (f *callFleet) entryURL(path string) string { return "http://" + f.entry.cfg.CallerAddress + path }

// call makes one call and returns its result. An answer counts only if its body
// has bodyBytes bytes.
func (f *callFleet) call(ctx context.Context, method, url string, body []byte, bodyBytes int) loadgenerator.Result {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return loadgenerator.Failed
	}
	res, err := f.http.Do(req)
	if err != nil {
		return loadgenerator.Failed
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var problem struct{ Outcome string }
		_ = json.NewDecoder(res.Body).Decode(&problem)
		if problem.Outcome == "not-run" {
			return loadgenerator.Refused
		}
		return loadgenerator.Failed
	}
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != int64(bodyBytes) {
		return loadgenerator.Failed
	}
	return loadgenerator.Answered
}
