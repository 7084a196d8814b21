package requester

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/recoverer"
)

const (
	readBufferBytes = 4 << 10
	// maxStrayResponses is the number of responses to other requests that are
	// discarded on one connection; the next one closes the connection.
	maxStrayResponses = 4
	// maxRefusedIDs is the number of refused requests after which a connection is closed, since
	// it keeps their IDs.
	maxRefusedIDs = 64
	// bodySendTimeout bounds the time to send the rest of a request's body after the
	// target has responded early.
	bodySendTimeout = time.Second
)

// conn is one connection to the target.
//
// At most one request is pending at a time, and only the goroutine that runs
// readResponses reads from the connection.
type conn struct {
	requester *Requester
	nc        net.Conn
	// head bounds the bytes that br may read while it reads the head of a response.
	head headLimiter
	br   *bufio.Reader
	addr string
	// reused says that the connection has carried a request before this one.
	reused bool

	mu      sync.Mutex
	pending *pending
	// carried is the number of requests sent on the connection before the pending one.
	carried int
	// closed is the cause for which the connection was closed, nil while it is open.
	closed error
	// usableUntil is when an idle connection becomes too old for another request.
	usableUntil time.Time
	idleSince   time.Time
	// refusedIDs holds the IDs of the requests that got an error response. A faulty target may
	// write such a response again, and the ID would not tell it from that to a later attempt.
	refusedIDs []string
}

// pending is the request that a connection is carrying.
type pending struct {
	req *Request
	// done receives the response or the error; its buffer holds one result.
	done chan result
	// sent is closed when the whole request has been written or writing it has
	// failed.
	sent chan struct{}
	// sendErr is the error of writing the request. It is valid once sent is closed.
	sendErr error
	// written says that bytes may have reached the target, isOver that the request has failed
	// before its response was read. conn.mu guards both.
	written, isOver bool
}

// errNotSentWhole reports a response whose target did not read the whole request in time.
var errNotSentWhole = errors.New("the rest of the request could not be sent")

// awaitSent waits until the request has been written whole, for bodySendTimeout at most. It
// returns an error if that failed.
func (p *pending) awaitSent() error {
	select {
	case <-p.sent:
		return p.sendErr
	case <-time.After(bodySendTimeout):
		return errNotSentWhole
	}
}

// isSendingLongBody reports whether a long body is still being written. Shorter ones are
// written at once.
func (p *pending) isSendingLongBody() bool {
	select {
	case <-p.sent:
		return false
	default:
		return len(p.req.Body) > readBufferBytes
	}
}

// result is the outcome of one request.
type result struct {
	res *Response
	err error
}

func newConn(r *Requester, nc net.Conn, addr string) *conn {
	c := &conn{requester: r, nc: nc, addr: addr}
	c.br = bufio.NewReaderSize(&c.head, readBufferBytes)
	c.head.r = nc
	return c
}

// hasRefused reports whether the connection has carried an error response to a request with
// the ID.
func (c *conn) hasRefused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id != "" && slices.Contains(c.refusedIDs, id)
}

// recordRefusal records the ID of a request that got an error response, and reports whether
// the connection may carry further requests.
func (c *conn) recordRefusal(req *Request, res *Response) bool {
	if req.ID == "" || res.Status < http.StatusBadRequest {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedIDs = append(c.refusedIDs, req.ID)
	return len(c.refusedIDs) < maxRefusedIDs
}

// isReusable reports whether the idle connection may carry another request.
func (c *conn) isReusable(now time.Time, isRepeatable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed == nil && now.Before(c.usableUntil) && (isRepeatable || now.Sub(c.idleSince) < maxIdleNonRepeatable)
}

// do sends one request and waits for its response. When ctx ends, it closes the
// connection.
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
	stop := context.AfterFunc(ctx, func() { c.closePending(p, ctx.Err()) })
	defer stop()
	head := encodeHead(req)
	if len(req.Body) <= readBufferBytes {
		c.send(p, append(head, req.Body...), nil)
	} else {
		// The target may respond before it has read a long body.
		go c.send(p, head, req.Body)
	}
	out := <-p.done
	return out.res, out.err
}

// send writes the head and the rest of the body of the request p, and records the
// error in p.
func (c *conn) send(p *pending, head, body []byte) {
	defer close(p.sent)
	_, p.sendErr = c.nc.Write(head)
	if p.sendErr == nil && len(body) > 0 {
		_, p.sendErr = c.nc.Write(body)
	}
	// A failed write does not close the connection: a target that refuses the
	// request may have responded before it closed. readResponses finds out.
}

// encodeHead returns the request line and the header fields. It derives the fields
// that frame the body from the body itself.
func encodeHead(req *Request) []byte {
	b := make([]byte, 0, readBufferBytes/4+len(req.Target))
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for _, f := range req.Fields {
		if isFramingField(f.Name) {
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

// isFramingField reports whether encodeHead sets or omits the header field by
// itself, so that the caller's field of that name is not sent.
func isFramingField(name string) bool {
	return name == "Content-Length" || name == "Transfer-Encoding" || name == "Host" || name == "Connection" || name == "Expect"
}

// readResponses reads responses and delivers them to the pending request, until the
// connection ends.
func (c *conn) readResponses() {
	defer recoverer.Recover(nil, "response", func() { c.close(errPanic) })
	stray := 0
	for {
		_, err := c.br.Peek(1)
		p := c.pendingRequest()
		switch {
		case p == nil && err == nil:
			c.requester.Counters.Unasked.Add(1)
			c.close(errUnsolicited)
			return
		case err != nil:
			c.close(err)
			return
		}
		res, keep, err := c.readResponse(p)
		if err != nil {
			c.requester.Counters.Cut.Add(1)
			if IsTooLarge(err) {
				c.requester.Counters.Oversized.Add(1)
			}
			c.close(err)
			return
		}
		if !c.requester.isResponseTo(p.req, res) {
			c.requester.observeStray(p.req, res)
			res.Release()
			if stray++; stray > maxStrayResponses || keep == 0 {
				c.close(errUnsolicited)
				return
			}
			continue
		}
		isClean := stray == 0 && c.br.Buffered() == 0 && c.recordRefusal(p.req, res)
		switch {
		case isClean && keep > 0 && p.isSendingLongBody():
			c.release(p, res)
			go c.finishBody(p, keep)
		case !isClean || keep == 0 || !c.recycle(p, keep):
			c.release(p, res)
			c.close(errRetired)
			return
		default:
			p.done <- result{res: res}
		}
	}
}

// isResponseTo reports whether the response is the one to the request, and learns
// whether the target repeats IDs.
func (r *Requester) isResponseTo(req *Request, res *Response) bool {
	if req.ID == "" {
		return true
	}
	switch res.Header.Get(r.IDField) {
	case req.ID:
		r.repeatsIDs.Store(true)
		return true
	case "":
		return req.IsIDOptional && !r.repeatsIDs.Load()
	}
	return false
}

// observeStray counts and logs a response that belongs to another request than the pending
// one.
func (r *Requester) observeStray(pending *Request, res *Response) {
	r.Counters.Stray.Add(1)
	if res.Status >= http.StatusBadRequest {
		r.Counters.StrayErrors.Add(1)
	}
	if r.Log != nil {
		r.Log.Info("response-discarded", zap.String("request-id", pending.ID), zap.String("response-id", res.Header.Get(r.IDField)),
			zap.Int("status", res.Status), zap.Int("carried", res.Carried))
	}
}

// pendingRequest returns the request that the connection is carrying, or nil.
func (c *conn) pendingRequest() *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// carriedBefore returns the number of requests sent before the pending one.
func (c *conn) carriedBefore() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.carried
}

// finishBody sends the rest of the body of p, whose response has been delivered, and then
// makes the connection available. It closes the connection if the target does not read on:
// only the rest of that body may be sent on it.
func (c *conn) finishBody(p *pending, keep time.Duration) {
	if !c.recycle(p, keep) {
		c.close(errRetired)
	}
}

// recycle makes the connection available for the next request once p, whose response
// has been read, has been sent whole. The connection may then be idle for keep. It
// returns false if the connection cannot be used again.
func (c *conn) recycle(p *pending, keep time.Duration) bool {
	if p.awaitSent() != nil {
		return false
	}
	now := time.Now()
	c.mu.Lock()
	if c.closed != nil {
		c.mu.Unlock()
		return false
	}
	c.pending = nil
	c.carried++
	c.idleSince, c.usableUntil = now, now.Add(keep)
	c.mu.Unlock()
	return c.requester.putIdle(c)
}

// release delivers the response to p, after which the connection carries no request. If p has
// failed meanwhile, nobody waits for the response.
func (c *conn) release(p *pending, res *Response) {
	c.mu.Lock()
	if c.pending == p {
		c.pending = nil
	}
	isOver := p.isOver
	c.mu.Unlock()
	if isOver {
		res.Release()
		return
	}
	p.done <- result{res: res}
}

// close closes the connection, unless it is closed already, and fails the pending
// request with a *LostError.
func (c *conn) close(cause error) {
	c.mu.Lock()
	c.closeAndUnlock(cause)
}

// closePending is like close, but does nothing if the connection is not carrying p any more:
// it may carry another request already.
func (c *conn) closePending(p *pending, cause error) {
	c.mu.Lock()
	if c.pending != p {
		c.mu.Unlock()
		return
	}
	c.closeAndUnlock(cause)
}

// closeAndUnlock implements close. The caller holds mu, which it releases.
func (c *conn) closeAndUnlock(cause error) {
	if c.closed != nil {
		c.mu.Unlock()
		return
	}
	c.closed = cause
	p := c.pending
	c.pending = nil
	if p != nil {
		p.isOver = true
	}
	c.mu.Unlock()
	_ = c.nc.Close()
	c.requester.remove(c)
	if p != nil {
		p.done <- result{err: &LostError{Cause: cause}}
	}
}

var errPanic = errors.New("handling the response failed")
