// Package picker chooses the target for a call.
//
// It decides from what calls show at this daemon: calls in flight, latency,
// failures, and the load that the targets' daemons tell on answers. What a
// target claims of its health is not asked. Choosing takes no lock and allocates
// nothing; locks are taken when targets come and go or are ejected.
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
	// defaultChoices is the number of targets that are compared for a call.
	defaultChoices = 2
	// maxTried bounds the targets that a Tried remembers.
	maxTried = 4
	// settleTime is how long after its first pick a daemon takes targets that it
	// learns of as old ones, since it may only be catching up.
	settleTime = 5 * time.Second
)

// Picker chooses targets. Table and Domain must be set before the first pick.
type Picker struct {
	Table *tracker.Table
	// Domain is the failure domain of this daemon.
	Domain string
	// LinkKbps is the bandwidth of this instance's link in kilobits a second; 0 means
	// that it is wide.
	LinkKbps int
	// Choices is the number of targets that are compared; 0 means two, and 1
	// makes the choice random.
	Choices int
	// Source makes choices repeatable; nil means the runtime's generator.
	Source rand.Source
	// Log takes a line for each target that is ejected or comes back; nil takes none.
	Log      *zap.Logger
	Counters Counters

	origin   atomic.Pointer[time.Time]
	services sync.Map // service name to *service
	domains  sync.Map // failure domain to *domain
}

// Reason says why a target was chosen.
type Reason int

// The reasons of a choice.
const (
	ReasonNone Reason = iota
	// ReasonLocal is a target of the own failure domain.
	ReasonLocal
	// ReasonSpillOver is any target, because the own domain is loaded.
	ReasonSpillOver
	// ReasonRemote is a target of another domain, because the own has none.
	ReasonRemote
	// ReasonProbe is a single call to a target whose ejection has ended.
	ReasonProbe
	// ReasonExpected is a target of another domain, from which the answer is
	// expected earlier.
	ReasonExpected
	// ReasonLastResort is an ejected target or one of a lost domain, because
	// there is no other.
	ReasonLastResort
)

// String returns the reason in kebab case.
func (r Reason) String() string {
	names := [...]string{"none", "local", "spill-over", "remote", "probe", "expected", "last-resort"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Choice is a target that was chosen for one attempt of a call. Done must be
// called once.
type Choice struct {
	Record tracker.Record
	Reason Reason

	picker *Picker
	target *target
	policy *applier.Policy
	start  instant
	probe  bool
	// ExpectedLatency is when the answer was expected, from the choice; 0 is not known.
	ExpectedLatency time.Duration
	need            Need
	// congestion is what calls lately waited on the way to the target.
	congestion time.Duration
	// judged says that the target was chosen by what is expected of it.
	judged bool
}

// Tried holds the targets that a call has tried. The zero value holds none.
type Tried struct {
	targets [maxTried]*target
	n       int
}

// Add adds the target of a choice.
func (t *Tried) Add(c Choice) {
	t.targets[t.n%maxTried] = c.target
	t.n++
}

func (t *Tried) has(x *target) bool {
	for _, other := range t.targets {
		if other == x {
			return true
		}
	}
	return false
}

// instant is a time on the picker's clock; 0 means never.
type instant int64

// now returns the time since the first pick. It never returns 0.
func (p *Picker) now() instant {
	origin := p.origin.Load()
	if origin == nil {
		start := time.Now()
		p.origin.CompareAndSwap(nil, &start)
		origin = p.origin.Load()
	}
	return instant(time.Since(*origin)) + 1
}

func (i instant) add(d time.Duration) instant { return i + instant(d) }

func (i instant) sub(other instant) time.Duration { return time.Duration(i - other) }

// below returns a random number from 0 to n-1.
func (p *Picker) below(n int) int {
	high, _ := bits.Mul64(p.uint64(), uint64(n))
	return int(high)
}

// chance is true with the given probability.
func (p *Picker) chance(probability float64) bool {
	return float64(p.uint64()>>11)/(1<<53) < probability
}

func (p *Picker) uint64() uint64 {
	if p.Source != nil {
		return p.Source.Uint64()
	}
	return rand.Uint64()
}

// Pick chooses a target for an attempt of a call, not one of those tried if
// there are others. It returns false when the service has no target that takes
// calls.
func (p *Picker) Pick(policy *applier.Policy, need Need, tried Tried) (Choice, bool) {
	now := p.now()
	v := p.view(policy.Service, now)
	if need.Objective > 0 {
		if t, expected, reason := p.place(v, policy, need, &tried, now); t != nil {
			c := p.chosen(t, policy, reason, now)
			c.judged, c.ExpectedLatency, c.need = true, expected, need
			e := p.estimator(v, policy, need, now)
			c.congestion = time.Duration(e.congestion(t))
			return c, true
		}
	}
	set, reason := v.local, ReasonLocal
	if len(set) == 0 {
		set, reason = v.all, ReasonRemote
	} else if len(v.all) > len(set) && p.spills(set, policy, now) {
		set, reason = v.all, ReasonSpillOver
	}
	t, probe := p.choose(set, policy, &tried, now)
	if t == nil && reason == ReasonLocal {
		reason = ReasonRemote
		t, probe = p.choose(v.all, policy, &tried, now)
	}
	if t == nil {
		reason = ReasonLastResort
		t = p.lastResort(v.all, &tried)
	}
	if t == nil {
		p.Counters.None.Add(1)
		return Choice{}, false
	}
	if probe {
		reason = ReasonProbe
	}
	c := p.chosen(t, policy, reason, now)
	c.need = need
	return c, true
}

func (p *Picker) chosen(t *target, policy *applier.Policy, reason Reason, now instant) Choice {
	t.inFlight.Add(1)
	p.Counters.count(reason)
	return Choice{
		Record: t.record.Load().Record, Reason: reason,
		picker: p, target: t, policy: policy, start: now, probe: reason == ReasonProbe,
	}
}

// spills says whether a call leaves the own failure domain: never below the
// spill-over load of its targets, always when all their slots are taken, and
// in proportion between the two.
func (p *Picker) spills(local []*target, policy *applier.Policy, now instant) bool {
	load, slots := 0.0, 0.0
	for _, t := range local {
		if t.isUsable(now) {
			load += t.load(now)
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

// choose returns the best of a few targets drawn at random, or nil. It returns
// true when the call is a probe.
func (p *Picker) choose(set []*target, policy *applier.Policy, tried *Tried, now instant) (*target, bool) {
	choices := p.Choices
	if choices == 0 {
		choices = defaultChoices
	}
	var best *target
	found := 0
	for draws := 0; found < choices && draws < 4*choices && len(set) > 0; draws++ {
		t := set[p.below(len(set))]
		if t == best || tried.has(t) {
			continue
		}
		switch t.standing(policy, now) {
		case standingOut:
			continue
		case standingProbe:
			if t.startProbe() {
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
		return p.scan(set, policy, tried, now)
	}
	return best, false
}

// scan returns the first usable target after a random place.
func (p *Picker) scan(set []*target, policy *applier.Policy, tried *Tried, now instant) (*target, bool) {
	if len(set) == 0 {
		return nil, false
	}
	first := p.below(len(set))
	for i := range set {
		t := set[(first+i)%len(set)]
		if tried.has(t) {
			continue
		}
		switch t.standing(policy, now) {
		case standingIn:
			return t, false
		case standingProbe:
			if t.startProbe() {
				return t, true
			}
		}
	}
	return nil, false
}

// lastResort returns a target that may be ejected or tried before, but does not
// drain. Targets that were not tried come first.
func (p *Picker) lastResort(all []*target, tried *Tried) *target {
	if len(all) == 0 {
		return nil
	}
	first := p.below(len(all))
	var again *target
	for i := range all {
		t := all[(first+i)%len(all)]
		if t.drains() {
			continue
		}
		if !tried.has(t) {
			return t
		}
		again = t
	}
	return again
}
