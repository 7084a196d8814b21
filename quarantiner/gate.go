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

// Gate admits one suspected request on trial at a time to a target: if the target ends, no
// other can have been the cause, and its repeats wait for the verdict. The calls of the zero
// group, which are not on trial, run beside each other. Calls that wait are admitted in the
// order in which they came. The zero value is open.
type Gate struct {
	mu      sync.Mutex
	running int
	// group is the one that runs, if running is above 0.
	group   Digest
	waiting []*waiter
}

// waiter is a call that waits at a gate. Its channel is closed when it is admitted.
type waiter struct {
	group    Digest
	admitted chan struct{}
}

// Enter waits until a call of the group may run. It fails with a *GateFullError, or with the error of
// the context.
func (g *Gate) Enter(ctx context.Context, group Digest) error {
	g.mu.Lock()
	if g.running == 0 || g.group == group && group.admitsRepeats() && len(g.waiting) == 0 {
		g.running, g.group = g.running+1, group
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) >= maxWaiting {
		defer g.mu.Unlock()
		return &GateFullError{Waiting: len(g.waiting)}
	}
	w := &waiter{group: group, admitted: make(chan struct{})}
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

// Leave ends one call that was admitted.
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
	g.group = g.waiting[0].group
	for len(g.waiting) > 0 && g.waiting[0].group == g.group {
		close(g.waiting[0].admitted)
		g.running++
		g.waiting = g.waiting[1:]
		if !g.group.admitsRepeats() {
			return
		}
	}
}

// admitsRepeats reports whether calls of the group run beside each other.
func (d Digest) admitsRepeats() bool { return d == Digest{} }
