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
)

const (
	readBufferBytes = 4 << 10
	// maxPipelined bounds the requests of one connection that run or wait for
	// their answer; what is behind them is read when one of them is answered.
	maxPipelined = 64
	// writeTimeout bounds the writing of one answer to a caller that doesn't read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the end of a closed connection is awaited, since
	// closing at once would reset what the caller has not read.
	lingerTimeout = 500 * time.Millisecond
	// bodyTimeout bounds the time that a caller may take for a body.
	bodyTimeout = 30 * time.Second
)

// conn is one connection of a caller. Its reader takes requests in and starts
// their handlers; its writer sends the answers in order.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// ctx ends when the caller leaves or the connection is cut.
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the requests that are not answered, oldest first.
	queue chan *exchange

	mu sync.Mutex
	// waiting counts the requests in the queue and the one that is being written.
	waiting int
	// closing says that no further request is taken.
	closing bool
	// lastActive is when the last answer was written.
	lastActive time.Time
	// reading says that a request has begun to come in.
	reading bool
}

// exchange is one request with its answer.
type exchange struct {
	req    *http.Request
	answer *answer
	// done is closed when the handler has returned.
	done chan struct{}
	// isLast says that the connection ends with this answer.
	isLast bool
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, maxPipelined), lastActive: time.Now(),
	}
}

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

// read takes requests in until the connection ends.
func (c *conn) read() {
	for {
		if !c.awaitRequest() {
			return
		}
		arrived := time.Now()
		limits := c.server.Limits()
		req, refusal := c.readRequest(limits, arrived)
		if req == nil && refusal == nil {
			c.depart()
			return
		}
		x := &exchange{req: req, answer: newAnswer(), done: make(chan struct{})}
		if refusal != nil {
			x.isLast = true
			refusal.write(x.answer)
			close(x.done)
		} else if req.Close || !req.ProtoAtLeast(1, 1) {
			x.isLast = true
		}
		if !c.take(x) {
			return
		}
		if refusal == nil {
			c.server.Counters.Requests.Add(1)
			go c.handle(x, arrived)
		}
		if x.isLast {
			c.awaitEnd()
			return
		}
	}
}

// awaitRequest waits for the first byte of the next request. It returns false
// when the connection has ended or was idle for too long.
func (c *conn) awaitRequest() bool {
	for {
		idle := c.server.Limits().IdleTimeout
		c.mu.Lock()
		deadline := c.lastActive.Add(idle)
		busy := c.waiting > 0
		c.reading = false
		c.mu.Unlock()
		if busy {
			deadline = time.Now().Add(idle)
		}
		_ = c.nc.SetReadDeadline(deadline)
		_, err := c.br.Peek(1)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.reading = !c.closing
			return c.reading
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.depart()
			return false
		}
		if c.isIdleSince(idle) {
			return false
		}
	}
}

// isIdleSince says whether the connection may be closed for idleness, and then
// takes no further request.
func (c *conn) isIdleSince(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := c.waiting == 0 && time.Since(c.lastActive) >= idle
	c.closing = c.closing || isIdle
	return c.closing
}

// take queues a request. It returns false when the connection takes none any more.
func (c *conn) take(x *exchange) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	if c.waiting > 0 {
		c.server.Counters.Pipelined.Add(1)
	}
	c.waiting++
	c.reading = false
	c.closing = x.isLast
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
	ctx := context.WithValue(c.ctx, arrivalKey{}, arrived)
	c.server.Handler.ServeHTTP(x.answer, x.req.WithContext(ctx))
}

// depart notes that the caller has left.
func (c *conn) depart() {
	c.mu.Lock()
	waiting := c.waiting
	c.closing = true
	c.mu.Unlock()
	c.server.Counters.Departed.Add(int64(waiting))
	c.cancel()
}

// awaitEnd reads and drops what comes after the last request, so that a caller
// that leaves is noticed and closing does not reset the connection.
func (c *conn) awaitEnd() {
	buf := make([]byte, readBufferBytes)
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, err := c.br.Read(buf)
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.depart()
			return
		}
		c.mu.Lock()
		answered := c.waiting == 0
		c.mu.Unlock()
		if answered {
			return
		}
	}
}

// write sends the answers in the order of their requests.
func (c *conn) write() {
	for x := range c.queue {
		select {
		case <-x.done:
		case <-c.ctx.Done():
			// The caller has left; the handlers end by themselves.
			c.answered()
			continue
		}
		last := c.endsWith(x)
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		err := x.answer.send(c.nc, x.req, last)
		c.answered()
		if err != nil {
			c.depart()
			continue
		}
		if last {
			c.finish()
		}
	}
}

// endsWith says whether the connection ends with this answer: when it was to be
// the last, or when the handler or a drain asks for it and nothing is behind it.
func (c *conn) endsWith(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := x.answer.header.Get("Connection") == "close" || c.server.draining.Load()
	if !x.isLast && (!asked || c.waiting > 1 || c.reading) {
		return false
	}
	c.closing = true
	return true
}

func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	c.lastActive = time.Now()
}

// finish ends the sending side and lets the reader wait for the caller's end.
func (c *conn) finish() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.waiting == 0 && !c.reading
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.nc.Close()
	}
}

func (c *conn) cut() {
	c.cancel()
	_ = c.nc.Close()
}
