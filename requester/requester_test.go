package requester

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// idField is the header field in which the test targets repeat the request's ID.
const idField = "X-Id"

// startTarget starts a target and returns its address. It calls handle with each
// request and the number of its connection, counted from 1. handle writes the
// response itself and returns false to close the connection.
func startTarget(t *testing.T, handle func(c net.Conn, n int, r *http.Request) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil || !handle(c, n, r) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// responseText returns a response in HTTP/1.1 that repeats the request ID.
func responseText(id, body string, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", idField, id, len(body), strings.Join(fields, ""), body)
}

// newRequest returns a request with the ID.
func newRequest(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: id, Fields: []messenger.Header{{Name: idField, Value: id}}}
}

// mustDo sends a request with the ID and fails the test on an error.
func mustDo(t *testing.T, r *Requester, addr, id string) *Response {
	t.Helper()
	res, err := r.Do(t.Context(), addr, newRequest(id))
	if err != nil {
		t.Fatalf("request %s: got error %v, want none", id, err)
	}
	return res
}

func TestConnectionReuse(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, n int, r *http.Request) bool {
		fmt.Fprint(c, responseText(r.Header.Get(idField), fmt.Sprint(n)))
		return true
	})
	r := &Requester{IDField: idField}
	for i := range 3 {
		if got := string(mustDo(t, r, addr, fmt.Sprint(i)).Body); got != "1" {
			t.Errorf("request %d: got connection %s, want 1", i, got)
		}
	}
}

// A target may send a second, late response to an earlier request where the response
// to the next one is expected. It must not be delivered, and the connection must not
// be used again.
func TestStrayResponseIsDiscarded(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		id := r.Header.Get(idField)
		if id == "2" {
			fmt.Fprint(c, responseText("1", "late"))
		}
		fmt.Fprint(c, responseText(id, "of "+id))
		return true
	})
	r := &Requester{IDField: idField}
	for _, id := range []string{"1", "2", "3"} {
		if got, want := string(mustDo(t, r, addr, id).Body), "of "+id; got != want {
			t.Errorf("response to %s: got %q, want %q", id, got, want)
		}
	}
	if got := r.Counters.Stray.Value(); got != 1 {
		t.Errorf("stray responses: got %d, want 1", got)
	}
	if got := r.Counters.Opened.Value(); got != 2 {
		t.Errorf("connections: got %d, want 2, since the one with the stray response must not be reused", got)
	}
}

// A target that repeats IDs without having to must be held to it once it has: a late copy
// of an earlier response, with that response's ID or without any, must not be delivered
// to the next caller. A target that never repeats an ID must be served as before.
func TestOptionalIDIsRequiredOnceRepeated(t *testing.T) {
	for _, tt := range []struct {
		name   string
		echoes bool
		late   string
	}{
		{"late copy with its ID", true, responseText("1", "of 1")},
		{"late copy without an ID", true, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nof 1"},
		{"target without IDs", false, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
				id := r.Header.Get(idField)
				if id == "2" {
					fmt.Fprint(c, tt.late)
				}
				if tt.echoes {
					fmt.Fprint(c, responseText(id, "of "+id))
				} else {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nof %s", id)
				}
				return true
			})
			r := &Requester{IDField: idField}
			for _, id := range []string{"1", "2"} {
				req := newRequest(id)
				req.IsIDOptional = true
				res, err := r.Do(t.Context(), addr, req)
				if err != nil {
					t.Fatalf("request %s: got error %v, want none", id, err)
				}
				if got, want := string(res.Body), "of "+id; got != want {
					t.Errorf("response to %s: got %q, want %q", id, got, want)
				}
			}
		})
	}
}

// A response that is malformed, truncated or belongs to another request must be
// reported as a *LostError, since the request may have run.
func TestInvalidResponsesLoseTheRequest(t *testing.T) {
	for name, text := range map[string]string{
		"no id":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"other id":     responseText("9", "ok", "Connection: close\r\n"),
		"no HTTP":      "garbage\r\n\r\n",
		"cut":          "HTTP/1.1 200 OK\r\n" + idField + ": 1\r\nContent-Length: 9\r\n\r\nok",
		"cut in chunk": "HTTP/1.1 200 OK\r\n" + idField + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startTarget(t, func(c net.Conn, _ int, _ *http.Request) bool {
				fmt.Fprint(c, text)
				return false
			})
			r := &Requester{IDField: idField}
			_, err := r.Do(t.Context(), addr, newRequest("1"))
			var lost *LostError
			if !errors.As(err, &lost) {
				t.Errorf("got %v, want a LostError", err)
			}
		})
	}
}

// A response without a length ends with the connection. It is complete if the target
// closes the connection, and truncated if the connection is reset.
func TestResponseWithoutLength(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + idField + ": 1\r\n\r\nwhole"
	t.Run("ended", func(t *testing.T) {
		addr := startTarget(t, func(c net.Conn, _ int, _ *http.Request) bool {
			fmt.Fprint(c, text)
			return false
		})
		if got := string(mustDo(t, &Requester{IDField: idField}, addr, "1").Body); got != "whole" {
			t.Errorf("got %q, want whole", got)
		}
	})
	t.Run("reset", func(t *testing.T) {
		addr := startTarget(t, func(c net.Conn, _ int, _ *http.Request) bool {
			fmt.Fprint(c, text)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		})
		_, err := (&Requester{IDField: idField}).Do(t.Context(), addr, newRequest("1"))
		var lost *LostError
		if !errors.As(err, &lost) {
			t.Errorf("got %v, want a LostError", err)
		}
	})
}

// A target may respond before it has read a long body, and then read on. It must
// receive the rest of that body and nothing else.
func TestEarlyResponseToLongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const size = 8 << 20
	rest := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprint(c, responseText("1", "early"))
		n, _ := io.Copy(io.Discard, r.Body)
		rest <- n
	}()
	r := &Requester{IDField: idField}
	req := newRequest("1")
	req.Body = make([]byte, size)
	res, err := r.Do(t.Context(), l.Addr().String(), req)
	if err != nil || string(res.Body) != "early" {
		t.Fatalf("got error %v, want the early response", err)
	}
	if got := <-rest; got != size {
		t.Errorf("body at the target: got %d bytes, want %d", got, size)
	}
}

// When the context of a request ends, the target must see the connection close.
func TestEndedContextClosesConnection(t *testing.T) {
	ended := make(chan struct{})
	addr := startTarget(t, func(c net.Conn, _ int, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := (&Requester{IDField: idField}).Do(ctx, addr, newRequest("1"))
	var lost *LostError
	if !errors.As(err, &lost) {
		t.Errorf("got %v, want a LostError", err)
	}
	<-ended
}

// Bytes that arrive on an idle connection must close it, so that they are not used
// as the response to the next request.
func TestUnsolicitedBytesCloseIdleConnection(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, n int, r *http.Request) bool {
		fmt.Fprint(c, responseText(r.Header.Get(idField), fmt.Sprint(n)))
		if n == 1 {
			fmt.Fprint(c, "extra")
		}
		return true
	})
	r := &Requester{IDField: idField}
	mustDo(t, r, addr, "1")
	for r.openConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
	if got := string(mustDo(t, r, addr, "2").Body); got != "2" {
		t.Errorf("second request: got connection %s, want 2", got)
	}
}

// openConnections returns the number of open connections.
func (r *Requester) openConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

// A request beyond the bound on connections must fail without being sent, and must
// not make the target count as unreachable.
func TestMaxConnections(t *testing.T) {
	block := make(chan struct{})
	arrived := make(chan struct{}, 2)
	addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		arrived <- struct{}{}
		<-block
		fmt.Fprint(c, responseText(r.Header.Get(idField), ""))
		return true
	})
	r := &Requester{IDField: idField, MaxConnections: func() int { return 2 }}
	done := make(chan error, 2)
	for i := range 2 {
		go func() {
			_, err := r.Do(t.Context(), addr, newRequest(fmt.Sprint(i)))
			done <- err
		}()
		<-arrived
	}
	_, err := r.Do(t.Context(), addr, newRequest("3"))
	var unsent *NotSentError
	if !errors.As(err, &unsent) || unsent.IsUnreachable {
		t.Errorf("third request: got %v, want a NotSentError with IsUnreachable false", err)
	}
	close(block)
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, timeout=12": 12 * time.Second} {
		if got, ok := keepAliveTimeout(http.Header{"Keep-Alive": {text}}); !ok || got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
	for _, text := range []string{"", "timeout=x", "timeout=-1"} {
		if _, ok := keepAliveTimeout(http.Header{"Keep-Alive": {text}}); ok {
			t.Errorf("%q: got a time, want none", text)
		}
	}
}

// TestCancelledRequestLeavesTheNextOneAlone guards against a request that is lost because the
// context of the one before it on the connection ends just after that one was answered.
func TestCancelledRequestLeavesTheNextOneAlone(t *testing.T) {
	release := make(chan struct{})
	addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		id := r.Header.Get(idField)
		if id == "second" {
			<-release
		}
		fmt.Fprint(c, responseText(id, id))
		return true
	})
	r := &Requester{IDField: idField}
	mustDo(t, r, addr, "first")
	// The connection is idle, and the first request has not stopped to wait for its context.
	c := r.idle[0]
	first := &pending{req: newRequest("first")}
	answered := make(chan error, 1)
	go func() {
		_, err := r.Do(t.Context(), addr, newRequest("second"))
		answered <- err
	}()
	for c.pendingRequest() == nil {
		runtime.Gosched()
	}
	c.closePending(first, context.Canceled)
	close(release)
	if err := <-answered; err != nil {
		t.Errorf("second request: got error %v, want an answer", err)
	}
}
