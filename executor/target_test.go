package executor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/requester"
)

// listenRaw starts a TCP server that passes each connection to serve, and returns
// its base URL.
func listenRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

func newExecutor(base string) *Executor {
	return &Executor{Target: func() string { return base }}
}

// newKeyedCall returns a call with the idempotency key "k" and a minute left.
func newKeyedCall(method, body string) *messenger.Call {
	return &messenger.Call{
		ID: messenger.CallID{1}, Method: method, Target: "/payouts", Host: "desk", RemainingMS: 60_000,
		Body: []byte(body), BodyDigest: messenger.Digest([]byte(body)), IdempotencyKey: "k",
		Headers: []messenger.Header{{Name: "Idempotency-Key", Value: "k"}, {Name: "X-Idempotency-Key", Value: "k"}},
	}
}

// TestRequestIsNeverSentTwice guards against repeating a request after the target
// read it and closed the connection without an answer: it may have run the call.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "1"} {
			t.Run(fmt.Sprintf("%s %q", method, body), func(t *testing.T) {
				var runs atomic.Int64
				base := listenRaw(t, func(c net.Conn) {
					r := bufio.NewReader(c)
					for n := 0; ; n++ {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if req.URL.Path == "/payouts" {
							runs.Add(1)
							return
						}
						fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
					}
				})
				x := newExecutor(base)
				warm := newKeyedCall(http.MethodGet, "")
				warm.Target, warm.Idempotent = "/warm", true
				if got := x.Run(t.Context(), warm); got.Outcome != messenger.OutcomeAnswered {
					t.Fatalf("first call: got %v %s, want an answer", got.Outcome, got.Cause)
				}
				got := x.Run(t.Context(), newKeyedCall(method, body))
				if got.Outcome != messenger.OutcomeUnknown {
					t.Errorf("outcome: got %v, want unknown", got.Outcome)
				}
				if got := runs.Load(); got != 1 {
					t.Errorf("runs: got %d, want 1", got)
				}
			})
		}
	}
}

// TestIncompleteAndInvalidResponses guards against passing on a truncated or damaged
// response as an answer of the target.
func TestIncompleteAndInvalidResponses(t *testing.T) {
	const digest = "sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:" // of the empty body
	tests := []struct {
		name, answer string
		want         messenger.Outcome
		cause        string
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", messenger.OutcomeAnswered, ""},
		{"complete in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", messenger.OutcomeAnswered, ""},
		{"complete and empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Digest: " + digest + "\r\n\r\n", messenger.OutcomeAnswered, ""},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", messenger.OutcomeUnknown, CauseCutShort},
		{"truncated in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", messenger.OutcomeUnknown, CauseCutShort},
		{"no length, ended by the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", messenger.OutcomeAnswered, ""},
		{"other digest", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Digest: " + digest + "\r\n\r\nok", messenger.OutcomeUnknown, CauseDamaged},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", messenger.OutcomeUnknown, CauseTooLarge},
		{"not HTTP", "SSH-2.0\r\n\r\n", messenger.OutcomeUnknown, CauseTargetFailed},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", messenger.OutcomeUnknown, CauseTargetFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			base := listenRaw(t, func(c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				fmt.Fprint(c, tt.answer)
			})
			got := newExecutor(base).Run(t.Context(), newKeyedCall(http.MethodPost, "1"))
			if got.Outcome != tt.want || got.Cause != tt.cause {
				t.Errorf("got %v %q, want %v %q", got.Outcome, got.Cause, tt.want, tt.cause)
			}
		})
	}
}

// TestUnmarkedRefusalIsNoPromise guards against a posting that callers repeat although it ran:
// the target answers with a status that they take for "not run", but does not say so.
func TestUnmarkedRefusalIsNoPromise(t *testing.T) {
	const unmarked, marked = "", "Bambooweir-Not-Run: 1\r\n"
	tests := []struct {
		name       string
		status     int
		mark       string
		idempotent bool
		want       messenger.Outcome
		cause      string
	}{
		{"503", 503, unmarked, false, messenger.OutcomeUnknown, CauseUnmarkedRefusal},
		{"429", 429, unmarked, false, messenger.OutcomeUnknown, CauseUnmarkedRefusal},
		{"408", 408, unmarked, false, messenger.OutcomeUnknown, CauseUnmarkedRefusal},
		{"503 that is marked", 503, marked, false, messenger.OutcomeNotRun, CauseShed},
		{"503 to a call that may be repeated", 503, unmarked, true, messenger.OutcomeAnswered, ""},
		{"500", 500, unmarked, false, messenger.OutcomeAnswered, ""},
		{"404", 404, unmarked, false, messenger.OutcomeAnswered, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			base := listenRaw(t, func(c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				fmt.Fprintf(c, "HTTP/1.1 %d Some Status\r\n%sContent-Length: 0\r\n\r\n", tt.status, tt.mark)
			})
			x := newExecutor(base)
			x.PromisesNotRun = platform.PromisesNotRun
			call := newKeyedCall(http.MethodPost, "1")
			call.IdempotencyKey, call.Idempotent = "", tt.idempotent
			if got := x.Run(t.Context(), call); got.Outcome != tt.want || got.Cause != tt.cause {
				t.Errorf("got %v %q, want %v %q", got.Outcome, got.Cause, tt.want, tt.cause)
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	got := newExecutor("http://"+l.Addr().String()).Run(t.Context(), newKeyedCall(http.MethodPost, "1"))
	if got.Outcome != messenger.OutcomeNotRun || got.Cause != CauseUnreachable {
		t.Errorf("got %v %q, want not-run %q", got.Outcome, got.Cause, CauseUnreachable)
	}
}

// TestRequestArrivesAsItWasSent checks that the target gets the fields of the call
// and none that an HTTP client would add.
func TestRequestArrivesAsItWasSent(t *testing.T) {
	head := make(chan string, 1)
	base := listenRaw(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		var lines []string
		for {
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
			lines = append(lines, strings.TrimSpace(line))
		}
		head <- strings.Join(lines, "\n")
		fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	call := newKeyedCall(http.MethodPost, "1")
	call.Headers = append(call.Headers, messenger.Header{Name: "Traceparent", Value: "00-1-2-01"})
	if got := newExecutor(base).Run(t.Context(), call); got.Status != http.StatusNoContent {
		t.Fatalf("status: got %d, want 204", got.Status)
	}
	got := <-head
	for _, want := range []string{"POST /payouts HTTP/1.1", "Host: desk", "Idempotency-Key: k", "Traceparent: 00-1-2-01", "Content-Length: 1", messenger.HeaderDeadline + ": "} {
		if !strings.Contains(got, want) {
			t.Errorf("request head %q does not contain %q", got, want)
		}
	}
	for _, unwanted := range []string{"Accept-Encoding", "User-Agent", "chunked"} {
		if strings.Contains(got, unwanted) {
			t.Errorf("request head %q contains %s", got, unwanted)
		}
	}
}

// TestCallOfAnotherServiceIsNotRun guards against running a call at a target of
// another service. An entry daemon with an outdated view sends calls for the service
// of an earlier target.
func TestCallOfAnotherServiceIsNotRun(t *testing.T) {
	var runs atomic.Int64
	base := listenRaw(t, func(net.Conn) { runs.Add(1) })
	x := newExecutor(base)
	x.Service = func() string { return "ledger-view" }
	call := newKeyedCall(http.MethodPost, "1")
	call.IdempotencyKey, call.Service = "", "payout-desk"
	if got := x.Run(t.Context(), call); got.Outcome != messenger.OutcomeNotRun || got.Cause != CauseOtherService {
		t.Errorf("got %v %q, want not-run %q", got.Outcome, got.Cause, CauseOtherService)
	}
	if got := runs.Load(); got != 0 {
		t.Errorf("connections to the target: got %d, want 0", got)
	}
}

// Only what says something about the target may count as reaching it or not: a target that a
// call did not get to would otherwise not be checked for a while.
func TestReportsOfReachability(t *testing.T) {
	tests := []struct {
		name string
		res  *requester.Response
		err  error
		want string
	}{
		{"answered", &requester.Response{Status: http.StatusOK}, nil, "[true]"},
		{"answered by another run", &requester.Response{Status: http.StatusMisdirectedRequest}, nil, "[false]"},
		{"unreachable", nil, &requester.NotSentError{IsUnreachable: true}, "[false]"},
		{"caller left before it was sent", nil, &requester.NotSentError{Cause: context.Canceled}, "[]"},
		{"no free connection", nil, &requester.NotSentError{}, "[]"},
		{"no answer", nil, io.ErrUnexpectedEOF, "[]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []bool
			x := newExecutor("http://target")
			x.Reached = func(answered bool) { got = append(got, answered) }
			x.Exchange = func(context.Context, string, *requester.Request) (*requester.Response, error) { return tt.res, tt.err }
			x.sendToTarget(t.Context(), "http://target", &requester.Request{Method: http.MethodGet}, &run{call: newKeyedCall(http.MethodGet, "")})
			if fmt.Sprint(got) != tt.want {
				t.Errorf("reports: got %v, want %s", got, tt.want)
			}
		})
	}
}
