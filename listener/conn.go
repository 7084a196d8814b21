package listener

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bambooweir.example/bambooweir/recoverer"
)

const (
	readBufferBytes = 4 << 10
	// maxPipelined bounds the requests of one connection that are queued until
	// their response is written. Further requests are read when one of them has
	// been answered.
	maxPipelined = 64
	// writeTimeout bounds the writing of one response to a caller that does not
	// read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the server waits for the caller to close the
	// connection after the last response. Closing at once would send a reset, which
	// discards data that the caller has not yet read.
	lingerTimeout = 500 * time.Millisecond
	// bodyTimeout bounds the time in which a caller must send a request's body.
	bodyTimeout = 30 * time.Second
)

// conn is one connection of a caller. The read goroutine reads requests and starts
// their handlers; the write goroutine sends the responses in the order of the
// requests.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// ctx ends when the caller closes the connection or the server aborts it.
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the requests whose responses are still to be written, oldest
	// first.
	queue chan *exchange

	mu sync.Mutex
	// unanswered is the number of requests in the queue, plus the one whose
	// response is being written.
	unanswered int
	// closing says that no further request is accepted.
	closing bool
	// lastActive is when the last response was written, or else when the
	// connection was accepted.
	lastActive time.Time
	// opened is when the connection was accepted, and hasCarried says that a request has been
	// read from it.
	opened     time.Time
	hasCarried bool
	// readingRequest says that the first byte of a request has arrived, but the
	// request is not yet queued.
	readingRequest bool
}

// exchange is one request with its response.
type exchange struct {
	req      *http.Request
	response *response
	// done is closed when the handler has returned.
	done chan struct{}
	// closesConn says that the connection closes after this response.
	closesConn bool
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, maxPipelined), lastActive: time.Now(), opened: time.Now(),
	}
}

// serve serves the connection until it ends.
func (c *conn) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.queue)
	<-written
	c.cancel()
	_ = c.nc.Close()
}

// read reads requests and starts their handlers until the connection accepts no
// more.
func (c *conn) read() {
	for {
		if !c.awaitRequest() {
			return
		}
		arrived := time.Now()
		limits := c.server.Limits()
		req, refusal := c.readRequest(limits, arrived)
		if req == nil && refusal == nil {
			c.callerLeft()
			return
		}
		x := &exchange{req: req, response: newResponse(), done: make(chan struct{})}
		if refusal != nil {
			x.closesConn = true
			refusal.write(x.response)
			close(x.done)
		} else if req.Close || !req.ProtoAtLeast(1, 1) {
			x.closesConn = true
		}
		if !c.enqueue(x) {
			if refusal == nil {
				c.server.Bodies.Give(req.ContentLength)
			}
			return
		}
		if refusal == nil {
			c.server.Counters.Requests.Add(1)
			go c.handle(x, arrived)
		}
		if x.closesConn {
			c.drainInput()
			return
		}
	}
}

// awaitRequest waits for the first byte of the next request and reports whether it
// has arrived. It returns false if the connection has ended, is closing, or was
// idle for too long.
func (c *conn) awaitRequest() bool {
	for {
		idle := c.server.Limits().IdleTimeout
		c.mu.Lock()
		deadline := c.lastActive.Add(idle)
		busy := c.unanswered > 0
		c.readingRequest = false
		c.mu.Unlock()
		if busy {
			deadline = time.Now().Add(idle)
		}
		_ = c.nc.SetReadDeadline(deadline)
		_, err := c.br.Peek(1)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.readingRequest = !c.closing
			return c.readingRequest
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.callerLeft()
			return false
		}
		if c.markClosingIfIdle(idle) {
			return false
		}
	}
}

// markClosingIfIdle sets closing if the connection has been idle for at least the
// given time, and reports whether the connection is closing.
func (c *conn) markClosingIfIdle(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := c.unanswered == 0 && time.Since(c.lastActive) >= idle
	c.closing = c.closing || isIdle
	return c.closing
}

// enqueue adds a request to the queue. It returns false if the connection accepts
// no further requests.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	if c.unanswered > 0 {
		c.server.Counters.Pipelined.Add(1)
	}
	c.unanswered++
	c.readingRequest, c.hasCarried = false, true
	c.closing = x.closesConn
	c.mu.Unlock()
	select {
	case c.queue <- x:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// handle runs the handler of a request.
func (c *conn) handle(x *exchange, arrived time.Time) {
	defer close(x.done)
	defer c.server.Bodies.Give(x.req.ContentLength)
	defer recoverer.Recover(c.server.Log, "request", func() {
		// What the handler did before it failed is not known.
		x.response = newResponse()
		x.response.header.Set("Connection", "close")
		x.response.WriteHeader(http.StatusInternalServerError)
	})
	ctx := context.WithValue(c.ctx, arrivalKey{}, arrived)
	c.server.Handler.ServeHTTP(x.response, x.req.WithContext(ctx))
}

// callerLeft records that the caller has closed the connection, and ends the
// contexts of its requests.
func (c *conn) callerLeft() {
	c.mu.Lock()
	waiting := c.unanswered
	c.closing = true
	c.mu.Unlock()
	c.server.Counters.Departed.Add(int64(waiting))
	c.cancel()
}

// drainInput reads and discards what follows the last request, until all responses
// are written or the caller leaves. Reading detects a caller that leaves, and lets
// the connection close without a reset.
func (c *conn) drainInput() {
	buf := make([]byte, readBufferBytes)
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, err := c.br.Read(buf)
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.callerLeft()
			return
		}
		c.mu.Lock()
		answered := c.unanswered == 0
		c.mu.Unlock()
		if answered {
			return
		}
	}
}

// write sends the responses in the order of the requests.
func (c *conn) write() {
	for x := range c.queue {
		select {
		case <-x.done:
		case <-c.ctx.Done():
			// The caller has left. The handlers' contexts have ended, so they return
			// by themselves.
			c.responseDone()
			continue
		}
		last := c.shouldCloseAfter(x)
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		err := x.response.send(c.nc, x.req, last)
		c.responseDone()
		if err != nil {
			c.callerLeft()
			continue
		}
		if last {
			c.closeWrite()
		}
	}
}

// shouldCloseAfter reports whether the connection closes after this response, and
// then sets closing. It closes after the response to its last request, or if the
// handler or a drain asks for that and no other request is queued or being read.
func (c *conn) shouldCloseAfter(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closeRequested := x.response.header.Get("Connection") == "close" || c.server.draining.Load()
	if !x.closesConn && (!closeRequested || c.unanswered > 1 || c.readingRequest) {
		return false
	}
	c.closing = true
	return true
}

// responseDone records that a response has been written or dropped.
func (c *conn) responseDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	c.lastActive = time.Now()
}

// closeWrite closes the sending side of the connection, and lets the read goroutine
// wait for at most lingerTimeout until the caller closes its side.
func (c *conn) closeWrite() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// isFresh reports whether the connection was opened so recently that its first request is
// probably on its way. The caller holds mu.
func (c *conn) isFresh() bool { return !c.hasCarried && time.Since(c.opened) < freshTime }

// freshTime is how long after its opening a connection without a request counts as fresh.
// Callers open a connection when they have a request.
const freshTime = 500 * time.Millisecond

// isIdle reports whether no request is being read or answered, has arrived without having
// been read yet, or is probably on its way.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdleLocked()
}

// isIdleLocked implements isIdle. The caller holds mu.
func (c *conn) isIdleLocked() bool {
	return c.unanswered == 0 && !c.readingRequest && !c.isFresh() && !hasUnreadBytes(c.nc)
}

// closeIfIdle closes the connection if it is idle.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.isIdleLocked()
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.nc.Close()
	}
}

// abort closes the connection at once and ends the contexts of its requests.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}
