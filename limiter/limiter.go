// Package limiter implements admission control by class and partner. The daemon
// of each target uses it so that the target never runs more calls than it has
// slots.
//
// A class may have reserved slots that other classes never use. All other slots
// are general: every partner is guaranteed its share of them, and slots that it
// does not use are lent to other partners. A running call never loses a lent
// slot. Instead, the lender's own call gets the next slot that is released, so it
// waits for at most one running borrowed call. Calls of classes with long run
// times, and postings and scans whose run time is not known yet, borrow only from
// partners that have sent no call here for activeWindow.
//
// Among calls of the same priority, those of tenants that have lately used more than their share
// of the target go after the others, so that a tenant that sends more than it usually does takes
// room from nobody. Free slots are never kept for a tenant.
//
// Waiting calls are ordered by the priority of their tenant or else of their route, and
// then by that of their route. Those with a latency objective are further ordered by the
// latest time at which they may start, and are kept only while they can be
// expected to meet the objective: under lasting overload a longer queue would
// make every answer late without serving more calls. This order favors callers
// that retry after a refusal, as long as they can be answered in time; calls that
// are already late come last. A nested call, which a target makes while it runs
// another call, may wait until its deadline, since refusing it would waste the
// work done for its parent.
//
// A target in need may limit how many calls it takes a second. Calls then also wait for
// their turn, which partners take in proportion to their guarantees; the first to be refused
// are those whose turn comes too late.
//
// A call that is refused has not run. On a narrow link, a BodyPacer decides
// beforehand which large bodies are sent to the instance, and when.
package limiter

import (
	"context"
	"sync"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// maxBorrowedRun is the longest mean run time of a class whose calls may borrow
	// slots from an active partner.
	maxBorrowedRun = 50 * time.Millisecond
	// activeWindow is how long a partner counts as active after its last call.
	activeWindow = 10 * time.Second
)

// Limiter admits calls to one target. Applier and Service must be set before
// the first call.
//
// Invariants: no call is admitted while running calls occupy all slots, or before its
// turn under the target's rate limit; a general call never occupies a reserved slot; when
// a method returns, no call is waiting that could be admitted.
type Limiter struct {
	Applier *applier.Applier
	// Service returns the name of the target's service.
	Service func() string
	// Announced returns the number of slots that the target announced. It lowers the
	// configured number, or replaces it if the service is configured without one. If
	// Announced is nil or returns 0, the configuration applies.
	Announced func() int
	// WarmsUp reports whether the target said that it is still slow after its start. If
	// WarmsUp is nil, it never is.
	WarmsUp func() bool
	// RateLimit returns the calls per second that the target takes from all daemons
	// together, and whether it limits them. All calls to a target pass this Limiter. If
	// RateLimit is nil, the target never limits them.
	RateLimit func() (perSecond float64, limited bool)
	Counters  Counters

	mu       sync.Mutex
	snapshot *applier.Snapshot
	limits   limits
	// announced is the announced number of slots that limits was computed from.
	announced int
	accounts  []*account

	// gate spaces the calls while the target limits their rate, and gateTimer admits the
	// next waiting call in time. virtualTime is that of the last call that it let through.
	gate        rateGate
	gateTimer   *time.Timer
	virtualTime float64

	// running is the number of running calls: generalRunning in general slots, and
	// reservedRunning in the reserved slots of each class.
	running         int
	generalRunning  int
	reservedRunning [classCount]int
	runs            runTimes
	// runningByOrder counts the running calls by precedence.counted.
	runningByOrder [priorityCount][priorityCount]int
	// tenants holds how much of the target each tenant has lately used.
	tenants tenantUses
}

// priorityCount is the number of priority levels. Lower priorities count as the
// last level.
const priorityCount = 4

// Request describes a call that needs a slot. The call's deadline is that of the
// context passed to Admit.
type Request struct {
	Class, Partner string
	// Priority orders waiting calls; 0 is the highest priority.
	Priority int
	// Tenant is the tenant on whose behalf the call is made, "" for none.
	Tenant string
	// TenantPriority takes precedence over Priority in that order; nil means that the call
	// has none, and counts as one of its Priority.
	TenantPriority *int
	// Objective is the latency objective of the call; 0 means none.
	Objective time.Duration
	// Waited is how much of the objective the caller has already spent waiting.
	Waited time.Duration
	// MayGoElsewhere is set if the call has been to no other target and may be sent to one.
	MayGoElsewhere bool
	// IsNested is set if a target makes the call while it runs another one.
	IsNested bool
}

// level returns the call's priority level.
func (r Request) level() int { return min(max(r.Priority, 0), priorityCount-1) }

// precedence returns the call's precedence among waiting calls.
func (r Request) precedence() precedence {
	p := precedence{rank: r.level(), level: r.level()}
	if r.TenantPriority != nil {
		p.rank = max(*r.TenantPriority, 0)
	}
	return p
}

// precedence orders waiting calls: first by rank, then by level.
type precedence struct {
	// rank is the tenant's priority, or else the level.
	rank int
	// level is the priority level. Run times are measured by level: how long a call runs
	// depends on what it asks for and not on its tenant.
	level int
}

// goesBefore reports whether a call with precedence p goes before one with other.
func (p precedence) goesBefore(other precedence) bool {
	if p.rank != other.rank {
		return p.rank < other.rank
	}
	return p.level < other.level
}

// counted returns the precedence by which a running call is counted: ranks from the last level
// on are not told apart.
func (p precedence) counted() precedence {
	p.rank = min(p.rank, priorityCount-1)
	return p
}

// Slot is the right to run one call. Release must be called once.
type Slot struct {
	limiter  *Limiter
	account  *account
	class    class
	order    precedence
	reserved bool
	start    time.Time
}

// Admit waits for a slot within the limits of the call's class. If it fails, the
// error is a *RefusedError and the call must not run.
func (l *Limiter) Admit(ctx context.Context, r Request) (Slot, error) {
	c, ok := findClass(r.Class)
	if !ok {
		l.Counters.Refused.Add(1)
		return Slot{}, &RefusedError{Cause: CauseUnknownClass}
	}
	if isExpired(ctx) {
		return Slot{}, l.refuse(CauseDeadline, 0)
	}
	now := time.Now()
	l.mu.Lock()
	l.refreshLimits()
	l.refreshRate(now)
	a := l.account(r.Partner)
	a.lastCall[c] = now
	if l.willMissDeadline(ctx, c, r, now) {
		l.mu.Unlock()
		return Slot{}, l.refuse(CauseExpectedRun, 0)
	}
	if r.MayGoElsewhere && l.runs.isTooSlow(c, r.level(), r.Objective, now) {
		l.mu.Unlock()
		return Slot{}, l.refuse(CauseSlowTarget, 0)
	}
	if len(a.queues[c]) == 0 && l.isNextAtGate(now) {
		if kind := l.slotFor(a, c, now); kind != slotNone {
			slot := l.takeSlot(a, c, &r, kind, now)
			l.mu.Unlock()
			return slot, nil
		}
	}
	w, err := l.enqueue(ctx, a, c, r, now)
	if l.gate.isLimited() {
		l.dispatch(now)
	}
	l.mu.Unlock()
	if err != nil {
		return Slot{}, err
	}
	return l.wait(ctx, w)
}

// Release returns the slot to the limiter. It does nothing on the zero Slot.
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
	*l.runningAt(s.order)--
	l.runs.end(s.class, s.order.level, s.start, now)
	l.refreshLimits()
	l.refreshRate(now)
	l.shed(now)
	l.dispatch(now)
}

// Update applies the limits of the current configuration snapshot. Waiting calls
// keep their positions in the queues. Admit and Release also apply them.
func (l *Limiter) Update() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLimits()
	l.refreshRate(now)
	l.dispatch(now)
}

// MeanRun returns the mean run time at the target of calls of a class and
// priority, or 0 if there is no recent sample.
func (l *Limiter) MeanRun(className string, priority int) time.Duration {
	c, ok := findClass(className)
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs.recent(c, Request{Priority: priority}.level(), time.Now())
}

// minRunShare is the fraction of the mean run time that must remain until the
// deadline for a call to be admitted. Run times vary, but few calls take less than
// half of the mean.
const minRunShare = 0.5

// willMissDeadline reports whether the deadline would expire before the call
// could end, so that the call would occupy a slot in vain. It reports false for
// calls without an objective. The caller holds mu.
func (l *Limiter) willMissDeadline(ctx context.Context, c class, r Request, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	if !ok || r.Objective == 0 {
		return false
	}
	needed := time.Duration(float64(l.runs.recent(c, r.level(), now)) * minRunShare)
	return deadline.Sub(now) < needed
}

// runningAt returns the number of running calls of a precedence, as they are counted.
func (l *Limiter) runningAt(p precedence) *int {
	p = p.counted()
	return &l.runningByOrder[p.rank][p.level]
}

// slotKind is the kind of slot that a call may use, in order of preference.
type slotKind int

const (
	slotReserved   slotKind = iota // reserved for the call's class
	slotGuaranteed                 // general, within the partner's guarantee
	slotBorrowed                   // general, beyond the partner's guarantee
	slotNone                       // no slot is available
)

// slotFor returns the kind of slot that a call of the account may use now. The
// caller holds mu.
func (l *Limiter) slotFor(a *account, c class, now time.Time) slotKind {
	switch {
	case l.running >= l.limits.slots:
		return slotNone
	case l.mayTakeReserved(a, c, now):
		return slotReserved
	case l.generalRunning >= l.limits.general:
		return slotNone
	case a.generalRunning < a.guarantee:
		return slotGuaranteed
	case l.limits.general-l.generalRunning > l.heldBackSlots(a, c, now):
		return slotBorrowed
	default:
		return slotNone
	}
}

// mayTakeReserved reports whether the account may use a free slot that is reserved
// for the class. Calls of classes with reserved slots may be unable to wait for a
// borrowed call to end. A partner's guaranteed reserved slots are therefore lent
// only if it has sent no call of the class for activeWindow.
func (l *Limiter) mayTakeReserved(a *account, c class, now time.Time) bool {
	free := l.limits.reserved[c] - l.reservedRunning[c]
	if free <= 0 || a.reservedRunning[c] < a.reservedGuarantee[c] {
		return free > 0
	}
	for _, other := range l.accounts {
		if other != a && isRecent(other.lastCall[c], now) {
			free -= max(0, other.reservedGuarantee[c]-other.reservedRunning[c])
		}
	}
	return free > 0
}

// isRecent reports whether t lies within activeWindow before now.
func isRecent(t, now time.Time) bool { return !t.IsZero() && now.Sub(t) < activeWindow }

// heldBackSlots returns the number of free general slots that a call may not
// borrow, because active partners have not used their guarantees. It returns 0 for
// short calls, and while no general call is running, so that a waiting call always
// has a release to wait for. The caller holds mu.
func (l *Limiter) heldBackSlots(a *account, c class, now time.Time) int {
	if l.generalRunning == 0 || !l.runsLong(c) {
		return 0
	}
	heldBack := 0
	for _, other := range l.accounts {
		if other != a && isRecent(other.lastCallOfAnyClass(), now) {
			heldBack += max(0, other.guarantee-other.generalRunning)
		}
	}
	return heldBack
}

// runsLong reports whether the mean run time of the class exceeds maxBorrowedRun.
// While it is unknown, postings and scans are assumed to run long.
func (l *Limiter) runsLong(c class) bool {
	if l.runs.ofClass[c] == 0 {
		return classNames[c] == versioner.ClassPosting || classNames[c] == versioner.ClassScan
	}
	return l.runs.ofClass[c] > maxBorrowedRun
}

// takeSlot marks a slot of the given kind as in use and returns it. The caller
// holds mu.
func (l *Limiter) takeSlot(a *account, c class, r *Request, kind slotKind, now time.Time) Slot {
	order := r.precedence()
	l.running++
	assumedRun := time.Duration(0)
	if l.WarmsUp != nil && l.WarmsUp() {
		assumedRun = r.Objective * warmupRunPercent / 100
	}
	l.runs.begin(c, order.level, assumedRun, now)
	*l.runningAt(order)++
	l.tenants.use(r.Tenant, l.runs.ofClass[c], l.snapshot, now)
	if kind == slotReserved {
		a.reservedRunning[c]++
		l.reservedRunning[c]++
	} else {
		a.generalRunning++
		l.generalRunning++
	}
	l.passGate(a, now)
	l.Counters.Admitted.Add(1)
	if kind == slotBorrowed {
		l.Counters.Borrowed.Add(1)
	}
	return Slot{limiter: l, account: a, class: c, order: order, reserved: kind == slotReserved, start: now}
}
