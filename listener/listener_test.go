package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var testLimits = Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}

// start starts a server with the handler and returns a connection to it.
func start(t *testing.T, h http.HandlerFunc) (*Server, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: h, Limits: func() Limits { return testLimits }}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
		if err := <-served; err != nil {
			t.Errorf("serving: %v", err)
		}
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

// send writes text to the connection.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads one response, and reports whether the connection closes after it.
func receive(t *testing.T, br *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("reading a response: %v", err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("reading a body: %v", err)
	}
	return res.StatusCode, string(b), res.Close
}

// get returns a GET request of the path.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Pipelined requests must run concurrently, and their responses must come in the
// order of the requests. The handler of the first request waits for the second.
func TestPipelinedRequestsRunConcurrentlyInOrder(t *testing.T) {
	second := make(chan struct{})
	_, c := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	send(t, c, get("/1")+get("/2"))
	br := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2"} {
		if status, got, _ := receive(t, br); status != 200 || got != want {
			t.Errorf("response: got %d %q, want 200 %q", status, got, want)
		}
	}
}

// The context of a running request must end when its caller closes the connection.
func TestClosedConnectionCancelsRunningRequest(t *testing.T) {
	running, left := make(chan struct{}), make(chan struct{})
	_, c := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(left)
	})
	send(t, c, get("/"))
	<-running
	_ = c.Close()
	<-left
}

// A body must be read whole in either framing, and no further than its end.
func TestBodyFraming(t *testing.T) {
	_, c := start(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%d %s", r.ContentLength, b)
	})
	br := bufio.NewReader(c)
	send(t, c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	if _, got, _ := receive(t, br); got != "3 abc" {
		t.Errorf("Content-Length: got %q, want %q", got, "3 abc")
	}
	send(t, c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n"+get("/"))
	if _, got, _ := receive(t, br); got != "3 abc" {
		t.Errorf("chunked: got %q, want %q", got, "3 abc")
	}
	if _, got, _ := receive(t, br); got != "0 " {
		t.Errorf("request after the chunked body: got %q, want %q", got, "0 ")
	}
}

// Malformed, ambiguous and oversized requests must be refused without running the
// handler, and the connection must close.
func TestRefusedRequests(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"no HTTP", "hello\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"whole address", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		{"large head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n", 431},
		{"large body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", 413},
		{"large body in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + strings.Repeat("x", 1024) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, c := start(t, func(http.ResponseWriter, *http.Request) { t.Error("handler ran, want a refusal") })
			send(t, c, tt.text)
			br := bufio.NewReader(c)
			if got, _, closes := receive(t, br); got != tt.want || !closes {
				t.Errorf("got status %d, close %v, want status %d and close", got, closes, tt.want)
			}
			if _, err := br.ReadByte(); err != io.EOF {
				t.Errorf("after the response: got %v, want io.EOF", err)
			}
		})
	}
}

// A drain must not close a connection while further pipelined requests are
// unanswered.
func TestDrainClosesAfterLastPipelinedResponse(t *testing.T) {
	release := make(chan struct{})
	s, c := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, r.URL.Path)
	})
	send(t, c, get("/1")+get("/2"))
	for s.Counters.Requests.Value() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	close(release)
	br := bufio.NewReader(c)
	if _, got, closes := receive(t, br); got != "/1" || closes {
		t.Errorf("first response: got %q, close %v, want /1 without close", got, closes)
	}
	if _, got, closes := receive(t, br); got != "/2" || !closes {
		t.Errorf("last response: got %q, close %v, want /2 with close", got, closes)
	}
}

// The arrival time must be that of the first byte, not of the whole head.
func TestArrivalIsFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := startPaused(t, func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, time.Since(Arrival(r.Context())))
		})
		send(t, c, "GET / HTTP/1.1\r\n")
		time.Sleep(50 * time.Millisecond)
		send(t, c, "Host: a\r\n\r\n")
		if _, got, _ := receive(t, bufio.NewReader(c)); got != "50ms" {
			t.Errorf("time from arrival to the handler: got %s, want 50ms", got)
		}
	})
	if got := time.Since(Arrival(context.Background())); got > time.Minute {
		t.Errorf("arrival without a connection: got %v ago, want now", got)
	}
}

// No input must make readHead exceed its limit or crash.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte(get("/")))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		h, err := readHead(bufio.NewReaderSize(strings.NewReader(string(in)), 64), 512)
		if err == nil && len(h.bytes) > 512 {
			t.Errorf("head: got %d bytes, want at most 512", len(h.bytes))
		}
	})
}

// pipeListener is a net.Listener whose connections are unbuffered pipes.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	nc, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// startPaused is like start, for use in a synctest bubble: it uses a pipe instead of
// the network.
func startPaused(t *testing.T, h http.HandlerFunc) (*Server, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	s := &Server{Handler: h, Limits: func() Limits { return testLimits }}
	l := make(pipeListener, 1)
	l <- far
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = near.Close()
		close(l)
		if err := <-served; err != nil {
			t.Errorf("serving: %v", err)
		}
	})
	return s, near
}

// A request must count as unanswered until its response has been written: if a stop
// counted only running handlers, it could close the connection too early.
func TestUnansweredCountsResponsesBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returned := make(chan struct{})
		s, c := startPaused(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
			close(returned)
		})
		send(t, c, get("/"))
		<-returned
		synctest.Wait()
		if got, want := s.Unanswered(), 1; got != want {
			t.Errorf("unanswered before the caller has read: got %d, want %d", got, want)
		}
		receive(t, bufio.NewReader(c))
		synctest.Wait()
		if got, want := s.Unanswered(), 0; got != want {
			t.Errorf("unanswered after the caller has read: got %d, want %d", got, want)
		}
	})
}

// A panic of the handler must not end the process: the caller gets status 500, which
// promises nothing, on a connection that closes.
func TestPanicOfTheHandlerEndsOneConnection(t *testing.T) {
	_, c := start(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "part of an answer")
		panic("test")
	})
	send(t, c, get("/x"))
	status, body, closes := receive(t, bufio.NewReader(c))
	if status != http.StatusInternalServerError || body != "" || !closes {
		t.Errorf("got status %d, body %q, closes %v, want 500, none, true", status, body, closes)
	}
}

// A request that has arrived when a planned stop closes the idle connections, but that the
// server has not read yet, must be answered. Closing its connection would reset it.
func TestCloseIdleSparesArrivedRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	// The limits are read before the first request, for it, and before the second one.
	const beforeSecond = 3
	var reads atomic.Int64
	reached, release := make(chan struct{}), make(chan struct{})
	s := &Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") }),
		Limits: func() Limits {
			if reads.Add(1) == beforeSecond {
				close(reached)
				<-release
			}
			return testLimits
		},
	}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	send(t, c, get("/first"))
	if status, _, _ := receive(t, br); status != http.StatusOK {
		t.Fatalf("first request: got status %d, want 200", status)
	}
	<-reached
	send(t, c, get("/second"))
	for !s.hasUnread() {
		runtime.Gosched()
	}
	s.Drain()
	s.CloseIdle()
	close(release)
	if status, body, closes := receive(t, br); status != http.StatusOK || body != "served" || !closes {
		t.Errorf("second request: got status %d, body %q, closes %v, want 200, served, true", status, body, closes)
	}
}

// hasUnread reports whether bytes have arrived on a connection that were not read yet.
func (s *Server) hasUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if hasUnreadBytes(c.nc) {
			return true
		}
	}
	return false
}

// TestBodilessResponseStatesNoLength guards against a caller that waits for the body of a 204,
// since a target stated a length in it.
func TestBodilessResponseStatesNoLength(t *testing.T) {
	_, c := start(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5")
		w.WriteHeader(http.StatusNoContent)
	})
	send(t, c, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	got, err := io.ReadAll(c)
	if err != nil || strings.Contains(string(got), "Content-Length") {
		t.Errorf("got %q, error %v, want no Content-Length", got, err)
	}
}
