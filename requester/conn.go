package requester

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

const (
	readBufferBytes = 4 << 10
	// maxStray bounds the answers to other requests that are passed over before
	// the connection is given up.
	maxStray = 4
	// restTimeout bounds the sending of the rest of a body that the target has
	// answered early.
	restTimeout = time.Second
)

// conn is one connection to the target.
//
// Invariant: at most one request is pending, and the reader alone reads.
type conn struct {
	owner *Requester
	nc    net.Conn
	br    *bufio.Reader
	addr  string
	// reused says that the connection has carried a request before.
	reused bool

	mu      sync.Mutex
	pending *pending
	// closed is why the connection has ended, nil while it has not.
	closed error
	// usableUntil is when the idle connection is too old to use.
	usableUntil time.Time
	idleSince   time.Time
}

// pending is the request that a connection carries.
type pending struct {
	req *Request
	// done gets the answer or the error; it has room for one.
	done chan result
	// sent is closed when the whole request has been written, or can't be.
	sent chan struct{}
	// sendErr is valid once sent is closed.
	sendErr error
	// written says that bytes may have reached the target; it is guarded by conn.mu.
	written bool
}

type result struct {
	res *Response
	err error
}

func newConn(r *Requester, nc net.Conn, addr string) *conn {
	return &conn{owner: r, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), addr: addr}
}

// isFresh says whether the idle connection may carry a request.
func (c *conn) isFresh(now time.Time, isRepeatable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed == nil && now.Before(c.usableUntil) && (isRepeatable || now.Sub(c.idleSince) < freshIdle)
}

// do carries one request.
func (c *conn) do(ctx context.Context, req *Request) (*Response, error) {
	p := &pending{req: req, done: make(chan result, 1), sent: make(chan struct{})}
	c.mu.Lock()
	if c.closed != nil {
		err := c.closed
		c.mu.Unlock()
		return nil, &NotSentError{Cause: err}
	}
	c.pending = p
	p.written = true
	c.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { c.close(ctx.Err()) })
	defer stop()
	head := encodeHead(req)
	if len(req.Body) <= readBufferBytes {
		c.send(p, append(head, req.Body...), nil)
	} else {
		// The target may answer before it has read a long body.
		go c.send(p, head, req.Body)
	}
	out := <-p.done
	return out.res, out.err
}

func (c *conn) send(p *pending, head, body []byte) {
	defer close(p.sent)
	_, p.sendErr = c.nc.Write(head)
	if p.sendErr == nil && len(body) > 0 {
		_, p.sendErr = c.nc.Write(body)
	}
	// A target that refuses may have answered before it closed: the reader tells.
}

// encodeHead returns the request line and the fields.
func encodeHead(req *Request) []byte {
	b := make([]byte, 0, readBufferBytes/4+len(req.Target))
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for _, f := range req.Fields {
		if isFraming(f.Name) {
			continue
		}
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func isFraming(name string) bool {
	return name == "Content-Length" || name == "Transfer-Encoding" || name == "Host" || name == "Connection" || name == "Expect"
}

// read takes answers until the connection ends.
func (c *conn) read() {
	stray := 0
	for {
		_, err := c.br.Peek(1)
		p := c.current()
		switch {
		case p == nil && err == nil:
			c.owner.Counters.Unasked.Add(1)
			c.close(errUnasked)
			return
		case err != nil:
			c.close(err)
			return
		}
		res, keep, err := c.readResponse(p.req)
		if err != nil {
			c.owner.Counters.Cut.Add(1)
			c.close(err)
			return
		}
		if p.req.ID != "" && res.Header.Get(c.owner.IDField) != p.req.ID {
			c.owner.Counters.Stray.Add(1)
			if stray++; stray > maxStray || keep == 0 {
				c.close(errUnasked)
				return
			}
			continue
		}
		isClean := stray == 0 && c.br.Buffered() == 0
		if !isClean || keep == 0 || !c.release(p, keep) {
			c.finish(p, res)
			c.close(errIdle)
			return
		}
		p.done <- result{res: res}
	}
}

func (c *conn) current() *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// release puts the connection back for the next request, or returns false. The
// answer of the present one has been read.
func (c *conn) release(p *pending, keep time.Duration) bool {
	select {
	case <-p.sent:
	case <-time.After(restTimeout):
		return false
	}
	if p.sendErr != nil {
		return false
	}
	now := time.Now()
	c.mu.Lock()
	if c.closed != nil {
		c.mu.Unlock()
		return false
	}
	c.pending = nil
	c.idleSince, c.usableUntil = now, now.Add(keep)
	c.mu.Unlock()
	return c.owner.give(c)
}

// finish hands over the last answer of the connection.
func (c *conn) finish(p *pending, res *Response) {
	c.mu.Lock()
	if c.pending == p {
		c.pending = nil
	}
	c.mu.Unlock()
	p.done <- result{res: res}
}

// close ends the connection and fails the request that it carries.
func (c *conn) close(cause error) {
	c.mu.Lock()
	if c.closed != nil {
		c.mu.Unlock()
		return
	}
	c.closed = cause
	p := c.pending
	c.pending = nil
	c.mu.Unlock()
	_ = c.nc.Close()
	c.owner.drop(c)
	if p != nil {
		p.done <- result{err: &LostError{Cause: cause}}
	}
}

// readResponse reads one whole answer, and how long the connection may be idle
// after it, 0 when it carries no further request.
func (c *conn) readResponse(req *Request) (*Response, time.Duration, error) {
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: req.Method}) //nolint:bodyclose // interim answers have no body
		if err != nil {
			return nil, 0, err
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, 0, errSwitched
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(req, res)
		_ = res.Body.Close()
		if err != nil {
			return nil, 0, err
		}
		keep := defaultIdle
		if stated, ok := keepAlive(res.Header); ok {
			keep = max(0, stated-idleMargin)
		}
		if res.Close {
			keep = 0
		}
		return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, keep, nil
	}
}

// readBody reads the whole body of an answer.
func readBody(req *Request, res *http.Response) ([]byte, error) {
	if req.Method == http.MethodHead {
		return nil, nil
	}
	if res.ContentLength > messenger.MaxBodyBytes {
		return nil, errTooLarge
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, messenger.MaxBodyBytes+1))
	if err == nil && len(body) > messenger.MaxBodyBytes {
		err = errTooLarge
	}
	return body, err
}

var errSwitched = errors.New("the target speaks another protocol")

var errTooLarge = fmt.Errorf("answer is longer than %d bytes", messenger.MaxBodyBytes)

// IsTooLarge says whether a request failed because its answer is too long.
func IsTooLarge(err error) bool { return errors.Is(err, errTooLarge) }

// keepAlive returns how long the target keeps an idle connection, if it says so.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			seconds, err := strconv.Atoi(text)
			return time.Duration(seconds) * time.Second, err == nil && seconds >= 0
		}
	}
	return 0, false
}
