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
// Calls that state a latency objective wait by priority, then by who could wait
// the shortest time, and only while they may be expected to meet it: under a
// lasting overload a longer queue would make every answer late and serve nobody
// more. Callers that were refused and came back go before others by that, while
// they can be answered in time; calls that are late already go last. A call that
// a target makes while it runs another one may wait up to its deadline, since
// refusing it wastes what has been spent on its parent.
//
// A call that is refused has not run. Where the link of the instance is narrow,
// an Intake decides before that which large bodies come over it, and when.
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
	runs            [classCount][priorityCount]runTime
	// runningBy counts the running calls by priority.
	runningBy [priorityCount]int
}

// priorityCount is the number of priorities that are told apart; those below
// the last count as the last.
const priorityCount = 4

// runTime is how long calls of one kind run at the target.
type runTime struct {
	mean time.Duration
	// seen is when the last of them ended.
	seen time.Time
}

// runMemory is how long a run time is believed without a new one: a target that
// was slow may have recovered while its calls were sent elsewhere.
const runMemory = 2 * time.Second

// Request describes a call that asks for a slot. Its deadline is that of the
// context.
type Request struct {
	Class, Partner string
	// Priority ranks the calls that wait; 0 goes first.
	Priority int
	// Objective is the time within which the answer is worth most; 0 states none.
	Objective time.Duration
	// Waited is what the caller has waited of the objective.
	Waited time.Duration
	// IsNested says that a target makes the call while it runs another one.
	IsNested bool
}

func (r Request) level() int { return min(max(r.Priority, 0), priorityCount-1) }

// Slot is the right to run one call. Release must be called once.
type Slot struct {
	limiter  *Limiter
	account  *account
	class    class
	level    int
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
	if l.isHopeless(ctx, c, r, now) {
		l.mu.Unlock()
		return Slot{}, l.refuse(CauseExpectedRun, 0)
	}
	if len(a.queues[c]) == 0 {
		if kind := l.slotFor(a, c, now); kind != slotNone {
			slot := l.take(a, c, r.level(), kind, now)
			l.mu.Unlock()
			return slot, nil
		}
	}
	w, err := l.enqueue(ctx, a, c, r, now)
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
	l.runningBy[s.level]--
	l.observe(s.class, s.level, now.Sub(s.start), now)
	l.update()
	l.shed(now)
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

func (l *Limiter) observe(c class, level int, run time.Duration, now time.Time) {
	l.meanRun[c] = nextMean(l.meanRun[c], run)
	known := &l.runs[c][level]
	if now.Sub(known.seen) > runMemory {
		known.mean = 0
	}
	known.mean, known.seen = nextMean(known.mean, run), now
}

func nextMean(mean, run time.Duration) time.Duration {
	if mean == 0 {
		return max(run, 1)
	}
	return max(1, mean+(run-mean)/runWeight)
}

// runOf returns how long calls of a kind run at the target, as lately seen, or
// else as calls of their class do; 0 means that nothing is known.
func (l *Limiter) runOf(c class, level int, now time.Time) time.Duration {
	if known := l.runs[c][level]; known.mean > 0 && now.Sub(known.seen) <= runMemory {
		return known.mean
	}
	return 0
}

// MeanRun returns how long calls of a class and priority run at the target, 0
// when nothing is known of late.
func (l *Limiter) MeanRun(className string, priority int) time.Duration {
	c, ok := findClass(className)
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runOf(c, Request{Priority: priority}.level(), time.Now())
}

// hopelessShare is the part of its usual run for which a call must have time
// left to be begun: runs differ, but few take less than half of the mean.
const hopelessShare = 0.5

// isHopeless says whether the call would be cut by its deadline: it would hold a
// slot for nothing. The caller holds mu.
func (l *Limiter) isHopeless(ctx context.Context, c class, r Request, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	if !ok || r.Objective == 0 {
		return false
	}
	needed := time.Duration(float64(l.runOf(c, r.level(), now)) * hopelessShare)
	return deadline.Sub(now) < needed
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
func (l *Limiter) take(a *account, c class, level int, kind slotKind, now time.Time) Slot {
	l.running++
	l.runningBy[level]++
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
	return Slot{limiter: l, account: a, class: c, level: level, reserved: kind == slotReserved, start: now}
}
