package picker

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostTargets is the number of targets of a failure domain that must be
	// unreachable within lostWindow, with no answer from any target of the domain
	// between them, for the domain to count as lost.
	lostTargets = 3
	lostWindow  = 3 * time.Second
	// lostTime is how long a lost domain gets no call; it doubles up to
	// maxLostTime while probes fail.
	lostTime    = 2 * time.Second
	maxLostTime = 30 * time.Second
)

// domain is what this daemon knows of the reachability of a failure domain,
// over all services.
type domain struct {
	lost    atomic.Bool
	until   atomic.Int64
	probing atomic.Bool
	// suspects is the size of unreachable.
	suspects atomic.Int64

	mu sync.Mutex
	// unreachable holds when targets could not be reached, of the last
	// lostWindow.
	unreachable map[*target]instant
	losses      int
}

func (p *Picker) domain(name string) *domain {
	if d, ok := p.domains.Load(name); ok {
		return d.(*domain)
	}
	d, _ := p.domains.LoadOrStore(name, new(domain))
	return d.(*domain)
}

// fail books that a target could not be reached, by a probe or another call, and
// says whether the domain is lost by that. Once it is lost, the probes alone tell
// more: the other calls were under way before.
func (d *domain) fail(t *target, isProbe bool, now instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost.Load() {
		if isProbe {
			d.extend(now)
		}
		return false
	}
	if d.unreachable == nil {
		d.unreachable = make(map[*target]instant)
	}
	d.unreachable[t] = now
	for other, at := range d.unreachable {
		if now.sub(at) > lostWindow {
			delete(d.unreachable, other)
		}
	}
	d.suspects.Store(int64(len(d.unreachable)))
	if len(d.unreachable) < lostTargets {
		return false
	}
	d.extend(now)
	d.lost.Store(true)
	return true
}

func (d *domain) extend(now instant) {
	d.until.Store(int64(now.add(min(maxLostTime, lostTime<<min(d.losses, 4)))))
	d.losses++
	d.probing.Store(false)
}

// answered books that a target of the domain answered.
func (d *domain) answered() {
	if d.suspects.Load() == 0 && !d.lost.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unreachable)
	d.suspects.Store(0)
	d.losses = 0
	d.probing.Store(false)
	d.lost.Store(false)
}
