package forwarder

import (
	"sync"
	"time"
)

const (
	// waitWindow is the minimum time for which the maximum of a route is remembered.
	waitWindow = 5 * time.Second
	// maxWaitRoutes bounds the number of routes that are remembered; all are dropped
	// when there would be more.
	maxWaitRoutes = 10_000
	// waitToleranceMS is the difference between stated times that is ignored as noise,
	// in milliseconds.
	waitToleranceMS = 20
)

// waitEstimator estimates how long callers have already waited when a request arrives,
// from the time left that they state. The longest time stated recently on a route is
// assumed to be that of a first request. A caller that states less is assumed to repeat
// a request that was refused, and to have waited for the difference. Where the times of
// first requests vary, the shorter ones are mistaken for repeated requests, and are
// served sooner because of that.
type waitEstimator struct {
	mu     sync.Mutex
	routes map[string]*maxRemaining
}

// maxRemaining holds the longest time left, in milliseconds, that callers of one route
// stated in the current window and in the one before it.
type maxRemaining struct {
	current, previous int64
	windowStart       time.Time
}

// estimateMS returns how long the caller of a request that arrived at the given time
// with remainingMS milliseconds left has probably waited, in milliseconds.
func (w *waitEstimator) estimateMS(route string, remainingMS int64, at time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.routes[route]
	if m == nil {
		if w.routes == nil || len(w.routes) >= maxWaitRoutes {
			w.routes = make(map[string]*maxRemaining)
		}
		m = &maxRemaining{windowStart: at}
		w.routes[route] = m
	}
	if at.Sub(m.windowStart) > waitWindow {
		m.previous, m.current, m.windowStart = m.current, 0, at
	}
	m.current = max(m.current, remainingMS)
	waited := max(m.current, m.previous) - remainingMS
	if waited <= waitToleranceMS {
		return 0
	}
	return waited
}
