package limiter

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Causes of refusals, as they appear in answers and problem documents.
const (
	CauseNoSlot       = "no-slot"         // no slot is free and the class has no queue
	CauseQueueFull    = "queue-full"      // the queue has reached its maximum length
	CauseExpectedWait = "expected-wait"   // the call would wait too long
	CauseQueueTime    = "queue-time"      // the call has waited for as long as it may
	CauseExpectedRun  = "expected-run"    // the call would be cut off by its deadline
	CauseSlowTarget   = "slow-target"     // another target can probably meet the objective, this one can't
	CauseDeadline     = "deadline-passed" // the deadline has passed or the caller has left
	CauseUnknownClass = "unknown-class"
)

// RefusedError reports a call that was not admitted and has not run.
type RefusedError struct {
	// Cause is one of the Cause constants.
	Cause string
	// RetryAfter is how long from now a slot may be expected; 0 if retrying later
	// does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call not admitted: %s, retry after %v", e.Cause, e.RetryAfter)
}

// maxObjectiveQueue is the maximum length of a partner's queue of one class for
// calls with an objective. The time that they may wait limits the queue further.
const maxObjectiveQueue = 1000

// waiter is a call that waits for a slot.
type waiter struct {
	account *account
	class   class
	request Request
	order   precedence
	// expires is when the call stops waiting, because starting later would be
	// useless.
	expires time.Time
	// isNested is set if a target makes the call while it runs another one.
	isNested bool
	// isOverShare is set if the call's tenant has lately used more than its share of the target.
	isOverShare bool
	// isLate is set if the answer will miss its objective even without waiting.
	isLate bool
	// objective is the call's latency objective, 0 for none. A call with an objective is
	// refused as soon as it can no longer be expected to start in time.
	objective time.Duration
	// result receives the slot or the refusal; its buffer has room for one.
	result chan admitResult
}

// admitResult is the outcome of a call's wait: a slot or a refusal.
type admitResult struct {
	slot Slot
	err  error
}

// goesBefore reports whether w gets a slot before other.
func (w *waiter) goesBefore(other *waiter) bool {
	if w.order != other.order {
		return w.order.goesBefore(other.order)
	}
	if w.isNested != other.isNested {
		// The parent of a nested call occupies a slot elsewhere until it returns.
		return w.isNested
	}
	if w.isOverShare != other.isOverShare {
		return other.isOverShare
	}
	if w.isLate != other.isLate {
		return other.isLate
	}
	return w.expires.Before(other.expires)
}

// enqueue adds a call to the queue of its partner and class, or refuses it at once
// if it cannot be expected to get a slot in time. The caller holds mu.
func (l *Limiter) enqueue(ctx context.Context, a *account, c class, r Request, now time.Time) (*waiter, error) {
	w := &waiter{
		account: a, class: c, request: r, order: r.precedence(), objective: r.Objective, isNested: r.IsNested,
		isOverShare: l.tenants.isOverShare(r.Tenant, l.runs.ofClass[c], now), result: make(chan admitResult, 1),
	}
	maxLength := l.limits.queueLength[c]
	if w.objective > 0 {
		maxLength = maxObjectiveQueue
		w.expires, w.isLate = l.latestStart(ctx, c, r, now)
	} else {
		limit := l.limits.queueWait[c]
		if maxLength == 0 || limit == 0 {
			return nil, l.refuse(CauseNoSlot, max(l.gate.wait(0, now), l.runs.means(now)[c]))
		}
		w.expires = now.Add(limit)
		if deadline, ok := ctx.Deadline(); ok && deadline.Before(w.expires) {
			w.expires = deadline
		}
	}
	means := l.runs.means(now)
	wait := l.expectedWait(w, &means, now)
	switch {
	case len(a.queues[c]) >= maxLength:
		return nil, l.refuse(CauseQueueFull, max(wait.expected(), wait.nextEnd))
	case now.Add(max(l.worstExpectedWait(w, r, wait.slot), wait.nextEnd, wait.worstTurn)).After(w.expires):
		return nil, l.refuse(CauseExpectedWait, max(wait.nextEnd, wait.worstTurn-w.expires.Sub(now), l.retryAfter(w, wait.expected(), means[c], now)))
	}
	q := a.queues[c]
	at := len(q)
	for at > 0 && w.goesBefore(q[at-1]) {
		at--
	}
	a.queues[c] = slices.Insert(q, at, w)
	l.Counters.Queued.Add(1)
	if w.isOverShare {
		l.Counters.OverShare.Add(1)
	}
	return w, nil
}

// worstWaitPercent is the worst case of the wait of a call with an objective, in
// percent of its expected wait. The wait grows under overload, since retried calls
// go before it, and a call that will be refused should be refused at once.
const worstWaitPercent = 200

// worstExpectedWait returns how long a call may have to wait, given its expected
// wait.
func (l *Limiter) worstExpectedWait(w *waiter, r Request, expected time.Duration) time.Duration {
	if w.objective == 0 || r.IsNested {
		return expected
	}
	return expected * worstWaitPercent / 100
}

// latestStart returns the latest time at which a call with an objective may start,
// and whether it would miss the objective even if it started now. A nested call
// may start as long as it can meet its deadline. The caller holds mu.
func (l *Limiter) latestStart(ctx context.Context, c class, r Request, now time.Time) (time.Time, bool) {
	run := l.runs.recent(c, r.level(), now)
	left := r.Objective - r.Waited
	// Under overload, calls wait until their latest start. If only the mean run time
	// were subtracted, half of their answers would be late.
	wait := max(left-run*runMarginPercent/100, (left-run)*minWaitPercent/100)
	isLate := left < run
	if isLate {
		wait = r.Objective * lateWaitPercent / 100
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
	// runMarginPercent is the run time to plan for, in percent of the mean, so that
	// the answer meets the objective: about nine in ten runs take no longer.
	runMarginPercent = 160
	// minWaitPercent is the least that a call may wait, in percent of the time that
	// remains after a mean run. It applies where runMarginPercent leaves less.
	minWaitPercent = 25
	// lateWaitPercent is how long a call that is already late may wait for a slot
	// that no other call needs, in percent of its objective.
	lateWaitPercent = 10
)

// retryAfter returns how long the caller of a refused call should wait before it
// retries: until the queue is short enough that the call could have waited in it.
func (l *Limiter) retryAfter(w *waiter, expected, meanRun time.Duration, now time.Time) time.Duration {
	if w.objective == 0 {
		return expected
	}
	return max(expected-max(0, w.expires.Sub(now)), meanRun/time.Duration(max(1, l.limits.slots)))
}

// waitEstimate holds the times that a call is expected to wait, from now.
type waitEstimate struct {
	// slot is the wait for a slot, by the mean run times.
	slot time.Duration
	// nextEnd is the time until enough running calls have ended: calls that began together
	// also end together.
	nextEnd time.Duration
	// turn is the wait under the target's rate limit, and worstTurn the wait if more calls
	// go before this one.
	turn, worstTurn time.Duration
}

// expected returns the expected wait.
func (e waitEstimate) expected() time.Duration { return max(e.slot, e.turn) }

// expectedWait estimates the wait of a call from the mean run times of its
// partner's calls that go before it and the number of slots that serve them, and from
// the target's rate limit. The caller holds mu.
func (l *Limiter) expectedWait(w *waiter, means *[classCount]time.Duration, now time.Time) waitEstimate {
	a := w.account
	ahead, work := 0, means[w.class]
	for c := range classCount {
		for _, other := range a.queues[c] {
			if other != w && !w.goesBefore(other) {
				work += means[c]
				ahead++
			}
		}
	}
	slot := work / time.Duration(l.usableSlots(w))
	if !l.gate.isLimited() {
		return waitEstimate{slot: slot, nextEnd: l.runs.nextEnd(ahead, means, now)}
	}
	aheadAtGate := l.aheadAtGate(w, ahead)
	worstAhead := aheadAtGate
	if w.objective > 0 && !w.isNested {
		worstAhead = aheadAtGate * worstWaitPercent / 100
	}
	e := waitEstimate{turn: l.gate.wait(aheadAtGate, now), worstTurn: l.gate.wait(worstAhead, now)}
	if free := l.limits.slots - l.running; ahead >= free {
		e.slot, e.nextEnd = slot, l.runs.nextEnd(ahead-max(0, free), means, now)
	}
	return e
}

// usableSlots returns the number of slots that calls like w can expect to get when
// they are released, at least 1. It excludes those held by calls of higher
// priority, which mostly pass to other calls of higher priority.
func (l *Limiter) usableSlots(w *waiter) int {
	slots := max(w.account.guarantee, w.account.generalRunning)
	if w.objective > 0 {
		own := w.order.counted()
		for rank := range own.rank + 1 {
			for level := range priorityCount {
				if p := (precedence{rank: rank, level: level}); p.goesBefore(own) {
					slots -= l.runningByOrder[rank][level]
				}
			}
		}
	}
	return max(1, slots)
}

// wait waits until the call gets a slot, is refused, expires or its context ends.
func (l *Limiter) wait(ctx context.Context, w *waiter) (Slot, error) {
	timer := time.NewTimer(time.Until(w.expires))
	defer timer.Stop()
	select {
	case res := <-w.result:
		return res.slot, res.err
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	// The call's turn may come at the moment at which it stops waiting.
	l.dispatch(time.Now())
	q := &w.account.queues[w.class]
	i := slices.Index(*q, w)
	if i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
	l.mu.Unlock()
	if i < 0 {
		res := <-w.result
		if res.err != nil {
			return Slot{}, res.err
		}
		return l.acceptOrRelease(ctx, res.slot)
	}
	if isExpired(ctx) {
		return Slot{}, l.refuse(CauseDeadline, 0)
	}
	return Slot{}, l.refuse(CauseQueueTime, l.queueWaitOf(w.class))
}

// acceptOrRelease handles a slot that was granted while the wait was ending. It
// returns the slot, or releases it and refuses the call if ctx has expired.
func (l *Limiter) acceptOrRelease(ctx context.Context, slot Slot) (Slot, error) {
	if !isExpired(ctx) {
		return slot, nil
	}
	slot.Release()
	return Slot{}, l.refuse(CauseDeadline, 0)
}

// isExpired reports whether the context is done or its deadline has passed. These
// may differ for a moment, since the context is ended by a timer of its own.
func isExpired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// queueWaitOf returns the longest wait of calls of the class without an objective.
func (l *Limiter) queueWaitOf(c class) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.queueWait[c]
}

// refuse counts a refusal and returns its error.
func (l *Limiter) refuse(cause string, after time.Duration) *RefusedError {
	l.Counters.Refused.Add(1)
	if cause == CauseDeadline {
		l.Counters.Expired.Add(1)
	}
	return &RefusedError{Cause: cause, RetryAfter: after}
}

// dispatch gives free slots to waiting calls, as far as the target's rate limit allows.
// The caller holds mu.
func (l *Limiter) dispatch(now time.Time) {
	for {
		if wait := l.gate.wait(0, now); wait > 0 {
			l.dispatchLater(wait)
			return
		}
		w, kind := l.nextWaiter(now)
		if w == nil {
			return
		}
		w.account.queues[w.class] = w.account.queues[w.class][1:]
		w.result <- admitResult{slot: l.takeSlot(w.account, w.class, &w.request, kind, now)}
	}
}

// shed refuses the waiting calls with an objective that can no longer be expected
// to start in time, because other calls went before them or run times increased.
// The caller holds mu.
func (l *Limiter) shed(now time.Time) {
	means := l.runs.means(now)
	for _, a := range l.accounts {
		for c := range a.queues {
			// The waits of those behind a call that is refused become shorter.
			for i := 0; i < len(a.queues[c]); {
				w := a.queues[c][i]
				expected := l.expectedWait(w, &means, now).expected()
				if w.objective == 0 || !now.Add(expected).After(w.expires) {
					i++
					continue
				}
				a.queues[c] = slices.Delete(a.queues[c], i, i+1)
				w.result <- admitResult{err: l.refuse(CauseExpectedWait, l.retryAfter(w, expected, means[c], now))}
			}
		}
	}
}

// nextWaiter returns the waiting call that gets the next slot, and the kind of the
// slot, or nil if no waiting call may be admitted. Calls are preferred in the order
// of slotKind, so those that borrow a slot come last. Among borrowing calls, those
// of the partner that borrows least go first. goesBefore decides all other ties.
// The caller holds mu.
func (l *Limiter) nextWaiter(now time.Time) (*waiter, slotKind) {
	var best *waiter
	bestKind := slotNone
	for _, a := range l.accounts {
		for c := range class(classCount) {
			if len(a.queues[c]) == 0 {
				continue
			}
			w := a.queues[c][0]
			kind := l.slotFor(a, c, now)
			if kind < bestKind || kind == bestKind && best != nil && l.takesSlotBefore(w, best, kind) {
				best, bestKind = w, kind
			}
		}
	}
	return best, bestKind
}

// takesSlotBefore reports whether w gets a slot of the given kind before other.
func (l *Limiter) takesSlotBefore(w, other *waiter, kind slotKind) bool {
	if l.gate.isLimited() && w.account != other.account {
		return l.virtualTimeOf(w.account) < l.virtualTimeOf(other.account)
	}
	if kind == slotBorrowed {
		borrowed, otherBorrowed := w.account.borrowed(), other.account.borrowed()
		if borrowed != otherBorrowed {
			return borrowed < otherBorrowed
		}
	}
	return w.goesBefore(other)
}

// borrowed returns the number of general slots that the partner uses beyond its
// guarantee; it is negative if the partner uses fewer.
func (a *account) borrowed() int { return a.generalRunning - a.guarantee }
