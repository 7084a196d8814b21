package requester

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"bambooweir.example/bambooweir/gatherer"
)

// endless lists responses whose last part a faulty target repeats until its connection
// is closed.
var endless = map[string][2]string{
	"status line":       {"HTTP/1.1 200 ", "a"},
	"no response":       {"", "garbage without a line end "},
	"field value":       {"HTTP/1.1 200 OK\r\n" + idField + ": 1\r\nX-Long: ", "a"},
	"fields":            {"HTTP/1.1 200 OK\r\n", idField + ": 1\r\n"},
	"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"body to the end":   {"HTTP/1.1 200 OK\r\n" + idField + ": 1\r\n\r\n", "a"},
	"chunks":            {"HTTP/1.1 200 OK\r\n" + idField + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\n" + idField + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a"},
	"trailer":           {"HTTP/1.1 200 OK\r\n" + idField + ": 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\n", "X-T: a\r\n"},
	"other responses":   {"", "HTTP/1.1 200 OK\r\n" + idField + ": 9\r\nContent-Length: 4\r\n\r\naaaa"},
}

// maxEndlessBytes is more than any bound on a response, and less than the memory of a
// small instance.
const maxEndlessBytes = 100 << 20

// writeEndlessly writes the head and then repeats the rest until the peer closes, or
// until maxEndlessBytes are written, and returns how many bytes that were.
func writeEndlessly(c net.Conn, head, rest string) int {
	rest = strings.Repeat(rest, 1+(64<<10)/len(rest))
	n, err := fmt.Fprint(c, head)
	for err == nil && n < maxEndlessBytes {
		var m int
		m, err = fmt.Fprint(c, rest)
		n += m
	}
	return n
}

// Bytes that are no response may come without end. The request must be lost soon, long
// before the bytes fill the memory, its connection must be closed, and the next request
// must be served over another one.
func TestEndlessBytesAreBounded(t *testing.T) {
	for name, text := range endless {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			addr := startTarget(t, func(c net.Conn, n int, r *http.Request) bool {
				if n > 1 {
					fmt.Fprint(c, responseText(r.Header.Get(idField), "next"))
					return true
				}
				written <- writeEndlessly(c, text[0], text[1])
				return false
			})
			r := &Requester{IDField: idField}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := r.Do(ctx, addr, newRequest("1"))
			var lost *LostError
			if !errors.As(err, &lost) || ctx.Err() != nil {
				t.Errorf("got error %v, context %v, want a LostError before the deadline", err, ctx.Err())
			}
			if got := <-written; got >= maxEndlessBytes {
				t.Errorf("read from the target: got %d bytes, want the connection closed before", got)
			}
			if got := string(mustDo(t, r, addr, "2").Body); got != "next" {
				t.Errorf("next response: got %q, want next", got)
			}
			if got := r.buffered.Load(); got != 0 {
				t.Errorf("buffered bytes after the response: got %d, want 0", got)
			}
		})
	}
}

// Many endless bodies at a time must together stay within MaxBufferedBytes, and a body
// that fits must still be read when they have ended.
func TestConcurrentEndlessBodiesShareABound(t *testing.T) {
	const bound, requests = 4 << 20, 12
	text := endless["body to the end"]
	addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		if r.Header.Get(idField) == "fits" {
			fmt.Fprint(c, responseText("fits", strings.Repeat("a", 200_000)))
			return true
		}
		writeEndlessly(c, strings.ReplaceAll(text[0], ": 1", ": "+r.Header.Get(idField)), text[1])
		return false
	})
	r := &Requester{IDField: idField, MaxBufferedBytes: bound}
	errs := make(chan error, requests)
	for i := range requests {
		go func() {
			_, err := r.Do(t.Context(), addr, newRequest(fmt.Sprint(i)))
			errs <- err
		}()
	}
	for range requests {
		if err := <-errs; !IsTooLarge(err) {
			t.Errorf("got error %v, want a TooLargeError", err)
		}
	}
	if got := len(mustDo(t, r, addr, "fits").Body); got != 200_000 {
		t.Errorf("body: got %d bytes, want 200000", got)
	}
}

// A length that is stated and never sent must take no memory.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	release := make(chan struct{})
	addr := startTarget(t, func(c net.Conn, _ int, _ *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+idField+": 1\r\nContent-Length: 16000000\r\n\r\na")
		<-release
		return false
	})
	r := &Requester{IDField: idField}
	const requests = 20
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	for range requests {
		go func() {
			_, _ = r.Do(ctx, addr, newRequest("1"))
			done <- struct{}{}
		}()
	}
	for r.buffered.Load() < requests*gatherer.ChunkBytes {
		runtime.Gosched()
	}
	if got := r.buffered.Load(); got != requests*gatherer.ChunkBytes {
		t.Errorf("buffered: got %d bytes, want %d", got, requests*gatherer.ChunkBytes)
	}
	cancel()
	close(release)
	for range requests {
		<-done
	}
}

// FuzzResponse feeds arbitrary bytes as a response. Whatever they are, the request must
// end, and a response that is accepted must carry the request's ID and a final status.
func FuzzResponse(f *testing.F) {
	for _, text := range endless {
		f.Add([]byte(text[0] + strings.Repeat(text[1], 3)))
	}
	f.Add([]byte(responseText("1", "ok")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + responseText("1", "ok")))
	for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 042 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/2.0 200 OK", "HTTP/1.0 200 OK"} {
		f.Add([]byte(line + "\r\n" + idField + ": 1\r\nContent-Length: 2\r\n\r\nok"))
	}
	for _, fields := range []string{"", "Content-Length: 9\r\n", "Content-Length: 2\r\nContent-Length: 3\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "Transfer-Encoding: gzip\r\n"} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + idField + ": 1\r\n" + fields + "\r\nok"))
		f.Add([]byte("HTTP/1.1 204 No Content\r\n" + idField + ": 1\r\n" + fields + "\r\nok"))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		near, far := net.Pipe()
		r := &Requester{IDField: idField, MaxHeadBytes: 2048, MaxBufferedBytes: 1 << 20}
		r.Dial = func(context.Context, string) (net.Conn, error) { return near, nil }
		go func() {
			defer far.Close()
			buf := make([]byte, 1024)
			_, _ = far.Read(buf)
			_, _ = far.Write(b)
		}()
		res, err := r.Do(t.Context(), "target", newRequest("1"))
		if err == nil && res.Header.Get(idField) != "1" {
			t.Errorf("accepted a response with ID %q, want 1", res.Header.Get(idField))
		}
		if err == nil && (res.Status < 200 || res.Status > 599) {
			t.Errorf("accepted a response with status %d, want a final one", res.Status)
		}
	})
}

// BenchmarkEndlessHead shows the memory that a response without end takes.
func BenchmarkEndlessHead(b *testing.B) {
	text := endless["status line"]
	b.ReportAllocs()
	for b.Loop() {
		near, far := net.Pipe()
		r := &Requester{IDField: idField, Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
		go func() {
			_, _ = far.Read(make([]byte, 1024))
			writeEndlessly(far, text[0], text[1])
			_ = far.Close()
		}()
		if _, err := r.Do(b.Context(), "target", newRequest("1")); !IsTooLarge(err) {
			b.Fatalf("got error %v, want a TooLargeError", err)
		}
	}
}

// TestBodyCountsUntilItIsReleased guards against answers that wait uncounted.
func TestBodyCountsUntilItIsReleased(t *testing.T) {
	const bound = 2 << 20
	addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		id := r.Header.Get(idField)
		if strings.HasPrefix(id, "long") {
			fmt.Fprint(c, responseText(id, strings.Repeat("a", bound*3/4)))
			return true
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n", idField, id)
		return true
	})
	r := &Requester{IDField: idField, MaxBufferedBytes: bound}
	first := mustDo(t, r, addr, "long 1")
	if _, err := r.Do(t.Context(), addr, newRequest("long 2")); !IsTooLarge(err) {
		t.Errorf("second long body: got error %v, want a TooLargeError", err)
	}
	if got := string(mustDo(t, r, addr, "short").Body); got != "short" {
		t.Errorf("short body beside a long one: got %q, want it whole", got)
	}
	first.Release()
	mustDo(t, r, addr, "long 3").Release()
}
