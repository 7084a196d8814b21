package faulter

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// side is the connection to the client or to the server.
type side struct {
	net.Conn
	// mu is held during a write.
	mu     sync.Mutex
	failed bool
}

// Write implements net.Conn.
func (s *side) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.Conn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.failed = true
	}
	return n, err
}

// hasFailed ends the write in progress, if there is one, and reports whether a write has
// failed. It is for a side on which a read saw the end: the kernel reports a reset once, and if
// a write got the error, reads see an end.
func (s *side) hasFailed() bool {
	_ = s.SetWriteDeadline(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// reset closes the connection with a reset.
func (s *side) reset() {
	if tcp, ok := s.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = s.Close()
}
