package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/announcer"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/requester"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// limitedTarget is a target that names a rate limit on its answers and records when
// requests arrive.
type limitedTarget struct {
	start time.Time
	run   time.Duration
	// limit returns the calls per second that the target takes at a time after start.
	limit func(at time.Duration) (perSecond float64, limited bool)

	mu       sync.Mutex
	arrivals []time.Duration
}

// exchange replaces the executor's Requester.
func (l *limitedTarget) exchange(ctx context.Context, _ string, req *requester.Request) (*requester.Response, error) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Since(l.start))
	l.mu.Unlock()
	select {
	case <-time.After(l.run):
	case <-ctx.Done():
		return nil, &requester.LostError{Cause: ctx.Err()}
	}
	names := messenger.HeaderNames{}.WithDefaults()
	h := http.Header{}
	h.Set(names.RequestID, req.ID)
	if perSecond, limited := l.limit(time.Since(l.start)); limited {
		h.Set(names.RateLimit, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
	return &requester.Response{Status: http.StatusOK, Header: h, Body: []byte("ok")}, nil
}

// countWithin returns the number of arrivals from the given time on, for d.
func (l *limitedTarget) countWithin(from, d time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals {
		if at >= from && at < from+d {
			n++
		}
	}
	return n
}

// newLimitedDaemon returns a daemon that is not running, with the target as its own.
func newLimitedDaemon(t *testing.T, target *limitedTarget) *Daemon {
	t.Helper()
	d := New(&loader.Daemon{InstanceID: "limited", FailureDomain: "mobile-bay"}, new(fakestorer.Store), zap.NewNop())
	if _, err := d.applier.Offer(testDocument()); err != nil {
		t.Fatal(err)
	}
	d.executor.Exchange = target.exchange
	err := d.announcer.Announce(announcer.Announcement{
		Service: "payout-desk", Address: "127.0.0.1:1", State: tracker.StateReady.String(), RunID: "r1", Epoch: 1, Slots: 12,
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// offerCalls sends the daemon a call in each interval until the target's clock shows end.
func offerCalls(ctx context.Context, d *Daemon, target *limitedTarget, interval, end time.Duration) {
	var wg sync.WaitGroup
	for time.Since(target.start) < end {
		time.Sleep(interval)
		wg.Go(func() {
			call := &messenger.Call{
				ID: messenger.NewCallID(), Class: versioner.ClassLookup, Partner: "magnolia", Service: "payout-desk",
				Method: http.MethodGet, Target: "/lookups", RemainingMS: 1500, ObjectiveMS: 400, Idempotent: true,
			}
			d.executor.Run(ctx, call)
		})
	}
	wg.Wait()
}

// always returns a limit that holds from the start on.
func always(perSecond float64) func(time.Duration) (float64, bool) {
	return func(time.Duration) (float64, bool) { return perSecond, true }
}

// TestTargetGetsNoMoreCallsThanItsLimit guards against a target in need being flooded.
func TestTargetGetsNoMoreCallsThanItsLimit(t *testing.T) {
	const (
		window = 4 * time.Second
		// toleranceFactor and toleranceCalls are what the users' rule allows beyond a limit.
		toleranceFactor = 1.5
		toleranceCalls  = 5
	)
	tests := []struct {
		name  string
		limit func(at time.Duration) (float64, bool)
		// most is the highest limit in the window that begins at a time.
		most func(from time.Duration) float64
	}{
		{"half of the calls", always(50), func(time.Duration) float64 { return 50 }},
		{"a call in two and a half seconds", always(0.4), func(time.Duration) float64 { return 0.4 }},
		{"no call", always(0), func(time.Duration) float64 { return 0 }},
		{
			"a limit that falls",
			func(at time.Duration) (float64, bool) {
				if at < 8*time.Second {
					return 60, true
				}
				return 3, true
			},
			func(from time.Duration) float64 {
				if from < 8*time.Second+100*time.Millisecond {
					return 60
				}
				return 3
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &limitedTarget{start: time.Now(), run: 50 * time.Millisecond, limit: tt.limit}
				d := newLimitedDaemon(t, target)
				offerCalls(t.Context(), d, target, 10*time.Millisecond, 20*time.Second)
				for from := time.Second; from < 16*time.Second; from += 100 * time.Millisecond {
					limit := tt.most(from)
					most := int(toleranceFactor*window.Seconds()*limit) + toleranceCalls
					if got := target.countWithin(from, window); got > most {
						t.Fatalf("in 4 s from %v: got %d calls, want at most %d at %v calls a second", from, got, most, limit)
					}
					if least := int(0.9*window.Seconds()*limit) - 1; limit < 60 && target.countWithin(from, window) < least {
						t.Fatalf("in 4 s from %v: got %d calls, want at least %d at %v calls a second", from, target.countWithin(from, window), least, limit)
					}
				}
			})
		})
	}
}

// leavingExchange answers each request with the word that the target is leaving, and counts
// the requests.
func leavingExchange(arrived *int) func(context.Context, string, *requester.Request) (*requester.Response, error) {
	names := messenger.HeaderNames{}.WithDefaults()
	return func(_ context.Context, _ string, req *requester.Request) (*requester.Response, error) {
		*arrived++
		h := http.Header{}
		h.Set(names.RequestID, req.ID)
		h.Set(names.Leaving, "1")
		return &requester.Response{Status: http.StatusOK, Header: h, Body: []byte("ok")}, nil
	}
}

// TestLeavingTargetGetsNoNewCallsWhateverItsHeartbeatsSay guards against calls to a target
// whose answers say that it is leaving before its heartbeats do.
func TestLeavingTargetGetsNoNewCallsWhateverItsHeartbeatsSay(t *testing.T) {
	target := &limitedTarget{}
	d := newLimitedDaemon(t, target)
	arrived := 0
	d.executor.Exchange = leavingExchange(&arrived)
	call := func() *messenger.Answer {
		return d.executor.Run(t.Context(), &messenger.Call{
			ID: messenger.NewCallID(), Class: versioner.ClassLookup, Partner: "magnolia", Service: "payout-desk",
			Method: http.MethodGet, Target: "/lookups", RemainingMS: 1500, ObjectiveMS: 400, Idempotent: true,
		})
	}
	announce := func(epoch, sequence uint64) {
		t.Helper()
		err := d.announcer.Announce(announcer.Announcement{
			Service: "payout-desk", Address: "127.0.0.1:1", State: tracker.StateReady.String(), RunID: "r1", Epoch: epoch,
			Sequence: sequence, Slots: 12,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if got := call(); got.Outcome != messenger.OutcomeAnswered || !got.Draining {
		t.Errorf("first call: got %v, draining %t, want an answer that reports the target as draining", got.Outcome, got.Draining)
	}
	announce(1, 2)
	if got := call(); got.Outcome != messenger.OutcomeNotRun || got.Cause != "draining" {
		t.Errorf("call after a late heartbeat: got %v %s, want not-run, draining", got.Outcome, got.Cause)
	}
	r, ok := d.table.Find("limited")
	if !ok || r.State != tracker.StateDraining || !r.TargetLeaving {
		t.Errorf("record: got %+v, want a target that is draining and leaving", r)
	}
	if arrived != 1 {
		t.Errorf("requests at the target: got %d, want 1", arrived)
	}
	announce(2, 1)
	if got := call(); got.Outcome != messenger.OutcomeAnswered {
		t.Errorf("call to a new run: got %v %s, want an answer", got.Outcome, got.Cause)
	}
}

// TestCrashOfLeavingTargetBlocksNoCalls guards against requests that are never answered: an
// answer names the target's departure while the crash of the same run is found.
func TestCrashOfLeavingTargetBlocksNoCalls(t *testing.T) {
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listening.Close() }()
	d := newLimitedDaemon(t, &limitedTarget{})
	err = d.announcer.Announce(announcer.Announcement{
		Service: "payout-desk", Address: listening.Addr().String(), State: tracker.StateReady.String(), RunID: "r1", Epoch: 1, Sequence: 1, Slots: 12,
	})
	if err != nil {
		t.Fatal(err)
	}
	// Two requests run at the target when it crashes: one is lost, the other is answered.
	answering, lost := make(chan struct{}), make(chan struct{})
	d.executor.Exchange = func(ctx context.Context, base string, req *requester.Request) (*requester.Response, error) {
		if req.Target == "/lost" {
			<-answering
			return nil, &requester.LostError{Cause: io.ErrUnexpectedEOF}
		}
		close(answering)
		<-lost
		return leavingExchange(new(int))(ctx, base, req)
	}
	// The announcer is told of the departure only while it reports the crash.
	departing, crashing := make(chan struct{}), make(chan struct{})
	markLeaving, onChange := d.executor.OnLeaving, d.announcer.OnChange
	d.executor.OnLeaving = func(run messenger.TargetRun) {
		close(departing)
		<-crashing
		markLeaving(run)
	}
	d.announcer.OnChange = func(r tracker.Record) {
		if r.State == tracker.StateGone {
			close(crashing)
		}
		onChange(r)
	}
	call := func(path string) {
		d.executor.Run(t.Context(), &messenger.Call{
			ID: messenger.NewCallID(), Class: versioner.ClassLookup, Partner: "magnolia", Service: "payout-desk",
			Method: http.MethodGet, Target: path, RemainingMS: 1500, ObjectiveMS: 400, Idempotent: true,
		})
	}
	answered, detected := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(answered)
		call("/answered")
	}()
	call("/lost")
	close(lost)
	<-departing
	d.announcer.HeartbeatTimeout = time.Minute
	d.announcer.ReportUnreachable()
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		defer close(detected)
		d.announcer.Run(ctx)
	}()
	waitFor(t, "the call is answered", func() bool { return isClosed(answered) })
	stop()
	waitFor(t, "the announcer has reported the crash", func() bool { return isClosed(detected) })
}

// isClosed reports whether the channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
