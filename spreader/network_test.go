package spreader

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// network is a fake network on the loopback interface. It opens all links of a
// fleet and can cut or stall them.
type network struct {
	mu      sync.Mutex
	blocked func(from, to string) bool
	conns   map[*conn]struct{}
}

// client returns an HTTP client whose connections count as coming from the
// address from.
func (n *network) client(from string) *http.Client {
	dial := func(ctx context.Context, _, to string) (net.Conn, error) {
		if n.isBlocked(from, to) {
			return nil, syscall.EHOSTUNREACH
		}
		inner, err := new(net.Dialer).DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, from: from, to: to, resumed: closedChan(), closed: make(chan struct{}), network: n}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.blocked != nil && n.blocked(from, to) {
			_ = inner.Close()
			return nil, syscall.EHOSTUNREACH
		}
		if n.conns == nil {
			n.conns = make(map[*conn]struct{})
		}
		n.conns[c] = struct{}{}
		return c, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// isBlocked reports whether connections between the addresses are refused.
func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked != nil && n.blocked(from, to)
}

// isolate refuses new connections of an address and stalls its open ones, as if
// its process were stopped. It returns the function that ends this.
func (n *network) isolate(addr string) func() {
	n.mu.Lock()
	n.blocked = func(from, to string) bool { return from == addr || to == addr }
	n.mu.Unlock()
	resume := n.silence(addr)
	return func() {
		n.heal()
		resume()
	}
}

// cut refuses the connections for which blocked returns true and closes the
// open ones.
func (n *network) cut(blocked func(from, to string) bool) {
	n.mu.Lock()
	n.blocked = blocked
	var ends []*conn
	for c := range n.conns {
		if blocked(c.from, c.to) {
			ends = append(ends, c)
		}
	}
	n.mu.Unlock()
	for _, c := range ends {
		_ = c.Close()
	}
}

// heal accepts all connections again.
func (n *network) heal() { n.cut(func(string, string) bool { return false }) }

// silence stalls all open connections of an address without closing them. It
// returns the function that resumes them.
func (n *network) silence(addr string) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	var stalled []*conn
	for c := range n.conns {
		if c.from == addr || c.to == addr {
			c.stall()
			stalled = append(stalled, c)
		}
	}
	return func() {
		for _, c := range stalled {
			c.resume()
		}
	}
}

// conn is the dialing end of a connection.
type conn struct {
	net.Conn
	from, to string
	network  *network
	once     sync.Once
	closed   chan struct{}

	mu sync.Mutex
	// resumed is closed while the connection is not stalled.
	resumed chan struct{}
}

// closedChan returns a closed channel.
func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (c *conn) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed = make(chan struct{})
}

func (c *conn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.resumed:
	default:
		close(c.resumed)
	}
}

// waitResumed waits until the connection is not stalled. It fails when the
// connection is closed.
func (c *conn) waitResumed() error {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.waitResumed(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.waitResumed(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
