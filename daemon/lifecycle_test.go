package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/announcer"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// waitTimeout bounds the time until an awaited condition holds.
const waitTimeout = 30 * time.Second

// testDaemon is a daemon that runs in the test process with a target of the test.
type testDaemon struct {
	daemon      *Daemon
	stop, abort context.CancelFunc
	// runErr receives the result of Run.
	runErr chan error
}

// startDaemon starts a daemon with the test configuration and announces target as
// its ready target.
func startDaemon(t *testing.T, id, service string, target http.Handler) *testDaemon {
	t.Helper()
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	cfg := &loader.Daemon{
		InstanceID: id, FailureDomain: "mobile-bay",
		CallerAddress: launcher.NewAddress(), PeerAddress: launcher.NewAddress(), OperatorAddress: launcher.NewAddress(),
	}
	r := &testDaemon{daemon: New(cfg, new(fakestorer.Store), zap.NewNop()), runErr: make(chan error, 1)}
	if _, err := r.daemon.applier.Offer(testDocument()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	abortCtx, abort := context.WithCancel(t.Context())
	r.stop, r.abort = stop, abort
	go func() { r.runErr <- r.daemon.Run(ctx, abortCtx) }()
	waitFor(t, "daemon listens", func() bool {
		c, err := net.Dial("tcp", cfg.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	err := r.daemon.announcer.Announce(announcer.Announcement{
		Service: service, Address: server.Listener.Addr().String(), State: tracker.StateReady.String(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// testDocument returns a configuration with one route, /postings, to the service
// payout-desk.
func testDocument() *versioner.Document {
	return new(versioner.Document).With([]versioner.Entry{
		{Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: 50}},
		{Key: versioner.Key{Kind: versioner.KindService, Name: "payout-desk"}, Service: &versioner.Service{Partner: "magnolia", Slots: 12}},
		{
			Key:   versioner.Key{Kind: versioner.KindRoute, Name: "postings"},
			Route: &versioner.Route{Partner: "magnolia", PathPrefix: "/postings", Service: "payout-desk", Class: versioner.ClassPosting},
		},
	}, nil)
}

// waitFor fails the test if the condition does not hold within waitTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("%s: not true within %v", what, waitTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

// post sends a caller's posting to the daemon and returns the status, whether the
// connection closes, and the body; or the text of the error.
func (r *testDaemon) post(body string) string {
	res, err := http.Post("http://"+r.daemon.cfg.Load().CallerAddress+"/postings", "text/plain", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d close=%v %s", res.StatusCode, res.Close, answer)
}

// postWithRetry is like post, but repeats the posting while the link to the
// target's daemon can't be opened. The first call over a link needs this on a
// machine where many daemons start at once.
func (r *testDaemon) postWithRetry(body string) string {
	for end := time.Now().Add(waitTimeout); ; {
		answer := r.post(body)
		if !strings.Contains(answer, "target-daemon-unreachable") || time.Now().After(end) {
			return answer
		}
	}
}

// blockingTarget returns a target that sends the body of each call to started and
// answers the call once release is closed.
func blockingTarget() (target http.Handler, started chan string, release chan struct{}) {
	started, release = make(chan string, 100), make(chan struct{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		started <- string(body)
		<-release
		fmt.Fprintf(w, "ran %s", body)
	}), started, release
}

// startPair starts an entry daemon, which accepts the callers' requests, and the
// daemon of the target that they are routed to.
func startPair(t *testing.T, target http.Handler) (entry, targetDaemon *testDaemon) {
	t.Helper()
	entry = startDaemon(t, "entry", "ledger-view", http.NotFoundHandler())
	targetDaemon = startDaemon(t, "target", "payout-desk", target)
	entry.daemon.table.Merge(targetDaemon.daemon.table.All())
	return entry, targetDaemon
}

// waitForCall waits until a call has started at the target. It fails the test if
// the caller gets an answer first.
func waitForCall(t *testing.T, started, answers <-chan string) {
	t.Helper()
	select {
	case <-started:
	case got := <-answers:
		t.Fatalf("call did not start: its caller got %q", got)
	}
}

// checkAnswerPrefix reports an error if the answer does not start with want.
func checkAnswerPrefix(t *testing.T, got, want string) {
	t.Helper()
	if !strings.HasPrefix(got, want) {
		t.Errorf("answer to the caller: got %q, want prefix %q", got, want)
	}
}

// A planned stop of the entry daemon or of the target's daemon must refuse new
// calls, but must not end while a call is in flight, and that call must be answered.
func TestPlannedStopFinishesCallsInFlight(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"entry", "target"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			target, started, release := blockingTarget()
			entry, targetDaemon := startPair(t, target)
			stopped := map[string]*testDaemon{"entry": entry, "target": targetDaemon}[role]
			answers := make(chan string, 1)
			go func() { answers <- entry.postWithRetry("1") }()
			waitForCall(t, started, answers)
			stopped.stop()
			waitFor(t, "daemon drains", stopped.daemon.announcer.Draining)
			waitFor(t, "new calls are refused", func() bool {
				return strings.Contains(entry.post("2"), `"outcome":"not-run"`)
			})
			if role == "entry" {
				checkAnswerPrefix(t, entry.post("3"), "503 close=true")
			}
			select {
			case err := <-stopped.runErr:
				close(release)
				t.Fatalf("stop ended with a call in flight: %v", err)
			case <-time.After(minDrainTime + acknowledgeTimeout + 2*closeTimeout):
			}
			close(release)
			checkAnswerPrefix(t, <-answers, "200 close=")
			if err := <-stopped.runErr; err != nil {
				t.Errorf("Run: got error %v, want none", err)
			}
			if got := len(started); got != 0 {
				t.Errorf("calls started after the stop: got %d, want 0", got)
			}
		})
	}
}

// TestStopClosesConnectionsOfCallers guards against connections that stay open, without anyone
// to serve them, when an embedded daemon has stopped.
func TestStopClosesConnectionsOfCallers(t *testing.T) {
	t.Parallel()
	r := startDaemon(t, "entry", "ledger-view", http.NotFoundHandler())
	c, err := net.Dial("tcp", r.daemon.cfg.Load().CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r.stop()
	if err := <-r.runErr; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection after the stop: got %v, want it closed", err)
	}
}

// A planned stop that is aborted, as by a second signal, must report the calls
// that it interrupted.
func TestAbortedStopReportsInterruptedCalls(t *testing.T) {
	t.Parallel()
	target, started, release := blockingTarget()
	defer close(release)
	entry, targetDaemon := startPair(t, target)
	answers := make(chan string, 1)
	go func() { answers <- entry.postWithRetry("1") }()
	waitForCall(t, started, answers)
	targetDaemon.stop()
	waitFor(t, "daemon drains", targetDaemon.daemon.announcer.Draining)
	targetDaemon.abort()
	var interrupted *InterruptedError
	if err := <-targetDaemon.runErr; !errors.As(err, &interrupted) || interrupted.TargetCalls != 1 || interrupted.CallerRequests != 0 {
		t.Errorf("Run: got %v, want an *InterruptedError with 1 call", err)
	}
	if got := <-answers; !strings.Contains(got, `"outcome":"unknown"`) {
		t.Errorf("answer to the caller: got %q, want outcome unknown", got)
	}
}
