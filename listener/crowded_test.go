package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"bambooweir.example/bambooweir/limiter"
)

// startBounded starts a server whose bodies take at most max bytes, and returns its address.
func startBounded(t *testing.T, budget *limiter.ByteBudget, bodyBytes int) string {
	t.Helper()
	limits := testLimits
	limits.BodyBytes = bodyBytes
	s := &Server{Limits: func() Limits { return limits }, Bodies: budget, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

// open opens a connection and writes text on it.
func open(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// answer is a response that was read whole.
type answer struct {
	status     int
	retryAfter string
	closes     bool
	bytes      int64
}

// readAnswer reads one response.
func readAnswer(t *testing.T, br *bufio.Reader) answer {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{res.StatusCode, res.Header.Get("Retry-After"), res.Close, n}
}

// TestBodiesBeingReadAreBounded guards against a daemon that exceeds its memory when many
// large uploads come together: bodies are refused before they are read, small requests are
// served meanwhile, and all ways in which a body ends make room again.
func TestBodiesBeingReadAreBounded(t *testing.T) {
	const (
		bodyBytes = 16 << 20
		uploads   = 60
		fitting   = 3 // in seven eighths of the budget
	)
	heads := map[string]string{
		"sized":   fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nx", bodyBytes),
		"chunked": fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes-1)),
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			budget := &limiter.ByteBudget{Max: 64 << 20}
			addr := startBounded(t, budget, bodyBytes)
			var conns []net.Conn
			defer func() {
				for _, c := range conns {
					_ = c.Close()
				}
			}()
			for range fitting {
				c, _ := open(t, addr, head)
				conns = append(conns, c)
			}
			for budget.Taken() < fitting*(bodyBytes-chunkedStepBytes) {
				runtime.Gosched()
			}
			for range uploads - fitting {
				c, br := open(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "+fmt.Sprint(bodyBytes)+"\r\n\r\nx")
				conns = append(conns, c)
				if got, want := readAnswer(t, br), http.StatusServiceUnavailable; got.status != want || got.retryAfter == "" || !got.closes {
					t.Fatalf("upload without room: got %+v, want status %d with a time, closing", got, want)
				}
				if got := budget.Taken(); got > budget.Max {
					t.Fatalf("bytes taken: got %d, want at most %d", got, budget.Max)
				}
			}
			c, br := open(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello")
			conns = append(conns, c)
			if got := readAnswer(t, br); got.status != http.StatusOK {
				t.Fatalf("small request meanwhile: got %+v, want status 200", got)
			}
			// One upload is answered, the others are broken off.
			if _, err := io.WriteString(conns[0], map[string]string{"sized": strings.Repeat("x", bodyBytes-1), "chunked": "x\r\n0\r\n\r\n"}[name]); err != nil {
				t.Fatal(err)
			}
			if got := readAnswer(t, bufio.NewReader(conns[0])); got.status != http.StatusOK || got.bytes != bodyBytes {
				t.Errorf("answer to an upload that was read: got %+v, want status 200 with %d bytes", got, bodyBytes)
			}
			for _, c := range conns {
				_ = c.Close()
			}
			for budget.Taken() != 0 {
				runtime.Gosched()
			}
		})
	}
}
