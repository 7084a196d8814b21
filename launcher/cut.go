package launcher

import (
	"net"
	"strings"
	"sync"

	"bambooweir.example/bambooweir/faulter"
)

// CutOff silences the links between the named daemons and all others, in both directions, until
// HealPeers. The links to the store and within either part go on. It needs the proxies that
// DirectCalls leaves out, and an operating system that tells whose a connection is.
func (f *Fleet) CutOff(names []string) {
	isCut := make(map[string]bool)
	for _, name := range names {
		isCut[name] = true
	}
	d := &dialerTable{find: f.findDialers, ports: f.findDialers()}
	f.eachPeerLink(func(owner string, p *faulter.Proxy) {
		p.Set(faulter.Fault{Silence: faulter.Both, IsHit: func(client net.Addr) bool {
			return isCut[d.dialer(client)] != isCut[owner]
		}})
	})
}

// HealPeers ends CutOff.
func (f *Fleet) HealPeers() {
	f.eachPeerLink(func(_ string, p *faulter.Proxy) { p.Set(faulter.Fault{}) })
}

// eachPeerLink calls do with the proxy of the links to each daemon.
func (f *Fleet) eachPeerLink(do func(owner string, p *faulter.Proxy)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.links {
		if owner, ok := strings.CutSuffix(name, ":peers"); ok {
			do(owner, p)
		}
	}
}

// findDialers returns which daemon has which local port open.
func (f *Fleet) findDialers() map[int]string {
	f.mu.Lock()
	pids := make(map[string]int)
	for name := range f.daemons {
		if p, ok := f.processes[name]; ok {
			pids[name] = p.cmd.Process.Pid
		}
	}
	f.mu.Unlock()
	return dialers(pids)
}

// dialerTable tells which daemon opened a connection.
type dialerTable struct {
	find func() map[int]string

	mu    sync.Mutex
	ports map[int]string
}

// dialer returns the daemon whose end of a connection has the address, or "".
func (d *dialerTable) dialer(client net.Addr) string {
	port := portOf(client)
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.ports[port]; !ok {
		d.ports = d.find()
		if _, ok := d.ports[port]; !ok {
			d.ports[port] = ""
		}
	}
	return d.ports[port]
}

// portOf returns the port of a TCP address.
func portOf(addr net.Addr) int {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.Port
	}
	return 0
}
