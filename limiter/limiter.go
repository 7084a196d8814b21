// Package limiter admits calls at the daemon beside a target, by class and
// partner, so that a target never runs more calls than it has slots.
//
// Each class may have reserved slots that other classes never take. The other
// slots are general: every partner is guaranteed its share of them, and what it
// leaves unused is lent. A lent slot is not taken from a running call: the
// lender's own call gets the next slot that falls free, so it waits for at most
// one running borrowed call. Calls that run long, and postings and scans of
// which nothing is known yet, borrow only from partners that have been silent
// here for activeFor.
//
// A call that is refused has not run.
package limiter

import (
	"context"
	"sync"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// maxLentRun is the longest expected run of a call that may borrow from a
	// partner that is active.
	maxLentRun = 50 * time.Millisecond
	// activeFor is how long after its last call a partner counts as active.
	activeFor = 10 * time.Second
	// runWeight is the weight of the newest run in the mean run time, as 1/n.
	runWeight = 8
)

// Limiter admits calls to one target. Applier and Service must be set before
// the first call.
//
// Invariants: no call is admitted while the calls that run fill the slots; a
// general call never takes a reserved slot; no waiting call that may be
// admitted is left waiting after a method returns.
type Limiter struct {
	Applier *applier.Applier
	// Service returns the service of the target beside this daemon.
	Service func() string
	// Announced returns the slots that the target announced; they lower those of
	// the configuration. 0, or a nil Announced, leaves them.
	Announced func() int
	Counters  Counters

	mu       sync.Mutex
	snapshot *applier.Snapshot
	limits   limits
	// announced is the number of slots that limits were made with.
	announced int
	accounts  []*account

	running         int
	generalRunning  int
	reservedRunning [classCount]int
	meanRun         [classCount]time.Duration
}

// Request describes a call that asks for a slot. Its deadline is that of the
// context.
type Request struct {
	Class, Partner string
}

// Slot is the right to run one call. Release must be called once.
type Slot struct {
	limiter  *Limiter
	account  *account
	class    class
	reserved bool
	start    time.Time
}

// Admit waits for a slot within the limits of the call's class. It fails with
// a *RefusedError; the call must not run then.
func (l *Limiter) Admit(ctx context.Context, r Request) (Slot, error) {
	c, ok := findClass(r.Class)
	if !ok {
		l.Counters.Refused.Add(1)
		return Slot{}, &RefusedError{Cause: CauseUnknownClass}
	}
	if ended(ctx) {
		return Slot{}, l.refuse(CauseDeadline, 0)
	}
	now := time.Now()
	l.mu.Lock()
	l.update()
	a := l.account(r.Partner)
	a.seen[c] = now
	if len(a.queues[c]) == 0 {
		if kind := l.slotFor(a, c, now); kind != slotNone {
			slot := l.take(a, c, kind, now)
			l.mu.Unlock()
			return slot, nil
		}
	}
	w, err := l.enqueue(ctx, a, c, now)
	l.mu.Unlock()
	if err != nil {
		return Slot{}, err
	}
	return l.wait(ctx, w)
}

// Release gives the slot back.
func (s Slot) Release() {
	l := s.limiter
	if l == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if s.reserved {
		s.account.reservedRunning[s.class]--
		l.reservedRunning[s.class]--
	} else {
		s.account.generalRunning--
		l.generalRunning--
	}
	l.observe(s.class, now.Sub(s.start))
	l.update()
	l.dispatch(now)
}

// Update puts the limits of the snapshot in force into effect. Waiting calls
// keep their places. Admissions and releases do so by themselves.
func (l *Limiter) Update() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update()
	l.dispatch(time.Now())
}

func (l *Limiter) observe(c class, run time.Duration) {
	if l.meanRun[c] == 0 {
		l.meanRun[c] = max(run, 1)
		return
	}
	l.meanRun[c] = max(1, l.meanRun[c]+(run-l.meanRun[c])/runWeight)
}

// slotKind says on what ground a call is admitted, best first.
type slotKind int

const (
	slotReserved slotKind = iota
	slotOwn
	slotBorrowed
	slotNone
)

// slotFor says which slot a call may take now. The caller holds mu.
func (l *Limiter) slotFor(a *account, c class, now time.Time) slotKind {
	switch {
	case l.running >= l.limits.slots:
		return slotNone
	case l.mayReserved(a, c, now):
		return slotReserved
	case l.generalRunning >= l.limits.general:
		return slotNone
	case a.generalRunning < a.guarantee:
		return slotOwn
	case l.limits.general-l.generalRunning > l.headRoom(a, c, now):
		return slotBorrowed
	default:
		return slotNone
	}
}

// mayReserved says whether a slot reserved for the class is free for the
// account. Calls of classes with reserved slots may not be able to wait for the
// end of a borrowed call, so that the guaranteed part of a partner is lent only
// while it has sent no call of the class for activeFor.
func (l *Limiter) mayReserved(a *account, c class, now time.Time) bool {
	free := l.limits.reserved[c] - l.reservedRunning[c]
	if free <= 0 || a.reservedRunning[c] < a.reservedGuarantee[c] {
		return free > 0
	}
	for _, other := range l.accounts {
		if other != a && isRecent(other.seen[c], now) {
			free -= max(0, other.reservedGuarantee[c]-other.reservedRunning[c])
		}
	}
	return free > 0
}

func isRecent(t, now time.Time) bool { return !t.IsZero() && now.Sub(t) < activeFor }

// headRoom returns the number of general slots that a call may not borrow. It
// is 0 while no general call runs, so that a waiting call always has a release
// to wait for.
func (l *Limiter) headRoom(a *account, c class, now time.Time) int {
	if l.generalRunning == 0 || !l.runsLong(c) {
		return 0
	}
	kept := 0
	for _, other := range l.accounts {
		if other != a && isRecent(other.lastSeen(), now) {
			kept += max(0, other.guarantee-other.generalRunning)
		}
	}
	return kept
}

// runsLong says whether calls of the class hold a slot longer than maxLentRun.
func (l *Limiter) runsLong(c class) bool {
	if l.meanRun[c] == 0 {
		return classNames[c] == versioner.ClassPosting || classNames[c] == versioner.ClassScan
	}
	return l.meanRun[c] > maxLentRun
}

// take books a slot. The caller holds mu.
func (l *Limiter) take(a *account, c class, kind slotKind, now time.Time) Slot {
	l.running++
	if kind == slotReserved {
		a.reservedRunning[c]++
		l.reservedRunning[c]++
	} else {
		a.generalRunning++
		l.generalRunning++
	}
	l.Counters.Admitted.Add(1)
	if kind == slotBorrowed {
		l.Counters.Borrowed.Add(1)
	}
	return Slot{limiter: l, account: a, class: c, reserved: kind == slotReserved, start: now}
}
