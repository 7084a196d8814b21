// Package faulter implements a TCP proxy that injects faults into the connections
// between a client and a server, for tests, the demonstration and the soak run.
//
// The proxy is independent of the protocol: faults act on connections and on the
// bytes that they carry.
package faulter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Direction is a set of directions of a connection.
type Direction uint8

// Directions, as seen from the client that dials the proxy.
const (
	Upstream   Direction = 1 << iota // client to server
	Downstream                       // server to client
	Both       = Upstream | Downstream
)

const (
	// chunkBytes is the maximum length of a chunk, the unit in which the proxy reads,
	// delays and forwards a stream.
	chunkBytes = 32 << 10
	// dialTimeout bounds the connection attempt to the upstream address.
	dialTimeout = 5 * time.Second
)

// Fault describes the faults that a proxy injects. With the zero value it only
// forwards.
type Fault struct {
	// Refuse closes each new connection immediately; open connections continue.
	Refuse bool
	// Silence stops forwarding in these directions, also of the end of the stream,
	// while the connections stay open.
	Silence Direction
	// IsHit, if not nil, says whether Silence is for the connections of the client with the
	// address. It must always say the same of one address.
	IsHit func(client net.Addr) bool
	// Delay is the time by which each chunk is delayed, in either direction.
	Delay time.Duration
	// BytesPerSecond limits each direction of each connection; 0 means no limit.
	BytesPerSecond int
	// LoseAnswersTo, unless empty, drops the answer to each request that contains
	// this text: the proxy forwards the request, and closes the connection when
	// the answer arrives. The text must lie within one chunk.
	LoseAnswersTo string
}

// Proxy forwards the connections to one upstream address. Create it with Listen.
type Proxy struct {
	upstream string
	listener net.Listener
	// lostAnswers counts the answers dropped for Fault.LoseAnswersTo.
	lostAnswers atomic.Int64

	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	conns   map[*conn]struct{}
	closed  bool
}

// Listen starts a proxy on addr that forwards connections to upstream.
func Listen(addr, upstream string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errorx.Decorate(err, "listening")
	}
	p := &Proxy{upstream: upstream, listener: l, changed: make(chan struct{}), conns: make(map[*conn]struct{})}
	go p.acceptLoop()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// LostAnswers returns the number of answers dropped for Fault.LoseAnswersTo so far.
func (p *Proxy) LostAnswers() int64 { return p.lostAnswers.Load() }

// Set replaces the fault, for open and new connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut closes the open connections and refuses new ones until the next Set.
func (p *Proxy) Cut() {
	p.Set(Fault{Refuse: true})
	p.closeConns()
}

// Reset closes both sides of the open connections with a TCP reset; new connections
// work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// SilenceOpenConns permanently stops forwarding on the open connections, without closing
// them; new connections work.
func (p *Proxy) SilenceOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silenced.Store(true)
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.closeConns()
}

func (p *Proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// acceptLoop serves new connections until the listener is closed.
func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(client)
	}
}

// serveConn forwards between a client and the upstream until either side closes.
func (p *Proxy) serveConn(client net.Conn) {
	defer client.Close()
	if fault, _ := p.currentFault(); fault.Refuse {
		return
	}
	server, err := net.DialTimeout("tcp", p.upstream, dialTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	c := &conn{proxy: p, client: &side{Conn: client}, server: &side{Conn: server}, done: make(chan struct{})}
	if !p.addConn(c) {
		return
	}
	go c.forward(Upstream, c.client, c.server)
	go c.forward(Downstream, c.server, c.client)
	<-c.done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// addConn registers a connection, and returns false if the proxy is closed or now
// refuses connections.
func (p *Proxy) addConn(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Refuse {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// currentFault returns the fault, and a channel that is closed when it changes.
func (p *Proxy) currentFault() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

// conn is one connection through the proxy.
type conn struct {
	proxy          *Proxy
	client, server *side
	// silenced is set by Proxy.SilenceOpenConns and never cleared.
	silenced atomic.Bool
	// dropAnswer is set once a request was forwarded whose answer is to be
	// dropped.
	dropAnswer atomic.Bool
	once       sync.Once
	done       chan struct{}
}

// close closes both sides and then done, after which serveConn closes the sides again. It may
// be called more than once.
func (c *conn) close() {
	c.once.Do(func() {
		c.client.Close()
		c.server.Close()
		close(c.done)
	})
}

// reset is like close, but resets both sides.
func (c *conn) reset() {
	c.once.Do(func() {
		c.client.reset()
		c.server.reset()
		close(c.done)
	})
}

// forward copies from src to dst, subject to the fault. It closes both sides when either
// ends, and resets both when either fails.
func (c *conn) forward(d Direction, src, dst *side) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if !c.applyFault(d, buf[:n]) {
			c.close()
			return
		}
		_, werr := dst.Write(buf[:n])
		switch {
		case werr != nil || err != nil && (!errors.Is(err, io.EOF) || src.hasFailed()):
			c.reset()
			return
		case err != nil:
			c.close()
			return
		}
	}
}

// applyFault blocks for as long as the fault holds a chunk back, and reports whether
// the chunk is to be forwarded. If not, the connection is to be closed.
func (c *conn) applyFault(d Direction, chunk []byte) bool {
	fault, ok := c.awaitUnsilenced(d)
	if !ok {
		return false
	}
	if d == Upstream && fault.LoseAnswersTo != "" && bytes.Contains(chunk, []byte(fault.LoseAnswersTo)) {
		c.dropAnswer.Store(true)
	}
	if d == Downstream && c.dropAnswer.Load() {
		c.proxy.lostAnswers.Add(1)
		return false
	}
	return c.delay(fault, len(chunk))
}

// awaitUnsilenced waits until direction d is not silenced and returns the fault. It
// returns false if the connection closes first.
func (c *conn) awaitUnsilenced(d Direction) (Fault, bool) {
	for {
		fault, changed := c.proxy.currentFault()
		if c.silenced.Load() {
			<-c.done
			return fault, false
		}
		if fault.Silence&d == 0 || fault.IsHit != nil && !fault.IsHit(c.client.RemoteAddr()) {
			return fault, true
		}
		select {
		case <-c.done:
			return fault, false
		case <-changed:
		}
	}
}

// delay waits for the delay of the fault and for the time that its rate limit
// allots to n bytes. It returns false if the connection closes first.
func (c *conn) delay(fault Fault, n int) bool {
	pause := fault.Delay
	if fault.BytesPerSecond > 0 {
		pause += time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond)
	}
	if pause == 0 {
		return true
	}
	select {
	case <-c.done:
		return false
	case <-time.After(pause):
		return true
	}
}
