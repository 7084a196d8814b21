package launcher

import (
	"maps"
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
	// finding is held during find, so that the connections that are known don't wait for it.
	finding sync.Mutex

	mu    sync.Mutex
	ports map[int]string
}

// dialer returns the daemon whose end of a connection has the address, or "".
func (d *dialerTable) dialer(client net.Addr) string {
	port := portOf(client)
	if name, ok := d.known(port); ok {
		return name
	}
	d.finding.Lock()
	defer d.finding.Unlock()
	if name, ok := d.known(port); ok {
		return name
	}
	found := d.find()
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.Copy(d.ports, found)
	d.ports[port] = found[port]
	return found[port]
}

// known returns the daemon that has the port open, if it has been found.
func (d *dialerTable) known(port int) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name, ok := d.ports[port]
	return name, ok
}

// portOf returns the port of a TCP address.
func portOf(addr net.Addr) int {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.Port
	}
	return 0
}
