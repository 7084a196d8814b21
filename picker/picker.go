// Package picker is the load balancer of the entry daemon: it chooses the target
// for each attempt of a call.
//
// It decides by what this daemon observes of its calls: calls in flight, latency,
// failures, and the load that the targets' daemons report with answers. Health
// that targets claim is not considered. Choosing acquires no lock and allocates
// nothing; locks are acquired when targets are added, removed or ejected.
package picker

import (
	"math/bits"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// defaultChoices is the number of targets that are compared for a call
	// unless Picker.Choices is set.
	defaultChoices = 2
	// maxTried is the number of targets that a Tried can hold.
	maxTried = 4
	// startupPeriod is how long after its first pick a daemon treats newly
	// learned targets as established, because it may still be receiving the
	// table.
	startupPeriod = 5 * time.Second
)

// Picker chooses targets by the load, latency and failures that it observes.
// Table and Domain must be set before the first pick.
type Picker struct {
	Table *tracker.Table
	// Domain is the failure domain of this daemon.
	Domain string
	// LinkKbps is the bandwidth of this instance's link in kilobits a second; 0
	// is treated as unlimited.
	LinkKbps int
	// NearBytes is the size of the bodies of a call from which it leaves the failure domain
	// only if it is expected to miss its objective there, or no target there takes it; 0 means
	// that lack of room is reason enough.
	NearBytes int
	// Choices is the number of targets drawn at random and compared for a call
	// without a latency objective; 0 means two, and 1 makes the choice random.
	Choices int
	// Source supplies the random numbers, for reproducible choices; nil means
	// the runtime's generator.
	Source rand.Source
	// Log receives an entry for each target that is ejected or readmitted; nil
	// disables logging.
	Log      *zap.Logger
	Counters Counters

	// clockStart is when the clock was first read, usually at the first pick.
	clockStart atomic.Pointer[time.Time]
	services   sync.Map // service name to *service
	domains    sync.Map // failure domain to *domain
}

// Reason is why a target was chosen.
type Reason int

// The reasons of a choice.
const (
	ReasonNone Reason = iota
	// ReasonLocal is a target of the local failure domain.
	ReasonLocal
	// ReasonSpillOver is a target of any domain, because the local domain's load
	// exceeds its spill-over threshold.
	ReasonSpillOver
	// ReasonRemote is a target of another domain, because the local domain has
	// none that may get the call.
	ReasonRemote
	// ReasonProbe is a target whose ejection time or lost period is over; one call
	// at a time tests whether it answers again.
	ReasonProbe
	// ReasonExpected is a target of another domain, because it is expected to
	// answer sooner.
	ReasonExpected
	// ReasonTrial is the target with the highest rank for a suspected request.
	ReasonTrial
	// ReasonLastResort is a target that is ejected, in a lost domain or already
	// tried, because there is no other.
	ReasonLastResort
)

// String returns the reason in kebab case.
func (r Reason) String() string {
	names := [...]string{"none", "local", "spill-over", "remote", "probe", "expected", "trial", "last-resort"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Choice is a target chosen for one attempt of a call. Done must be called
// exactly once.
type Choice struct {
	Record tracker.Record
	Reason Reason

	picker *Picker
	target *target
	policy *applier.Policy
	start  instant
	probe  bool
	// ExpectedLatency is the estimated time from the choice to the answer; 0 means
	// unknown.
	ExpectedLatency time.Duration
	need            Need
	// congestion is how long calls recently waited on the way to the target.
	congestion time.Duration
	// byEstimate is set when the target was chosen by its expected latency.
	byEstimate bool
}

// MeanRun returns the mean run time of calls of this class at the target, as its daemon last
// reported it; 0 means unknown.
func (c Choice) MeanRun() time.Duration {
	if c.target == nil {
		return 0
	}
	return time.Duration(c.target.reported.meanRuns[classIndex(c.policy)].Load())
}

// Tried holds the targets that a call has already been sent to, at most the last
// maxTried. The zero value is empty.
type Tried struct {
	targets [maxTried]*target
	n       int
}

// Add records the target of a choice.
func (t *Tried) Add(c Choice) {
	t.targets[t.n%maxTried] = c.target
	t.n++
}

// has reports whether x is among the recorded targets.
func (t *Tried) has(x *target) bool {
	for _, other := range t.targets {
		if other == x {
			return true
		}
	}
	return false
}

// instant is a point in time, in nanoseconds on the picker's clock; 0 means
// never.
type instant int64

// now returns the time since the clock was first read, plus a nanosecond so that
// it is never 0.
func (p *Picker) now() instant {
	start := p.clockStart.Load()
	if start == nil {
		now := time.Now()
		p.clockStart.CompareAndSwap(nil, &now)
		start = p.clockStart.Load()
	}
	return instant(time.Since(*start)) + 1
}

func (i instant) add(d time.Duration) instant { return i + instant(d) }

func (i instant) sub(other instant) time.Duration { return time.Duration(i - other) }

// randIntN returns a random number from 0 to n-1.
func (p *Picker) randIntN(n int) int {
	high, _ := bits.Mul64(p.randUint64(), uint64(n))
	return int(high)
}

// chance returns true with the given probability.
func (p *Picker) chance(probability float64) bool {
	return float64(p.randUint64()>>11)/(1<<53) < probability
}

// randUint64 returns a random number from Source, or from the runtime's generator
// if Source is nil.
func (p *Picker) randUint64() uint64 {
	if p.Source != nil {
		return p.Source.Uint64()
	}
	return rand.Uint64()
}

// Pick chooses a target for an attempt of a call. It avoids the targets already
// tried as long as there are others. It returns false when the service has no
// target that accepts calls.
func (p *Picker) Pick(policy *applier.Policy, need Need, tried Tried) (Choice, bool) {
	now := p.now()
	v := p.view(policy.Service, now)
	if need.Versions.UseNew && need.Versions.Split != nil {
		if c, ok := p.pickFrom(v.splitBy(need.Versions.Split).new, policy, need, tried, now); ok {
			return c, true
		}
	}
	others := v
	if need.Versions.Split != nil {
		others = v.splitBy(need.Versions.Split).old
	}
	if c, ok := p.pickFrom(others, policy, need, tried, now); ok {
		return c, true
	}
	allowed := v.allowed(need.Versions)
	last := allowed.all
	if need.IsLocal {
		last = allowed.local
	}
	t := p.lastResort(last, &tried)
	if t == nil {
		p.Counters.None.Add(1)
		return Choice{}, false
	}
	c := p.newChoice(t, policy, ReasonLastResort, now)
	c.need = need
	return c, true
}

// pickFrom chooses a target among those of the view that may get the call. It returns false if
// there is none.
func (p *Picker) pickFrom(v *view, policy *applier.Policy, need Need, tried Tried, now instant) (Choice, bool) {
	if need.Objective > 0 {
		e := p.estimator(v, policy, need, now)
		if x, reason := p.pickByEstimate(&e, v, &tried); x.target != nil {
			p.Counters.countCandidate(x)
			c := p.newChoice(x.target, policy, reason, now)
			c.byEstimate, c.ExpectedLatency, c.need = true, time.Duration(x.expected), need
			c.congestion = time.Duration(e.congestion(x.target))
			return c, true
		}
	}
	set, all, reason := v.local, v.all, ReasonLocal
	if need.IsLocal {
		all = v.local
	}
	if len(set) == 0 {
		set, reason = all, ReasonRemote
	} else if len(all) > len(set) && p.shouldSpillOver(set, policy, now) {
		set, reason = all, ReasonSpillOver
	}
	t, probe := p.bestOfSample(set, policy, &tried, now)
	if t == nil && reason == ReasonLocal {
		reason = ReasonRemote
		t, probe = p.bestOfSample(all, policy, &tried, now)
	}
	if t == nil {
		return Choice{}, false
	}
	if probe {
		reason = ReasonProbe
	}
	c := p.newChoice(t, policy, reason, now)
	c.need = need
	return c, true
}

// newChoice counts the choice and the call in flight at the target.
func (p *Picker) newChoice(t *target, policy *applier.Policy, reason Reason, now instant) Choice {
	t.inFlight.Add(1)
	p.Counters.count(reason)
	return Choice{
		Record: t.record.Load().Record, Reason: reason,
		picker: p, target: t, policy: policy, start: now, probe: reason == ReasonProbe,
	}
}

// shouldSpillOver reports whether a call leaves the local failure domain. It
// never does while the load of the local targets is below the spill-over
// threshold, always does when all their slots are in use, and does with a
// probability that rises linearly between the two.
func (p *Picker) shouldSpillOver(local []*target, policy *applier.Policy, now instant) bool {
	load, slots := 0.0, 0.0
	for _, t := range local {
		if t.isUsable(now) {
			load += t.load(t.slots(policy), now)
			slots += float64(policy.Slots) * t.weight(policy, now)
		}
	}
	if slots == 0 {
		return true
	}
	threshold := float64(policy.SpillOverPercent) / 100
	excess := load/slots - threshold
	if excess <= 0 {
		return false
	}
	return threshold >= 1 || p.chance(excess/(1-threshold))
}

// bestOfSample returns the best of a few targets drawn at random, or nil if none
// is eligible, and reports whether the call is a probe. If all of a limited number
// of draws fail, it returns the first eligible target instead of the best.
func (p *Picker) bestOfSample(set []*target, policy *applier.Policy, tried *Tried, now instant) (*target, bool) {
	choices := p.Choices
	if choices == 0 {
		choices = defaultChoices
	}
	var best *target
	found := 0
	for draws := 0; found < choices && draws < 4*choices && len(set) > 0; draws++ {
		t := set[p.randIntN(len(set))]
		if t == best || tried.has(t) {
			continue
		}
		switch t.eligibility(policy, now) {
		case ineligible:
			continue
		case eligibleForProbe:
			if t.claimProbe() {
				return t, true
			}
			continue
		}
		if w := t.weight(policy, now); w < 1 && !p.chance(w) {
			continue
		}
		found++
		if best == nil || t.isBetter(best, policy, now) {
			best = t
		}
	}
	if best == nil {
		return p.firstEligible(set, policy, tried, now)
	}
	return best, false
}

// firstEligible returns the first target that may get a call, starting at a
// random position, and reports whether the call is a probe.
func (p *Picker) firstEligible(set []*target, policy *applier.Policy, tried *Tried, now instant) (*target, bool) {
	if len(set) == 0 {
		return nil, false
	}
	first := p.randIntN(len(set))
	for i := range set {
		t := set[(first+i)%len(set)]
		if tried.has(t) {
			continue
		}
		switch t.eligibility(policy, now) {
		case eligible:
			return t, false
		case eligibleForProbe:
			if t.claimProbe() {
				return t, true
			}
		}
	}
	return nil, false
}

// lastResort returns any target that is not draining, even if it is ejected or its
// domain is lost. It prefers targets of domains that are not lost, since an attempt at
// the others mostly fails, and among these targets that were not tried.
func (p *Picker) lastResort(all []*target, tried *Tried) *target {
	if len(all) == 0 {
		return nil
	}
	first := p.randIntN(len(all))
	var best *target
	bestRank := 0
	for i := range all {
		t := all[(first+i)%len(all)]
		if t.isDraining() {
			continue
		}
		rank := 1
		if !tried.has(t) {
			rank++
		}
		if !t.domain.lost.Load() {
			rank += 2
		}
		if rank > bestRank {
			best, bestRank = t, rank
		}
	}
	return best
}
