// Package requester is the HTTP/1.1 client with which a daemon sends requests to its
// target.
//
// A connection carries one request at a time. The client checks that responses
// belong to their requests: it accepts a response only if it repeats the request's
// ID, closes a connection on which unsolicited bytes arrive, and treats a truncated
// response as an error. Every error says whether the target may have received the
// request.
package requester

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
)

const (
	// defaultDialTimeout bounds the opening of a connection if
	// Requester.DialTimeout is 0.
	defaultDialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be used if the target
	// states no time in a Keep-Alive field.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutMargin is subtracted from the idle time that the target states,
	// since the target counts it from when it sent the response.
	idleTimeoutMargin = time.Second
	// maxIdleNonRepeatable is how long a connection may have been idle if it is to
	// carry a request that must run at most once. If the target closes the idle
	// connection just as the request is sent, it is unknown whether the request ran.
	maxIdleNonRepeatable = 2 * time.Second
)

// Counters count connections, and responses that could not be used.
type Counters struct {
	// Opened counts connections opened to the target, Reused the requests sent on
	// connections that were already open.
	Opened, Reused expvar.Int
	// Stray counts responses to other requests than the pending one, Unasked the
	// connections closed since bytes arrived while no request was pending.
	Stray, Unasked expvar.Int
	// StrayErrors counts the stray responses with an error status: taken for the response
	// to the pending request, they would say that it failed or was refused.
	StrayErrors expvar.Int
	// Cut counts responses that were truncated or malformed.
	Cut expvar.Int
	// Oversized counts responses whose head, body or interim responses exceeded a
	// bound.
	Oversized expvar.Int
}

// Request is one request to the target.
type Request struct {
	Method, Target, Host string
	// Fields are sent unchanged, except for Host, Connection, Expect and the fields
	// that frame the body, which are set or omitted as needed.
	Fields []messenger.Header
	Body   []byte
	// ID is the value that the response must repeat in the field
	// Requester.IDField; if it is "", any response is accepted.
	ID string
	// IsIDOptional accepts responses that repeat no ID, as long as the target has never
	// repeated one.
	IsIDOptional bool
	// IsRepeatable says that it does no harm if the target gets the request twice.
	IsRepeatable bool
}

// Response is the complete response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Carried is the number of requests that the connection had carried before this one.
	Carried int
	// Release gives back what Body takes of MaxBufferedBytes. It must be called once Body is no
	// longer in use.
	Release func()
}

// NotSentError reports a request of which the target cannot have received a byte.
type NotSentError struct {
	Cause error
	// IsUnreachable says that a connection to the target could not be opened, and
	// that this was not because the request's context had ended.
	IsUnreachable bool
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports a request that may have reached the target, but got no complete
// response. It is unknown whether the request ran.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("no complete response: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

var (
	errBusy        = errors.New("all connections to the target are in use")
	errUnsolicited = errors.New("unsolicited data on the connection")
	errRetired     = errors.New("connection was taken out of use")
)

// Requester sends requests to one target and pools the connections to it. The zero
// value is ready to use.
type Requester struct {
	// IDField is the header field in which responses repeat the ID of their request.
	IDField string
	// MaxConnections returns the largest number of connections that may be open; nil
	// means no bound.
	MaxConnections func() int
	// DialTimeout bounds the opening of a connection; 0 means 500 ms.
	DialTimeout time.Duration
	// MaxHeadBytes bounds the status line and header fields of a response, and those of
	// all interim responses before it; 0 means DefaultHeadBytes.
	MaxHeadBytes int
	// MaxBufferedBytes bounds the total size of the response bodies that are being
	// read or were not released; 0 means DefaultBufferedBytes.
	MaxBufferedBytes int64
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Log receives an event for each response that belongs to another request than the
	// pending one; nil disables logging.
	Log      *zap.Logger
	Counters Counters

	mu sync.Mutex
	// idle holds the idle connections; the most recently used is last.
	idle []*conn
	// open is the number of connections that are open or being opened.
	open int
	// addr is the target's address; connections to other addresses are not reused.
	addr string
	// repeatsIDs is set once the target has repeated the ID of a request.
	repeatsIDs atomic.Bool
	// buffered is the total size of the response bodies that are being read or were not
	// released.
	buffered atomic.Int64
}

// Do sends a request to the target at addr and returns the complete response. It
// fails with a *NotSentError or a *LostError. When ctx ends, it closes the
// connection, so that the target notices that the response is no longer wanted.
func (r *Requester) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	for {
		c, err := r.acquire(ctx, addr, req)
		if err != nil {
			return nil, err
		}
		res, err := c.do(ctx, req)
		var unsent *NotSentError
		if errors.As(err, &unsent) && c.reused && ctx.Err() == nil {
			// The target had closed the idle connection; try another one.
			continue
		}
		return res, err
	}
}

// acquire returns a connection for one request: the most recently used idle one that
// is reusable and has not refused the same request, or else a new one. It fails with a
// *NotSentError.
func (r *Requester) acquire(ctx context.Context, addr string, req *Request) (*conn, error) {
	r.mu.Lock()
	if addr != r.addr {
		r.closeIdle()
		r.addr = addr
		r.repeatsIDs.Store(false)
	}
	now := time.Now()
	for {
		c := r.takeIdle(req.ID)
		if c == nil {
			break
		}
		if !c.isReusable(now, req.IsRepeatable) {
			r.mu.Unlock()
			c.close(errRetired)
			r.mu.Lock()
			continue
		}
		c.reused = true
		r.mu.Unlock()
		r.Counters.Reused.Add(1)
		return c, nil
	}
	for r.MaxConnections != nil && r.open >= max(1, r.MaxConnections()) {
		if len(r.idle) == 0 {
			r.mu.Unlock()
			return nil, &NotSentError{Cause: errBusy}
		}
		// All idle connections have refused the same request.
		oldest := r.idle[0]
		r.idle = r.idle[1:]
		r.mu.Unlock()
		oldest.close(errRetired)
		r.mu.Lock()
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
	go c.readResponses()
	return c, nil
}

// takeIdle removes and returns the most recently used idle connection that has not refused a
// request with the ID, or returns nil. The caller holds mu.
func (r *Requester) takeIdle(id string) *conn {
	for i, c := range slices.Backward(r.idle) {
		if !c.hasRefused(id) {
			r.idle = slices.Delete(r.idle, i, i+1)
			return c
		}
	}
	return nil
}

// dial opens a connection to the target.
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

// Check opens a connection to the target and closes it. Its error tells whether the target
// listens.
func (r *Requester) Check(ctx context.Context, addr string) error {
	c, err := r.dial(ctx, addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// putIdle returns a connection to the pool of idle ones. It returns false if the
// target's address has changed meanwhile.
func (r *Requester) putIdle(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.addr != r.addr {
		return false
	}
	r.idle = append(r.idle, c)
	return true
}

// remove removes a closed connection from the pool.
func (r *Requester) remove(c *conn) {
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

// Reset closes the idle connections. Call it when a connection in use has gone
// silent, since the idle ones may have, too.
func (r *Requester) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeIdle()
}

// closeIdle closes the idle connections. The caller holds mu.
func (r *Requester) closeIdle() {
	for _, c := range r.idle {
		go c.close(errRetired)
	}
	r.idle = nil
}
