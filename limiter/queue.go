package limiter

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Causes of refusals, as answers and problem documents name them.
const (
	CauseNoSlot       = "no-slot"
	CauseQueueFull    = "queue-full"
	CauseExpectedWait = "expected-wait"
	CauseQueueTime    = "queue-time"
	CauseDeadline     = "deadline-passed"
	CauseUnknownClass = "unknown-class"
)

// RefusedError reports a call that was not admitted and has not run.
type RefusedError struct {
	// Cause is one of the Cause constants.
	Cause string
	// RetryAfter is when a slot may be expected; 0 when waiting does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call not admitted: %s, retry after %v", e.Cause, e.RetryAfter)
}

// waiter is a call that waits for a slot.
type waiter struct {
	account *account
	class   class
	expires time.Time
	// admitted gets the slot; it has room for one.
	admitted chan Slot
}

// enqueue lets a call wait, or refuses it at once. The caller holds mu.
func (l *Limiter) enqueue(ctx context.Context, a *account, c class, now time.Time) (*waiter, error) {
	length, limit := l.limits.queueLength[c], l.limits.queueWait[c]
	if length == 0 || limit == 0 {
		return nil, l.refuse(CauseNoSlot, l.meanRun[c])
	}
	w := &waiter{account: a, class: c, expires: now.Add(limit), admitted: make(chan Slot, 1)}
	cause := CauseQueueFull
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(w.expires) {
		w.expires = deadline
	}
	expected := l.expectedWait(w)
	if len(a.queues[c]) < length {
		cause = CauseExpectedWait
		if !now.Add(expected).After(w.expires) {
			a.queues[c] = append(a.queues[c], w)
			l.Counters.Queued.Add(1)
			return w, nil
		}
	}
	return nil, l.refuse(cause, expected)
}

// expectedWait estimates the wait of a call from the calls of its partner that
// go before it and the pace at which the partner's slots fall free.
func (l *Limiter) expectedWait(w *waiter) time.Duration {
	a := w.account
	work := l.meanRun[w.class]
	for c := range classCount {
		for _, other := range a.queues[c] {
			if !other.expires.After(w.expires) {
				work += l.meanRun[c]
			}
		}
	}
	return work / time.Duration(max(1, a.guarantee, a.generalRunning))
}

func (l *Limiter) wait(ctx context.Context, w *waiter) (Slot, error) {
	timer := time.NewTimer(time.Until(w.expires))
	defer timer.Stop()
	select {
	case slot := <-w.admitted:
		return slot, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	q := &w.account.queues[w.class]
	i := slices.Index(*q, w)
	if i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
	l.mu.Unlock()
	if i < 0 {
		return l.lateSlot(ctx, <-w.admitted)
	}
	if ended(ctx) {
		return Slot{}, l.refuse(CauseDeadline, 0)
	}
	return Slot{}, l.refuse(CauseQueueTime, l.limitOf(w.class))
}

// lateSlot decides on a slot that was given while the wait ended.
func (l *Limiter) lateSlot(ctx context.Context, slot Slot) (Slot, error) {
	if !ended(ctx) {
		return slot, nil
	}
	slot.Release()
	return Slot{}, l.refuse(CauseDeadline, 0)
}

// ended says whether the context is done or its deadline has come. The two may
// differ for a moment, since a timer of its own ends the context.
func ended(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

func (l *Limiter) limitOf(c class) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.queueWait[c]
}

func (l *Limiter) refuse(cause string, after time.Duration) *RefusedError {
	l.Counters.Refused.Add(1)
	if cause == CauseDeadline {
		l.Counters.Expired.Add(1)
	}
	return &RefusedError{Cause: cause, RetryAfter: after}
}

// dispatch gives free slots to the calls that wait. The caller holds mu.
func (l *Limiter) dispatch(now time.Time) {
	for {
		w, kind := l.next(now)
		if w == nil {
			return
		}
		w.account.queues[w.class] = w.account.queues[w.class][1:]
		w.admitted <- l.take(w.account, w.class, kind, now)
	}
}

// next returns the waiting call that gets the next slot: one with a right to
// it before one that borrows, the partner that borrows least before others,
// then the call that could wait the shortest time.
func (l *Limiter) next(now time.Time) (*waiter, slotKind) {
	var best *waiter
	bestKind := slotNone
	for _, a := range l.accounts {
		for c := range class(classCount) {
			if len(a.queues[c]) == 0 {
				continue
			}
			w := a.queues[c][0]
			kind := l.slotFor(a, c, now)
			if kind < bestKind || kind == bestKind && best != nil && before(w, best, kind) {
				best, bestKind = w, kind
			}
		}
	}
	return best, bestKind
}

func before(w, other *waiter, kind slotKind) bool {
	if kind == slotBorrowed {
		lent, otherLent := w.account.borrowed(), other.account.borrowed()
		if lent != otherLent {
			return lent < otherLent
		}
	}
	return w.expires.Before(other.expires)
}

func (a *account) borrowed() int { return a.generalRunning - a.guarantee }
