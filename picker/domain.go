package picker

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minUnreachableTargets is the number of targets of a failure domain that
	// must be unreachable within unreachableWindow, with no answer from any
	// target of the domain in between, for the domain to count as lost.
	minUnreachableTargets = 3
	unreachableWindow     = 3 * time.Second
	// initialLostPeriod is how long a lost domain gets no calls before the first
	// probe. The period doubles up to maxLostPeriod while probes fail.
	initialLostPeriod = 2 * time.Second
	maxLostPeriod     = 30 * time.Second
)

// domain tracks whether the targets of a failure domain can be reached from this
// daemon, across all services.
type domain struct {
	// lost is set while the domain gets no calls other than probes.
	lost atomic.Bool
	// probeAt is the instant from which a lost domain may be probed.
	probeAt atomic.Int64
	// probing is set while a probe of the lost domain is in flight.
	probing atomic.Bool
	// unreachableCount is len(unreachable), for reading without mu.
	unreachableCount atomic.Int64

	mu sync.Mutex
	// unreachable holds when each target was last found unreachable, for the
	// targets found so within unreachableWindow.
	unreachable map[*target]instant
	// lostPeriods is the number of lost periods since a target of the domain
	// last answered.
	lostPeriods int
}

// domain returns the state of the named failure domain and creates it if needed.
func (p *Picker) domain(name string) *domain {
	if d, ok := p.domains.Load(name); ok {
		return d.(*domain)
	}
	d, _ := p.domains.LoadOrStore(name, new(domain))
	return d.(*domain)
}

// recordUnreachable records that a call or probe could not reach a target and
// reports whether the domain is lost as a result. While the domain is lost, only
// failed probes prolong the loss, because other calls that fail then were in
// flight before it.
func (d *domain) recordUnreachable(t *target, isProbe bool, now instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost.Load() {
		if isProbe {
			d.startLostPeriod(now)
		}
		return false
	}
	if d.unreachable == nil {
		d.unreachable = make(map[*target]instant)
	}
	d.unreachable[t] = now
	for other, at := range d.unreachable {
		if now.sub(at) > unreachableWindow {
			delete(d.unreachable, other)
		}
	}
	d.unreachableCount.Store(int64(len(d.unreachable)))
	if len(d.unreachable) < minUnreachableTargets {
		return false
	}
	d.startLostPeriod(now)
	d.lost.Store(true)
	return true
}

// startLostPeriod postpones the next probe by a period that doubles with each
// further one. After four doublings maxLostPeriod is exceeded, so the shift stops
// there. The caller holds mu.
func (d *domain) startLostPeriod(now instant) {
	d.probeAt.Store(int64(now.add(min(maxLostPeriod, initialLostPeriod<<min(d.lostPeriods, 4)))))
	d.lostPeriods++
	d.probing.Store(false)
}

// recordAnswer records that a target of the domain answered, which ends a loss.
func (d *domain) recordAnswer() {
	if d.unreachableCount.Load() == 0 && !d.lost.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unreachable)
	d.unreachableCount.Store(0)
	d.lostPeriods = 0
	d.probing.Store(false)
	d.lost.Store(false)
}
