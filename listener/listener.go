// Package listener is the HTTP/1.1 server through which callers send their requests
// to a daemon.
//
// Unlike net/http it keeps reading from a connection while requests run. Pipelined
// requests therefore run concurrently (their responses are sent in order), and the
// server detects at once that a caller has closed its connection. The handler of a
// request starts when the whole body has been read.
package listener

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/limiter"
)

// Limits bounds the size and the time of callers' requests.
type Limits struct {
	// HeaderBytes bounds the head of a request (the request line and the header
	// fields), BodyBytes its body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection may be idle, that is,
	// without a request.
	IdleTimeout time.Duration
}

// Counters count connections, requests and refusals.
type Counters struct {
	// Connections counts accepted connections, Requests the requests that reached
	// the handler.
	Connections, Requests expvar.Int
	// Pipelined counts requests that arrived while others of their connection were
	// unanswered.
	Pipelined expvar.Int
	// Malformed counts invalid requests, TooLarge those that exceeded a size limit,
	// and Slow those that did not arrive in time.
	Malformed, TooLarge, Slow expvar.Int
	// Crowded counts requests that were refused because the bodies of others took all room.
	Crowded expvar.Int
	// Departed counts the requests whose callers left before the answer.
	Departed expvar.Int
}

// Server serves callers' connections. Handler and Limits must be set.
//
// The context of a request ends when its caller closes the connection. Arrival
// returns from it when the first byte of the request arrived.
type Server struct {
	Handler http.Handler
	// Limits returns the limits for the next request of a connection.
	Limits   func() Limits
	Counters Counters
	// Bodies bounds the bodies that are being read or handled; nil sets no bound.
	Bodies *limiter.ByteBudget
	// Log receives an event for each panic of Handler; nil disables logging.
	Log *zap.Logger

	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
	// listener is what Serve accepts from, nil before that.
	listener net.Listener
}

// arrivalKey is the context key of a request's arrival time.
type arrivalKey struct{}

// Arrival returns when the first byte of the request with this context arrived, or
// the present time if the request did not come through a Server.
func Arrival(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// Serve accepts and serves connections until the listener is closed. It then
// returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The process has run out of file descriptors, or the caller left before
			// its connection was accepted.
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.Counters.Connections.Add(1)
		c := newConn(s, nc)
		s.mu.Lock()
		if s.conns == nil {
			s.conns = make(map[*conn]struct{})
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// acceptRetryDelay is the pause after a failed accept, so that Serve does not spin
// while accepting keeps failing.
const acceptRetryDelay = 5 * time.Millisecond

// Drain makes each connection close after the next response that no other request
// follows. It returns at once and does not close idle connections; CloseIdle does.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// CloseIdle closes the connections on which no request is being read or answered.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// StopAccepting closes the listener, so that callers can open no further connections. Those
// that are open are served.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// IsQuiet reports whether no request is being read or answered, has arrived without having
// been read yet, or is probably on its way.
func (s *Server) IsQuiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.isIdle() {
			return false
		}
	}
	return true
}

// Unanswered returns the number of requests whose responses have not been written
// completely. It includes requests whose handler has already returned.
func (s *Server) Unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		n += c.unanswered
		c.mu.Unlock()
	}
	return n
}

// Close closes all connections at once, including those with unanswered requests.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
}
