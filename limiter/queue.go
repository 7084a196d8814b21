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
	CauseExpectedRun  = "expected-run"
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

// maxObjectiveQueue bounds the calls with an objective that wait at one target;
// how long they may wait bounds them further.
const maxObjectiveQueue = 1000

// waiter is a call that waits for a slot.
type waiter struct {
	account *account
	class   class
	level   int
	// expires is when the call gives up, because a later start would be of no use.
	expires time.Time
	// isNested says that a target makes the call while it runs another one.
	isNested bool
	// isLate says that the answer will miss its objective anyhow.
	isLate bool
	// hasObjective says that the call is refused as soon as it can't be expected
	// to start in time.
	hasObjective bool
	// done gets the slot or the refusal; it has room for one.
	done chan verdict
}

// verdict ends the wait of a call.
type verdict struct {
	slot Slot
	err  error
}

// goesBefore says whether w gets a slot before other.
func (w *waiter) goesBefore(other *waiter) bool {
	if w.level != other.level {
		return w.level < other.level
	}
	if w.isNested != other.isNested {
		// Its parent holds a slot elsewhere for as long as it waits.
		return w.isNested
	}
	if w.isLate != other.isLate {
		return other.isLate
	}
	return w.expires.Before(other.expires)
}

// enqueue lets a call wait, or refuses it at once. The caller holds mu.
func (l *Limiter) enqueue(ctx context.Context, a *account, c class, r Request, now time.Time) (*waiter, error) {
	w := &waiter{account: a, class: c, level: r.level(), hasObjective: r.Objective > 0, isNested: r.IsNested, done: make(chan verdict, 1)}
	length := l.limits.queueLength[c]
	if w.hasObjective {
		length = maxObjectiveQueue
		w.expires, w.isLate = l.latestStart(ctx, c, r, now)
	} else {
		limit := l.limits.queueWait[c]
		if length == 0 || limit == 0 {
			return nil, l.refuse(CauseNoSlot, l.meanRun[c])
		}
		w.expires = now.Add(limit)
		if deadline, ok := ctx.Deadline(); ok && deadline.Before(w.expires) {
			w.expires = deadline
		}
	}
	expected := l.expectedWait(w)
	switch {
	case len(a.queues[c]) >= length:
		return nil, l.refuse(CauseQueueFull, expected)
	case now.Add(l.mayBecome(w, r, expected)).After(w.expires):
		return nil, l.refuse(CauseExpectedWait, l.returnAfter(w, expected, now))
	}
	q := a.queues[c]
	at := len(q)
	for at > 0 && w.goesBefore(q[at-1]) {
		at--
	}
	a.queues[c] = slices.Insert(q, at, w)
	l.Counters.Queued.Add(1)
	return w, nil
}

// overtaking is by how much the expected wait of a call with an objective may
// grow while it waits, in percent: under overload callers that come back go
// before it, and one that is refused should learn it at once.
const overtaking = 200

// mayBecome returns how long the wait of a call may become that is expected to
// wait for a time.
func (l *Limiter) mayBecome(w *waiter, r Request, expected time.Duration) time.Duration {
	if !w.hasObjective || r.IsNested {
		return expected
	}
	return expected * overtaking / 100
}

// latestStart returns when a call with an objective must start at the latest,
// and whether it will be late anyhow. A nested call may start while its deadline
// can be kept.
func (l *Limiter) latestStart(ctx context.Context, c class, r Request, now time.Time) (time.Time, bool) {
	run := l.runOf(c, r.level(), now)
	left := r.Objective - r.Waited
	// Under overload calls wait as long as they may: with the mean alone taken off,
	// half of their answers would be late.
	wait := max(left-run*runMargin/100, (left-run)*closeShare/100)
	isLate := left < run
	if isLate {
		wait = r.Objective * lateShare / 100
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(wait), isLate
	}
	if r.IsNested {
		return deadline.Add(-run), false
	}
	return now.Add(min(wait, deadline.Sub(now)-run)), isLate
}

const (
	// runMargin is how long a run is taken to be, in percent of the mean, where the
	// answer must come in time: about nine in ten runs are no longer.
	runMargin = 160
	// closeShare is the part of what the mean run leaves that a call may wait where
	// runMargin leaves less, in percent.
	closeShare = 25
	// lateShare is how long a call that is late anyhow may wait for a slot that
	// nobody else wants, in percent of its objective.
	lateShare = 10
)

// returnAfter returns when a refused call may come back: once the queue has
// shrunk to what it could have waited for.
func (l *Limiter) returnAfter(w *waiter, expected time.Duration, now time.Time) time.Duration {
	if !w.hasObjective {
		return expected
	}
	return max(expected-max(0, w.expires.Sub(now)), l.meanRun[w.class]/time.Duration(max(1, l.limits.slots)))
}

// expectedWait estimates the wait of a call from the calls of its partner that
// go before it and the pace at which the partner's slots fall free.
func (l *Limiter) expectedWait(w *waiter) time.Duration {
	a := w.account
	work := l.meanRun[w.class]
	for c := range classCount {
		for _, other := range a.queues[c] {
			if !w.goesBefore(other) {
				work += l.meanRun[c]
			}
		}
	}
	return work / time.Duration(l.pace(w))
}

// pace returns the slots that fall free for calls like this one: what those of
// higher priority hold will mostly go to their like.
func (l *Limiter) pace(w *waiter) int {
	slots := max(w.account.guarantee, w.account.generalRunning)
	if w.hasObjective {
		for level := range w.level {
			slots -= l.runningBy[level]
		}
	}
	return max(1, slots)
}

func (l *Limiter) wait(ctx context.Context, w *waiter) (Slot, error) {
	timer := time.NewTimer(time.Until(w.expires))
	defer timer.Stop()
	select {
	case v := <-w.done:
		return v.slot, v.err
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
		v := <-w.done
		if v.err != nil {
			return Slot{}, v.err
		}
		return l.lateSlot(ctx, v.slot)
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
		w.done <- verdict{slot: l.take(w.account, w.class, w.level, kind, now)}
	}
}

// shed refuses the calls with an objective that can no longer be expected to
// start in time, since others went before them or runs became longer. The
// caller holds mu.
func (l *Limiter) shed(now time.Time) {
	for _, a := range l.accounts {
		for c := range a.queues {
			var late []*waiter
			for _, w := range a.queues[c] {
				if w.hasObjective && now.Add(l.expectedWait(w)*shedShare/100).After(w.expires) {
					late = append(late, w)
				}
			}
			for _, w := range late {
				w.done <- verdict{err: l.refuse(CauseExpectedWait, l.returnAfter(w, l.expectedWait(w), now))}
			}
			a.queues[c] = slices.DeleteFunc(a.queues[c], func(w *waiter) bool { return slices.Contains(late, w) })
		}
	}
}

// shedShare is the part of its expected wait, in percent, that a waiting call
// must still be able to wait.
const shedShare = 60

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
	return w.goesBefore(other)
}

func (a *account) borrowed() int { return a.generalRunning - a.guarantee }
