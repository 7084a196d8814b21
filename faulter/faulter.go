// Package faulter is a TCP proxy that injects faults into the link it carries.
//
// It is a tool of tests, of the demonstration and of the soak run. It knows no
// protocol: a fault is a property of connections and of the bytes on them.
package faulter

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Direction is a set of ways along a connection.
type Direction uint8

// The directions, as the client that dials the proxy sees them.
const (
	Upstream   Direction = 1 << iota // client to server
	Downstream                       // server to client
	Both       = Upstream | Downstream
)

const (
	chunkBytes  = 32 << 10
	dialTimeout = 5 * time.Second
)

// Fault is what a proxy does to its link. The zero value passes everything.
type Fault struct {
	// Refuse closes each new connection at once; open ones go on.
	Refuse bool
	// Silence holds the bytes, and the end, of these directions without closing.
	Silence Direction
	// Delay is added to each chunk of bytes in each direction.
	Delay time.Duration
	// BytesPerSecond bounds each direction of each connection; 0 is no bound.
	BytesPerSecond int
	// LoseAnswersTo drops the answer to each request whose bytes contain the
	// text, and closes its connection, after the request went through.
	LoseAnswersTo string
}

// Proxy carries the connections of one link. Make it with Listen.
type Proxy struct {
	upstream string
	listener net.Listener
	// lost counts the answers that were dropped.
	lost atomic.Int64

	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	conns   map[*conn]struct{}
	closed  bool
}

// Listen starts a proxy on addr that passes connections on to upstream.
func Listen(addr, upstream string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errorx.Decorate(err, "listening")
	}
	p := &Proxy{upstream: upstream, listener: l, changed: make(chan struct{}), conns: make(map[*conn]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address to dial in place of the upstream's.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Lost returns the number of answers dropped so far.
func (p *Proxy) Lost() int64 { return p.lost.Load() }

// Set replaces the fault. It acts on open and on new connections.
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

// Reset breaks the open connections off, so that their ends are reset; new ones
// work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, nc := range []net.Conn{c.client, c.server} {
			if tcp, ok := nc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		c.close()
	}
}

// SilenceOpenConns silences the open connections for good; new ones work.
func (p *Proxy) SilenceOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.stranded.Store(true)
	}
}

// Close ends the proxy and its connections.
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

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(client)
	}
}

// carry connects a client with the upstream until either side ends.
func (p *Proxy) carry(client net.Conn) {
	defer client.Close()
	if fault, _ := p.state(); fault.Refuse {
		return
	}
	server, err := net.DialTimeout("tcp", p.upstream, dialTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	c := &conn{proxy: p, client: client, server: server, done: make(chan struct{})}
	if !p.add(c) {
		return
	}
	go c.pump(Upstream, client, server)
	go c.pump(Downstream, server, client)
	<-c.done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Refuse {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) state() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

// conn is one connection through the proxy.
type conn struct {
	proxy          *Proxy
	client, server net.Conn
	stranded       atomic.Bool
	// losing is set once a request passed whose answer is to be dropped.
	losing atomic.Bool
	once   sync.Once
	done   chan struct{}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		c.client.Close()
		c.server.Close()
	})
}

func (c *conn) pump(d Direction, src, dst net.Conn) {
	defer c.close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if !c.pass(d, buf[:n]) {
			return
		}
		if _, werr := dst.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// pass waits until a chunk may go on, and returns false if it must not.
func (c *conn) pass(d Direction, chunk []byte) bool {
	fault, ok := c.awaitSound(d)
	if !ok {
		return false
	}
	if d == Upstream && fault.LoseAnswersTo != "" && bytes.Contains(chunk, []byte(fault.LoseAnswersTo)) {
		c.losing.Store(true)
	}
	if d == Downstream && c.losing.Load() {
		c.proxy.lost.Add(1)
		return false
	}
	return c.wait(fault, len(chunk))
}

// awaitSound returns the fault once it does not silence the direction.
func (c *conn) awaitSound(d Direction) (Fault, bool) {
	for {
		fault, changed := c.proxy.state()
		if c.stranded.Load() {
			<-c.done
			return fault, false
		}
		if fault.Silence&d == 0 {
			return fault, true
		}
		select {
		case <-c.done:
			return fault, false
		case <-changed:
		}
	}
}

func (c *conn) wait(fault Fault, n int) bool {
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
