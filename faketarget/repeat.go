package faketarget

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"bambooweir.example/bambooweir/messenger"
)

// Listener accepts connections on which RepeatRefusals has an effect. Its server must use
// ConnContext.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: c}, nil
}

type connKey struct{}

// ConnContext returns a context that holds the connection, for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// repeatingConn is a connection that can write a response once more before the next one.
type repeatingConn struct {
	net.Conn
	mu sync.Mutex
	// current is the response to repeat that is about to be written, due the one that was
	// written last.
	current, due []byte
}

// repeat repeats a response that is about to be written.
func (c *repeatingConn) repeat(response []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = response
}

// Write implements net.Conn. The server writes each response that is repeated in one call.
func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.due) > 0 {
		if _, err := c.Conn.Write(c.due); err != nil {
			return 0, err
		}
	}
	c.current, c.due = nil, c.current
	return c.Conn.Write(b)
}

// refuse answers a call with the statement that it has not run.
func refuse(w http.ResponseWriter, r *http.Request, b Behavior) {
	names := messenger.HeaderNames{}.WithDefaults()
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.NotRun, "1")
	w.Header().Set(names.RequestID, id)
	w.WriteHeader(http.StatusServiceUnavailable)
	if c, ok := r.Context().Value(connKey{}).(*repeatingConn); ok && b.RepeatRefusals {
		c.repeat(fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.NotRun, names.RequestID, id))
	}
}
