package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// memNetwork connects daemons in memory, so that a whole fleet runs on the fake clock. Bytes
// arrive after the delay.
type memNetwork struct {
	delay time.Duration

	mu        sync.Mutex
	listeners map[string]*memListener
}

// memListener accepts the connections to one address.
type memListener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// memAddr is an address of a memNetwork.
type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// listen returns a listener at an address.
func (n *memNetwork) listen(addr string) *memListener {
	l := &memListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*memListener)
	}
	n.listeners[addr] = l
	return l
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.addr) }

// client returns an HTTP client whose connections go through the network.
func (n *memNetwork) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true}}
}

// dial opens a connection.
func (n *memNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case l.conns <- newDelayedConn(far, n.delay):
		return newDelayedConn(near, n.delay), nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialCalls opens a call link.
func (n *memNetwork) dialCalls(ctx context.Context, addr string) (messenger.Conn, error) {
	return messenger.DialWith(ctx, n.client(), addr, messenger.CallPath)
}

// delayedConn is one end of a connection whose writes arrive later.
type delayedConn struct {
	net.Conn
	delay  time.Duration
	queue  chan delayedWrite
	closed chan struct{}
	once   sync.Once
}

// delayedWrite is a write and when it arrives.
type delayedWrite struct {
	b  []byte
	at time.Time
}

// delayedWrites is the number of writes that may be on the way.
const delayedWrites = 256

func newDelayedConn(c net.Conn, delay time.Duration) *delayedConn {
	d := &delayedConn{Conn: c, delay: delay, queue: make(chan delayedWrite, delayedWrites), closed: make(chan struct{})}
	go d.deliver()
	return d
}

// deliver writes what was queued when its time has come. After Close it writes the rest first.
func (c *delayedConn) deliver() {
	defer c.Conn.Close()
	for {
		select {
		case w := <-c.queue:
			if c.write(w) != nil {
				return
			}
			continue
		default:
		}
		select {
		case w := <-c.queue:
			if c.write(w) != nil {
				return
			}
		case <-c.closed:
			if len(c.queue) == 0 {
				return
			}
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		}
	}
}

// write writes to the other end when the time has come.
func (c *delayedConn) write(w delayedWrite) error {
	time.Sleep(time.Until(w.at))
	_, err := c.Conn.Write(w.b)
	return err
}

func (c *delayedConn) Write(b []byte) (int, error) {
	select {
	case c.queue <- delayedWrite{b: append([]byte(nil), b...), at: time.Now().Add(c.delay)}:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
