package forwarder

import (
	"sync"
	"time"
)

const (
	// patienceWindow is how long the most time that a caller stated on a route is
	// remembered, at least.
	patienceWindow = 5 * time.Second
	// maxPatienceRoutes bounds the routes that are remembered.
	maxPatienceRoutes = 10_000
	// patienceSlack is what stated times may differ by without meaning anything, in
	// milliseconds.
	patienceSlack = 20
)

// patience learns how long the callers of each route wait when they first ask,
// which is the most time that they state. A caller that states less has asked
// before and was refused, and has waited for the difference. Where callers
// state times that vary by themselves, the shorter ones are taken for callers
// that came back; they are served sooner by that.
type patience struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest holds the most time stated in the present window and the one before.
type longest struct {
	now, before int64
	since       time.Time
}

// waited returns how long the caller of a route who has so much time left has
// probably waited, in milliseconds.
func (p *patience) waited(route string, leftMS int64, at time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.routes[route]
	if l == nil {
		if p.routes == nil || len(p.routes) >= maxPatienceRoutes {
			p.routes = make(map[string]*longest)
		}
		l = &longest{since: at}
		p.routes[route] = l
	}
	if at.Sub(l.since) > patienceWindow {
		l.before, l.now, l.since = l.now, 0, at
	}
	l.now = max(l.now, leftMS)
	waited := max(l.now, l.before) - leftMS
	if waited <= patienceSlack {
		return 0
	}
	return waited
}
