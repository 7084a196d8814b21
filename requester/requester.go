// Package requester sends requests to the target beside this daemon.
//
// It speaks HTTP/1.1 with one request at a time on a connection, and trusts no
// answer further than it can be told apart: an answer belongs to a request only
// if it repeats the request's id, bytes that nobody asked for end a connection,
// and an answer that is cut short is no answer. Every failure says whether the
// target may have got the request.
package requester

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept when the target states
	// no time of its own.
	defaultIdle = 5 * time.Second
	// idleMargin is taken off the time that a target states, since its clock
	// started when it sent the answer.
	idleMargin = time.Second
	// freshIdle is how long a connection may have been idle to take a request
	// that may run only once: one that the target closes just then would leave
	// open whether it ran.
	freshIdle = 2 * time.Second
)

// Counters count connections and what came of requests.
type Counters struct {
	// Opened counts connections to the target, Reused requests on open ones.
	Opened, Reused expvar.Int
	// Stray counts answers to other requests, Unasked bytes that came when no
	// request was waiting.
	Stray, Unasked expvar.Int
	// Cut counts answers that ended early or were none.
	Cut expvar.Int
}

// Request is one request to the target.
type Request struct {
	Method, Target, Host string
	// Fields are sent as they are, but for those that frame the request.
	Fields []messenger.Header
	Body   []byte
	// ID is what the answer must repeat in the field IDField; "" asks for none.
	ID string
	// IsRepeatable says that the request may reach the target twice.
	IsRepeatable bool
}

// Response is the whole answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotSentError reports a request of which the target can't have read a byte.
type NotSentError struct {
	Cause error
	// IsUnreachable says that the target took no connection.
	IsUnreachable bool
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports a request that was sent and brought no whole answer.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("no whole answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

var (
	errBusy    = errors.New("all connections to the target are in use")
	errUnasked = errors.New("bytes came that nobody asked for")
	errIdle    = errors.New("connection was idle")
)

// Requester holds the connections to one target. The zero value works.
type Requester struct {
	// IDField is the field in which answers repeat the id of their request.
	IDField string
	// MaxConnections returns the most connections that may be open; nil means no bound.
	MaxConnections func() int
	// DialTimeout bounds the opening of a connection; 0 means 500 ms.
	DialTimeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Counters Counters

	mu sync.Mutex
	// idle holds the connections without a request, the last one used at the end.
	idle []*conn
	open int
	addr string
}

// Do sends a request to the target at an address and returns its whole answer.
// It fails with a *NotSentError or a *LostError; when ctx ends, the connection
// is closed, by which the target learns that nobody waits.
func (r *Requester) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	for {
		c, err := r.take(ctx, addr, req.IsRepeatable)
		if err != nil {
			return nil, err
		}
		res, err := c.do(ctx, req)
		var unsent *NotSentError
		if errors.As(err, &unsent) && c.reused && ctx.Err() == nil {
			// The target had closed the connection: another one will do.
			continue
		}
		return res, err
	}
}

// take returns a connection for one request.
func (r *Requester) take(ctx context.Context, addr string, isRepeatable bool) (*conn, error) {
	r.mu.Lock()
	if addr != r.addr {
		r.closeIdle()
		r.addr = addr
	}
	now := time.Now()
	for len(r.idle) > 0 {
		c := r.idle[len(r.idle)-1]
		r.idle = r.idle[:len(r.idle)-1]
		if !c.isFresh(now, isRepeatable) {
			r.mu.Unlock()
			c.close(errIdle)
			r.mu.Lock()
			continue
		}
		c.reused = true
		r.mu.Unlock()
		r.Counters.Reused.Add(1)
		return c, nil
	}
	if r.MaxConnections != nil && r.open >= max(1, r.MaxConnections()) {
		r.mu.Unlock()
		return nil, &NotSentError{Cause: errBusy}
	}
	r.open++
	r.mu.Unlock()
	nc, err := r.dial(ctx, addr)
	if err != nil {
		r.mu.Lock()
		r.open--
		r.mu.Unlock()
		return nil, &NotSentError{Cause: err, IsUnreachable: ctx.Err() == nil}
	}
	r.Counters.Opened.Add(1)
	c := newConn(r, nc, addr)
	go c.read()
	return c, nil
}

func (r *Requester) dial(ctx context.Context, addr string) (net.Conn, error) {
	timeout := r.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if r.Dial != nil {
		return r.Dial(ctx, addr)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// give takes a connection back that may carry another request.
func (r *Requester) give(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.addr != r.addr {
		return false
	}
	r.idle = append(r.idle, c)
	return true
}

// drop forgets a connection that has ended.
func (r *Requester) drop(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	for i, other := range r.idle {
		if other == c {
			r.idle = append(r.idle[:i], r.idle[i+1:]...)
			return
		}
	}
}

// Reset closes the idle connections: one that was used has gone silent, and
// they may have, too.
func (r *Requester) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeIdle()
}

// closeIdle closes the idle connections. The caller holds mu.
func (r *Requester) closeIdle() {
	for _, c := range r.idle {
		go c.close(errIdle)
	}
	r.idle = nil
}
