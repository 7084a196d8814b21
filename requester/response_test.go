package requester

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// resetConn is a connection that the target resets after its bytes. As in the kernel, the
// write of the request gets the error, and reads then see an end of the connection.
type resetConn struct {
	net.Conn
	text io.Reader
	// begun is closed when the head of the request is written.
	begun chan struct{}
	// written is closed when the write of the body ends, with writeErr.
	written  chan struct{}
	writeErr error
	// isStuck says that the write of the body ends only when the connection is closed.
	isStuck bool
	closed  chan struct{}
}

func (c *resetConn) Read(b []byte) (int, error) {
	<-c.begun
	n, err := c.text.Read(b)
	if err == io.EOF && !c.isStuck {
		<-c.written
	}
	return n, err
}

func (c *resetConn) Write(b []byte) (int, error) {
	if len(b) <= readBufferBytes {
		close(c.begun)
		return len(b), nil
	}
	if c.isStuck {
		<-c.closed
		return 0, net.ErrClosed
	}
	defer close(c.written)
	return len(b), c.writeErr
}

func (c *resetConn) Close() error {
	close(c.closed)
	return nil
}

// TestEndBeforeTheWholeRequestIsNoProof guards against a part of an answer that is passed on
// as whole: a target answers a long upload at once, without a length, and resets the
// connection while the upload is being written.
func TestEndBeforeTheWholeRequestIsNoProof(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idField + ": 1\r\n"
	tests := []struct {
		name, text string
		writeErr   error
		isStuck    bool
		want       bool
	}{
		{"reset", head + "\r\npart", syscall.ECONNRESET, false, false},
		{"reset before the body", head + "\r\n", syscall.EPIPE, false, false},
		{"request is not read", head + "\r\npart", nil, true, false},
		{"request was sent", head + "\r\nwhole", nil, false, true},
		{"reset, with a length", head + "Content-Length: 5\r\n\r\nwhole", syscall.ECONNRESET, false, true},
		{"reset, with a last chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", syscall.ECONNRESET, false, true},
		{"request is not read, with a length", head + "Content-Length: 5\r\n\r\nwhole", nil, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &resetConn{
					text: strings.NewReader(tt.text), writeErr: tt.writeErr, isStuck: tt.isStuck,
					begun: make(chan struct{}), written: make(chan struct{}), closed: make(chan struct{}),
				}
				r := &Requester{IDField: idField, Dial: func(context.Context, string) (net.Conn, error) { return c, nil }}
				req := newRequest("1")
				req.Body = make([]byte, 1<<20)
				res, err := r.Do(t.Context(), "target", req)
				var lost *LostError
				switch {
				case tt.want && (err != nil || string(res.Body) != "whole"):
					t.Errorf("got %+v, error %v, want the whole answer", res, err)
				case !tt.want && !errors.As(err, &lost):
					t.Errorf("got %+v, error %v, want a LostError", res, err)
				case !tt.want && !errors.Is(err, io.ErrUnexpectedEOF):
					t.Errorf("got error %v, want io.ErrUnexpectedEOF", err)
				}
				<-c.closed
			})
		})
	}
}

// startPipeTarget makes r dial connections in memory and passes each, with its number from
// 1, to serve. It is for tests on the fake clock.
func startPipeTarget(r *Requester, serve func(c net.Conn, br *bufio.Reader, n int)) {
	n := 0
	r.Dial = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		n++
		number := n
		go func() {
			defer far.Close()
			serve(far, bufio.NewReader(far), number)
		}()
		return near, nil
	}
}

// TestInvalidHeadLosesTheRequestAtOnce guards against an answer without a valid status or
// in another protocol that is passed on, or that is waited on until the deadline since it is
// taken for an interim one.
func TestInvalidHeadLosesTheRequestAtOnce(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Zero", "HTTP/1.1 042 Low", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
		"HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Requester{IDField: idField}
				startPipeTarget(r, func(c net.Conn, br *bufio.Reader, _ int) {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					fmt.Fprintf(c, "%s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", line, idField)
					_, _ = br.ReadByte()
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				res, err := r.Do(ctx, "target", newRequest("1"))
				var lost *LostError
				if !errors.As(err, &lost) || ctx.Err() != nil {
					t.Errorf("got %+v, error %v, context %v, want a LostError before the deadline", res, err, ctx.Err())
				}
				r.Reset()
				synctest.Wait()
			})
		})
	}
}

// TestBodyOfBodilessResponseAnswersNoRequest guards against a body that a target sends, late,
// after a response that has none, and that is read as the response to the next request.
func TestBodyOfBodilessResponseAnswersNoRequest(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	for _, tt := range []struct{ name, method, status, framing string }{
		{"204", http.MethodPost, "204 No Content", "Content-Length: 43"},
		{"204 chunked", http.MethodPost, "204 No Content", "Transfer-Encoding: chunked"},
		{"304", http.MethodGet, "304 Not Modified", "Content-Length: 43"},
		{"HEAD", http.MethodHead, "200 OK", "Content-Length: 43"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Requester{IDField: idField}
				startPipeTarget(r, func(c net.Conn, br *bufio.Reader, n int) {
					for {
						req, err := http.ReadRequest(br)
						switch {
						case err != nil:
							return
						case req.Header.Get(idField) == "1":
							fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s\r\n\r\n", tt.status, tt.framing)
						case n == 1:
							_, _ = io.WriteString(c, stray)
						default:
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
						}
					}
				})
				for _, id := range []string{"1", "2"} {
					req := newRequest(id)
					req.IsIDOptional = true
					if id == "1" {
						req.Method = tt.method
					}
					res, err := r.Do(t.Context(), "target", req)
					if err != nil || id == "2" && string(res.Body) != "next" {
						t.Errorf("request %s: got %+v, error %v, want its own answer", id, res, err)
					}
				}
				r.Reset()
				synctest.Wait()
			})
		})
	}
}

// TestEarlyResponseIsDelivered guards against an answer with a length that is held back
// until the rest of a long upload is sent or given up. Here the target reads on only when the
// answer has been delivered, or never. It must get the rest of the body and then the next
// request, or see the connection close.
func TestEarlyResponseIsDelivered(t *testing.T) {
	const size = 1 << 20
	for _, readsOn := range []bool{true, false} {
		t.Run(fmt.Sprintf("reads on %t", readsOn), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				delivered, got := make(chan struct{}), make(chan int64, 1)
				r := &Requester{IDField: idField}
				startPipeTarget(r, func(c net.Conn, br *bufio.Reader, _ int) {
					for {
						req, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						fmt.Fprint(c, responseText(req.Header.Get(idField), "early"))
						if req.ContentLength == 0 {
							continue
						}
						<-delivered
						if !readsOn {
							time.Sleep(2 * bodySendTimeout)
						}
						n, _ := io.Copy(io.Discard, req.Body)
						got <- n
					}
				})
				req := newRequest("1")
				req.Body = make([]byte, size)
				res, err := r.Do(t.Context(), "target", req)
				close(delivered)
				if err != nil || string(res.Body) != "early" {
					t.Fatalf("got %+v, error %v, want the early answer", res, err)
				}
				if n := <-got; (n == size) != readsOn {
					t.Errorf("body at the target: got %d of %d bytes, want all: %t", n, size, readsOn)
				}
				synctest.Wait()
				mustDo(t, r, "target", "2")
				want := int64(1)
				if !readsOn {
					want = 2
				}
				if opened := r.Counters.Opened.Value(); opened != want {
					t.Errorf("connections: got %d, want %d", opened, want)
				}
				r.Reset()
				synctest.Wait()
			})
		})
	}
}
