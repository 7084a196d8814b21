package forwarder

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/requester"
	"bambooweir.example/bambooweir/spreader"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	fleetDomains = 3
	// fleetDelay is the one-way delay between two daemons.
	fleetDelay = 1400 * time.Microsecond
	fleetSlots = 12
	// lookupsPerTarget is how many lookups a second the callers send for each target of the
	// service, about two thirds of what its slots can run.
	lookupsPerTarget = 65
)

// deadlyFleet is a fleet of daemons with their links and their tree, on the fake clock. Two
// fifths of them have a target of the service that lookups go to.
type deadlyFleet struct {
	network memNetwork
	daemons []*fleetDaemon
	servers []*http.Server
}

// fleetDaemon is one daemon of the fleet. Its target is nil if it has one of another service.
type fleetDaemon struct {
	forwarder  *Forwarder
	spreader   *spreader.Spreader
	executor   *executor.Executor
	quarantine *quarantiner.Table
	target     *mortalProcess
	service    string
	epoch      atomic.Uint64

	mu     sync.Mutex
	record tracker.Record
}

// newDeadlyFleet starts n daemons.
func newDeadlyFleet(ctx context.Context, t *testing.T, n int) *deadlyFleet {
	t.Helper()
	f := &deadlyFleet{network: memNetwork{delay: fleetDelay}}
	store := new(fakestorer.Store)
	a := &acceptor.Acceptor{Store: store}
	if _, err := a.Accept(ctx, acceptor.Change{Audit: versioner.Audit{ChangeID: "first", Author: "ada", Reason: "the terms"}, Upserts: meshEntries()}); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		f.daemons = append(f.daemons, f.start(ctx, i, store))
	}
	return f
}

// start starts daemon i.
func (f *deadlyFleet) start(ctx context.Context, i int, store *fakestorer.Store) *fleetDaemon {
	id, addr, domain := fmt.Sprintf("d%03d", i), fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), fmt.Sprint("domain-", i%fleetDomains)
	table, apply := new(tracker.Table), &applier.Applier{Domain: domain}
	d := &fleetDaemon{quarantine: new(quarantiner.Table), service: "claims-vault"}
	d.epoch.Store(1)
	if i%5 < 2 {
		d.target, d.service = new(mortalProcess), "payout-desk"
	}
	d.record = tracker.Record{
		InstanceID: id, Incarnation: 1, Sequence: 1, Domain: domain, PeerAddress: addr,
		State: tracker.StateReady, Service: d.service, Epoch: 1, Slots: fleetSlots,
	}
	d.spreader = &spreader.Spreader{
		InstanceID: id, Domain: domain, PeerAddress: addr, Store: store, Applier: apply, Table: table, Log: zap.NewNop(),
		HTTP: f.network.client(), Quarantine: d.quarantine,
	}
	d.quarantine.OnChange = d.spreader.SpreadSuspicions
	if d.target != nil {
		d.target.onEnd = func() { d.announce(tracker.StateGone, 0) }
		d.target.onReturn = func() { d.announce(tracker.StateReady, 1) }
	}
	d.executor = &executor.Executor{
		InstanceID: id, Incarnation: 1, Target: func() string { return "http://target" },
		Service: func() string { return d.service }, Quarantine: d.quarantine,
		TargetRun: func() messenger.TargetRun { return messenger.TargetRun{ID: id, Epoch: d.epoch.Load()} },
		Exchange: func(ctx context.Context, _ string, req *requester.Request) (*requester.Response, error) {
			body, err := d.target.run(ctx, string(req.Body))
			if err != nil {
				return nil, err
			}
			return &requester.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}, nil
		},
	}
	if d.target != nil {
		d.executor.Requester.Dial = d.target.dial
	}
	l := &limiter.Limiter{Applier: apply, Service: d.executor.Service, Announced: func() int { return fleetSlots }}
	d.executor.Admit = func(ctx context.Context, call *messenger.Call) (func(), *messenger.Answer) {
		slot, err := l.Admit(ctx, limiter.Request{Class: call.Class, Partner: call.Partner, Objective: 400 * time.Millisecond})
		if err != nil {
			return nil, messenger.NotRun(call.ID, limiter.CauseExpectedWait)
		}
		return slot.Release, nil
	}
	d.forwarder = &Forwarder{
		Applier: apply, InstanceID: id, RunLocal: d.executor.Run, Dial: f.network.dialCalls, Quarantine: d.quarantine,
		Picker: &picker.Picker{Table: table, Domain: domain, Source: &lockedSource{source: rand.NewPCG(1, uint64(i))}},
	}
	d.executor.TrialHolder = d.forwarder.TrialHolder
	mux := http.NewServeMux()
	mux.HandleFunc(messenger.ControlPath, func(w http.ResponseWriter, r *http.Request) {
		if link, err := messenger.Accept(w, r); err == nil {
			_ = d.spreader.Serve(ctx, link)
		}
	})
	mux.HandleFunc(messenger.CallPath, func(w http.ResponseWriter, r *http.Request) {
		if link, err := messenger.Accept(w, r); err == nil {
			defer link.Close()
			_ = d.executor.Serve(ctx, link)
		}
	})
	server := &http.Server{Handler: mux}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(f.network.listen(addr)) }()
	go d.spreader.Run(ctx)
	d.spreader.Announce(ctx, []tracker.Record{d.record})
	return d
}

// announce announces a state of the daemon's target, of the run that many after the present.
func (d *fleetDaemon) announce(state tracker.State, laterRuns uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Sequence++
	d.record.State = state
	d.record.Epoch = d.epoch.Add(laterRuns)
	d.spreader.Announce(context.Background(), []tracker.Record{d.record})
}

// call sends a lookup to the daemon.
func (d *fleetDaemon) call(ctx context.Context, body string) callerResponse {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/lookups", bytes.NewBufferString(body))
	w := httptest.NewRecorder()
	d.forwarder.ServeHTTP(w, r)
	return callerResponse{status: w.Code, body: w.Body.String()}
}

// stop ends the fleet and waits until all that it was doing has ended or timed out.
func (f *deadlyFleet) stop(cancel context.CancelFunc) {
	cancel()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, l := range f.network.listeners {
		_ = l.Close()
	}
	time.Sleep(time.Minute)
}

// knowTargets reports whether all daemons have a configuration and know that many targets.
func (f *deadlyFleet) knowTargets(n int) bool {
	for _, d := range f.daemons {
		if d.forwarder.Applier.Current() == nil || len(d.forwarder.Picker.Table.Service("payout-desk")) != n {
			return false
		}
	}
	return true
}

// ends returns how often targets have ended.
func (f *deadlyFleet) ends() int {
	n := 0
	for _, d := range f.daemons {
		if d.target != nil {
			n += d.target.countEnds()
		}
	}
	return n
}

// countStatus returns the number of daemons that treat the request so.
func (f *deadlyFleet) countStatus(request quarantiner.Digest, status quarantiner.Status) int {
	n := 0
	for _, d := range f.daemons {
		if d.quarantine.Judge(request, "payout-desk").Status == status {
			n++
		}
	}
	return n
}

// fleetSizes lists the fleets of TestDeadlyRequestInFleets.
var fleetSizes = flag.String("fleets", "11", "numbers of daemons in the fleets that a deadly request is sent to, a list")

// touchTime is how long after the third target has ended the users allow more.
const touchTime = 3 * time.Second

// A deadly lookup comes twenty times a second at random daemons of a fleet under load. The
// users allow three targets more to get it, from touchTime after the third has ended.
func TestDeadlyRequestInFleets(t *testing.T) {
	// The compressor and the decompressor are made once for the process, and must not belong
	// to the fake clock of one fleet.
	b, err := messenger.Encode(&messenger.Reports{Reports: make([]messenger.RootReport, 1<<10)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := messenger.Decode(b); err != nil {
		t.Fatal(err)
	}
	for size := range strings.SplitSeq(*fleetSizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(size, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newDeadlyFleet(ctx, t, n)
				defer f.stop(cancel)
				f.play(ctx, t)
			})
		})
	}
}

// play sends lookups and the deadly request, and checks and logs what becomes of them.
func (f *deadlyFleet) play(ctx context.Context, t *testing.T) {
	random := rand.New(rand.NewPCG(1, uint64(len(f.daemons))))
	at := func() *fleetDaemon { return f.daemons[random.IntN(len(f.daemons))] }
	targets := 0
	for _, d := range f.daemons {
		if d.target != nil {
			targets++
		}
	}
	for tries := 0; !f.knowTargets(targets); tries++ {
		if tries == 120 {
			t.Fatal("not all daemons know all targets after two minutes")
		}
		time.Sleep(time.Second)
	}
	deadly := (&messenger.Call{Partner: "magnolia", Method: http.MethodPost, Target: "/lookups", Body: []byte("deadly"), IsForAnyHost: true}).ContentDigest()
	var answered, refused, lost, quarantined atomic.Int64
	var wg sync.WaitGroup
	const seconds = 12
	interval := time.Second / time.Duration(targets*lookupsPerTarget)
	start, thirdAt, knownAfter, endsAtTouch := time.Now(), time.Time{}, time.Duration(0), -1
	endsWhenKnown := 0
	nextDeadly := start.Add(time.Second)
	for sent := 0; time.Since(start) < seconds*time.Second; sent++ {
		body := "popular"
		if sent%2 == 0 {
			body = fmt.Sprint("lookup ", sent)
		}
		d := at()
		wg.Go(func() {
			switch got := d.call(ctx, body); {
			case got.contains("request-quarantined"):
				quarantined.Add(1)
			case got.contains("not-run"):
				refused.Add(1)
			case got.status == http.StatusOK:
				answered.Add(1)
			default:
				lost.Add(1)
			}
		})
		if time.Now().After(nextDeadly) {
			nextDeadly = nextDeadly.Add(50 * time.Millisecond)
			d := at()
			wg.Go(func() { d.call(ctx, "deadly") })
		}
		time.Sleep(interval)
		switch ends := f.ends(); {
		case thirdAt.IsZero() && ends >= 3:
			thirdAt = time.Now()
		case !thirdAt.IsZero() && knownAfter == 0 && f.countStatus(deadly, quarantiner.StatusQuarantined) == len(f.daemons):
			knownAfter, endsWhenKnown = time.Since(thirdAt), ends
		}
		if endsAtTouch < 0 && !thirdAt.IsZero() && time.Since(thirdAt) > touchTime {
			endsAtTouch = f.ends()
		}
	}
	wg.Wait()
	t.Logf("%d daemons, %d targets: %d ended, quarantined everywhere %s after the third, %d ended until then; other lookups: %d answered, %d refused, %d lost, %d quarantined",
		len(f.daemons), targets, f.ends(), knownAfter, endsWhenKnown, answered.Load(), refused.Load(), lost.Load(), quarantined.Load())
	if got := f.ends() - endsAtTouch; endsAtTouch < 0 || got > 3 {
		t.Errorf("targets that ended %s after the third or later: got %d, want at most 3", touchTime, got)
	}
	if got := quarantined.Load(); got != 0 {
		t.Errorf("innocent lookups refused as quarantined: got %d, want 0", got)
	}
}
