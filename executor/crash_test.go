package executor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/requester"
)

// crashingTarget is a target whose process may end while it runs a request for "/deadly".
type crashingTarget struct {
	listener net.Listener
	// endsProcess says that the request ends the process, rather than its connection only.
	endsProcess bool
	wg          sync.WaitGroup
}

// startCrashingTarget starts the target and returns it with its base URL.
func startCrashingTarget(t *testing.T, endsProcess bool) (*crashingTarget, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &crashingTarget{listener: l, endsProcess: endsProcess}
	target.wg.Go(target.serve)
	t.Cleanup(func() {
		_ = l.Close()
		target.wg.Wait()
	})
	return target, "http://" + l.Addr().String()
}

func (t *crashingTarget) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.wg.Go(func() { t.serveConn(c) })
	}
}

func (t *crashingTarget) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/deadly" {
			if t.endsProcess {
				_ = t.listener.Close()
			}
			return
		}
		fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
	}
}

// newLookup returns an idempotent call with a minute left.
func newLookup(path string) *messenger.Call {
	return &messenger.Call{ID: messenger.NewCallID(), Method: http.MethodGet, Target: path, Host: "desk", RemainingMS: 60_000, Idempotent: true}
}

// A crash is told from a broken connection, from a planned departure, and from a crash
// that only the next run of the target shows.
func TestCrashesAreToldFromBrokenConnections(t *testing.T) {
	tests := []struct {
		name                   string
		endsProcess, isLeaving bool
		// isReplaced says that another run has announced itself afterwards.
		isReplaced bool
		// answers says that the target answers another call afterwards.
		answers bool
		want    int64
	}{
		{name: "process ends", endsProcess: true, want: 1},
		{name: "process ends while it leaves", endsProcess: true, isLeaving: true, want: 0},
		{name: "connection breaks", want: 0},
		{name: "connection breaks and a new run comes", isReplaced: true, want: 1},
		{name: "connection breaks, the run answers, a new run comes", answers: true, isReplaced: true, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, base := startCrashingTarget(t, tt.endsProcess)
			x := newExecutor(base)
			defer x.Requester.Reset()
			epoch := uint64(1)
			x.TargetRun = func() messenger.TargetRun { return messenger.TargetRun{ID: "run", Epoch: epoch} }
			if answer := x.Run(t.Context(), newLookup("/shares")); answer.Outcome != messenger.OutcomeAnswered {
				t.Fatalf("first call: got %v %s, want an answer", answer.Outcome, answer.Cause)
			}
			// The target says that it leaves once it is running the call.
			leaving := false
			x.Draining = func() bool { return leaving }
			x.Exchange = func(ctx context.Context, base string, req *requester.Request) (*requester.Response, error) {
				leaving = tt.isLeaving
				return x.Requester.Do(ctx, strings.TrimPrefix(base, "http://"), req)
			}
			if answer := x.Run(t.Context(), newLookup("/deadly")); answer.Outcome != messenger.OutcomeUnknown {
				t.Fatalf("deadly call: got %v %s, want unknown", answer.Outcome, answer.Cause)
			}
			if tt.answers {
				x.Run(t.Context(), newLookup("/shares"))
			}
			if tt.isReplaced {
				epoch++
				x.ObserveTarget(false)
			}
			if got := x.Counters.Crashes.Value(); got != tt.want {
				t.Errorf("crashes: got %d, want %d", got, tt.want)
			}
		})
	}
}

// A connection breaks, the target gets no further call, and is replaced much later for another
// reason.
func TestBrokenConnectionIsNoCrashForever(t *testing.T) {
	for _, tt := range []struct {
		after time.Duration
		want  int64
	}{{interruptionLifetime, 1}, {interruptionLifetime + time.Millisecond, 0}} {
		synctest.Test(t, func(t *testing.T) {
			x := newExecutor("http://target")
			epoch := uint64(1)
			x.TargetRun = func() messenger.TargetRun { return messenger.TargetRun{ID: "run", Epoch: epoch} }
			x.Requester.Dial = func(context.Context, string) (net.Conn, error) {
				near, _ := net.Pipe()
				return near, nil
			}
			x.Exchange = func(context.Context, string, *requester.Request) (*requester.Response, error) {
				return nil, &requester.LostError{Cause: io.EOF}
			}
			x.Run(t.Context(), newLookup("/shares"))
			time.Sleep(tt.after)
			epoch++
			x.ObserveTarget(false)
			if got := x.Counters.Crashes.Value(); got != tt.want {
				t.Errorf("crashes %s after the connection broke: got %d, want %d", tt.after, got, tt.want)
			}
		})
	}
}
