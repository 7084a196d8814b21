package quarantiner

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// maxWaiting bounds the calls that wait at a gate.
const maxWaiting = 32

// GateFullError reports that too many calls of suspects wait for their turn already.
type GateFullError struct{ Waiting int }

// Error implements error.
func (e *GateFullError) Error() string {
	return fmt.Sprintf("%d calls of suspected requests wait already", e.Waiting)
}

// Gate admits one suspected request at a time to a target, but any number of its repeats: if
// the target ends, only one suspect can have been the cause. Others wait in the order in which
// they came. The zero value is open.
type Gate struct {
	mu      sync.Mutex
	running int
	// request is the one that runs, if running is above 0.
	request Digest
	waiting []*waiter
}

// waiter is a call that waits at a gate. Its channel is closed when it is admitted.
type waiter struct {
	request  Digest
	admitted chan struct{}
}

// Enter waits until the request may run. It fails with a *GateFullError, or with the error of
// the context.
func (g *Gate) Enter(ctx context.Context, request Digest) error {
	g.mu.Lock()
	if g.running == 0 || g.request == request && len(g.waiting) == 0 {
		g.running, g.request = g.running+1, request
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) >= maxWaiting {
		defer g.mu.Unlock()
		return &GateFullError{Waiting: len(g.waiting)}
	}
	w := &waiter{request: request, admitted: make(chan struct{})}
	g.waiting = append(g.waiting, w)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		g.leave()
	default:
		g.waiting = slices.DeleteFunc(g.waiting, func(other *waiter) bool { return other == w })
	}
	return ctx.Err()
}

// Leave ends one run of the request that runs.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leave()
}

// leave implements Leave. The caller holds mu.
func (g *Gate) leave() {
	if g.running--; g.running > 0 || len(g.waiting) == 0 {
		return
	}
	g.request = g.waiting[0].request
	for len(g.waiting) > 0 && g.waiting[0].request == g.request {
		close(g.waiting[0].admitted)
		g.running++
		g.waiting = g.waiting[1:]
	}
}
