package limiter

import "time"

// This file paces the calls to a target that limits how many calls per second it takes. It
// is designed for a target in need that would otherwise get several times its limit, with
// slots to spare: calls wait for their turn by the same order as for slots, and those whose
// turn comes too late are refused at once.

const (
	// rateBurstTime is how much of the limited rate may be made up for after a pause.
	rateBurstTime = 250 * time.Millisecond
	// minCallsPerSecond is the rate of calls to a target that takes fewer, or none. Only an
	// answer can show that its limit has ended.
	minCallsPerSecond = 0.1
)

// rateGate spaces the calls to a target by its rate limit. The zero value has no limit.
type rateGate struct {
	// interval is the time between two calls at the limit, 0 without a limit.
	interval time.Duration
	// nextAt is when the next call would begin if all calls were evenly spaced.
	nextAt time.Time
}

// setLimit sets the limit to a number of calls per second, or removes it. A change gives
// no credit, so that a limit that varies with each answer lets no additional calls through.
func (g *rateGate) setLimit(perSecond float64, limited bool, now time.Time) {
	old := *g
	g.interval = 0
	if limited {
		g.interval = max(1, time.Duration(float64(time.Second)/max(perSecond, minCallsPerSecond)))
	}
	if g.interval == old.interval || g.interval == 0 {
		return
	}
	// credit is the number of calls that may begin at once; below 0, the next call waits.
	credit := -1.0
	if old.interval > 0 {
		credit = float64(old.burst()-max(0, old.nextAt.Sub(now))) / float64(old.interval)
		credit = max(-1, min(credit, float64(g.burst())/float64(g.interval)))
	}
	g.nextAt = now.Add(g.burst() - time.Duration(credit*float64(g.interval)))
}

// isLimited reports whether a limit is set.
func (g *rateGate) isLimited() bool { return g.interval > 0 }

// burst returns how far the calls may run ahead of even spacing.
func (g *rateGate) burst() time.Duration { return max(0, rateBurstTime-g.interval) }

// wait returns the time until a call may begin if n others go before it.
func (g *rateGate) wait(n int, now time.Time) time.Duration {
	if g.interval == 0 {
		return 0
	}
	first := max(0, g.nextAt.Sub(now)) - g.burst()
	return max(0, first+time.Duration(n)*g.interval)
}

// take counts a call that begins now.
func (g *rateGate) take(now time.Time) {
	if g.interval == 0 {
		return
	}
	if g.nextAt.Before(now) {
		g.nextAt = now
	}
	g.nextAt = g.nextAt.Add(g.interval)
}

// refreshRate applies the rate limit that the target names now. The caller holds mu.
func (l *Limiter) refreshRate(now time.Time) {
	if l.RateLimit == nil {
		return
	}
	perSecond, limited := l.RateLimit()
	l.gate.setLimit(perSecond, limited, now)
}

// isNextAtGate reports whether a call that arrives now may begin before all waiting ones,
// as far as the rate limit is concerned. The caller holds mu.
func (l *Limiter) isNextAtGate(now time.Time) bool {
	return !l.gate.isLimited() || l.gate.wait(0, now) == 0 && l.waiting() == 0
}

// waiting returns the number of waiting calls. The caller holds mu.
func (l *Limiter) waiting() int {
	n := 0
	for _, a := range l.accounts {
		for c := range classCount {
			n += len(a.queues[c])
		}
	}
	return n
}

// virtualTimeOf returns the virtual time of a partner's next call: the partner with the earliest one
// is next under a rate limit. One that sent no calls for a while saves up no turns. The
// caller holds mu.
func (l *Limiter) virtualTimeOf(a *account) float64 { return max(a.virtualTime, l.virtualTime) }

// passGate counts a call of the account that begins now. The caller holds mu.
func (l *Limiter) passGate(a *account, now time.Time) {
	if !l.gate.isLimited() {
		return
	}
	l.gate.take(now)
	l.virtualTime = l.virtualTimeOf(a)
	a.virtualTime = l.virtualTime + 1/float64(max(1, a.guarantee))
}

// aheadAtGate returns how many waiting calls begin before w under the rate limit, of which
// own belong to its partner: the others' calls take turns with them in proportion to the
// guarantees. The caller holds mu.
func (l *Limiter) aheadAtGate(w *waiter, own int) int {
	ahead, share := own, float64(max(1, w.account.guarantee))
	for _, a := range l.accounts {
		if a == w.account {
			continue
		}
		others := 0
		for c := range classCount {
			others += len(a.queues[c])
		}
		ahead += min(others, int(float64(own+1)*float64(max(1, a.guarantee))/share))
	}
	return ahead
}

// dispatchLater calls dispatch after d if a call is waiting then. The caller holds mu.
func (l *Limiter) dispatchLater(d time.Duration) {
	if l.waiting() == 0 {
		return
	}
	if l.gateTimer == nil {
		l.gateTimer = time.AfterFunc(d, l.Update)
		return
	}
	l.gateTimer.Reset(d)
}
