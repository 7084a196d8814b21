// Package listener serves callers over HTTP/1.1.
//
// Unlike net/http it reads on while requests run: requests that a caller sends
// one behind the other on a connection run side by side and are answered in
// order, and a caller that leaves is noticed at once. A request is handed over
// once its whole body is in.
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
)

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes bounds the head of a request, BodyBytes its body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is the longest time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection may carry no request.
	IdleTimeout time.Duration
}

// Counters count connections and what was refused on them.
type Counters struct {
	// Connections and Requests count what was taken.
	Connections, Requests expvar.Int
	// Pipelined counts requests that came while others of their connection ran.
	Pipelined expvar.Int
	// Malformed counts what was no request, TooLarge what exceeded a limit, and
	// Slow what took too long to come.
	Malformed, TooLarge, Slow expvar.Int
	// Departed counts callers that left before their answer, with the requests.
	Departed expvar.Int
}

// Server serves callers. Handler and Limits must be set.
//
// The context of a request ends when its caller leaves. Arrival tells when its
// first byte came.
type Server struct {
	Handler http.Handler
	// Limits returns the limits that hold for the next request.
	Limits   func() Limits
	Counters Counters

	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

type arrivalKey struct{}

// Arrival returns when the first byte of the request came, or now for a request
// that came by another way.
func Arrival(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// Serve takes connections until the listener is closed. It then returns nil.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, or a caller that left in the queue.
			time.Sleep(acceptPause)
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

// acceptPause keeps a failing accept from spinning.
const acceptPause = 5 * time.Millisecond

// Drain ends each connection with the next answer that nothing is behind, and
// closes idle ones after quiet. It returns at once.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// CloseIdle closes the connections that carry no request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Unanswered returns the number of requests whose answers have not been written
// whole: a handler that has returned is not yet an answer that is sent.
func (s *Server) Unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		n += c.waiting
		c.mu.Unlock()
	}
	return n
}

// Close cuts every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cut()
	}
}
