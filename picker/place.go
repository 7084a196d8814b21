package picker

import (
	"math"
	"time"

	"bambooweir.example/bambooweir/applier"
)

// This file places calls that state a latency objective. It answers the load at
// which a service has just enough slots: targets differ in speed by a factor of
// three, a slow one that is half idle still answers in time, and bytes between
// failure domains are paid for. So a call stays in its own domain while it is
// expected to meet its objective there, and goes to the earliest answer
// anywhere when it is not.

// LargeBytes is the size from which a body costs more to carry than a late
// answer is likely to.
const LargeBytes = 16 << 10

// congestedShare is the part of its objective that a call with a large body may
// be expected to wait on the way. With more, the body would only delay the small
// calls on the same link, whose callers hold slots meanwhile.
const congestedShare = 0.25

// reserveAbove is the time that a body takes on the link of the target's instance
// from which it is asked for first. To ask costs a round trip of a few
// milliseconds.
const reserveAbove = 10 * time.Millisecond

// IsCongested says whether the way to the target is too full for a large body.
func (c Choice) IsCongested() bool {
	return c.need.Bytes >= LargeBytes && float64(c.congestion) > congestedShare*float64(c.need.Objective)
}

// NeedsReservation says whether the call's body takes so long on the link of the
// target's instance that it is asked for first.
func (c Choice) NeedsReservation() bool {
	return c.need.Bytes >= LargeBytes && carryTime(c.need.Bytes, c.Record.LinkKbps, 0) >= float64(reserveAbove)
}

// Need is what a call asks of its target.
type Need struct {
	// Objective is the latency up to which the answer is worth most; 0 leaves the
	// choice to load alone.
	Objective time.Duration
	// Bytes is the size of the request's body.
	Bytes int
}

const (
	// smallShare, middleShare and largeShare are the parts of the objective within
	// which the answer of the own failure domain must be expected, on the mean, by
	// what the call carries. Runs vary, and twice the mean is not rare: calls of
	// smallBytes and less go wherever they are soonest in time, while those of
	// LargeBytes and more cost more to carry than a late answer is likely to. No
	// call is free to carry: its fields and the framing of both ways add about a
	// kilobyte.
	smallShare  = 0.5
	middleShare = 0.6
	largeShare  = 0.9
	smallBytes  = 1 << 10
	middleBytes = 4 << 10
	// spillGain is the part of the local expectation that another domain must
	// undercut, so that estimates that waver move no calls.
	spillGain = 0.8
	// nearFull is the share of its slots from which a target is taken to slow
	// down, and fullSlowdown by how much at its last slot.
	nearFull     = 0.75
	fullSlowdown = 0.3
	// coldFactor is how much longer calls take while a target is cold.
	coldFactor = 2
	// unknownShare is the part of the objective that is expected of a target of
	// which nothing is known.
	unknownShare = 0.35
	// spreadShare is the part by which expectations are varied at random, so that
	// daemons that know the same do not all choose the same.
	spreadShare = 0.15
)

// place returns the target with the earliest expected answer and when that is,
// or nil when no target is in use that was not tried.
func (p *Picker) place(v *view, policy *applier.Policy, need Need, tried *Tried, now instant) (*target, time.Duration, Reason) {
	e := p.estimator(v, policy, need, now)
	local, localTime, probe := e.best(p, v.local, tried)
	if probe {
		return local, 0, ReasonProbe
	}
	share := localShare(float64(need.Bytes) + p.service(policy.Service).answerBytes[e.class].value())
	if local != nil && localTime <= time.Duration(share*float64(need.Objective)) {
		return local, localTime, ReasonLocal
	}
	anywhere, anyTime, probe := e.best(p, v.all, tried)
	switch {
	case anywhere == nil:
		return nil, 0, ReasonNone
	case probe:
		return anywhere, 0, ReasonProbe
	case local == nil:
		return anywhere, anyTime, ReasonRemote
	case float64(anyTime) < spillGain*float64(localTime):
		return anywhere, anyTime, ReasonExpected
	}
	return local, localTime, ReasonLocal
}

// localShare returns the part of the objective that calls of a size leave to the
// own failure domain.
func localShare(size float64) float64 {
	between := func(from, to, low, high float64) float64 {
		return low + (high-low)*math.Log2(size/from)/math.Log2(to/from)
	}
	switch {
	case size <= smallBytes:
		return smallShare
	case size <= middleBytes:
		return between(smallBytes, middleBytes, smallShare, middleShare)
	case size < LargeBytes:
		return between(middleBytes, LargeBytes, middleShare, largeShare)
	default:
		return largeShare
	}
}

// estimator holds what the targets of a service are measured against.
type estimator struct {
	policy *applier.Policy
	need   Need
	now    instant
	class  int
	// run is the mean run over the targets that have told it of late.
	run time.Duration
	// ownKbps is the bandwidth of this instance's link.
	ownKbps int
	// success is the mean share of calls that don't fail.
	success float64
}

func (p *Picker) estimator(v *view, policy *applier.Policy, need Need, now instant) estimator {
	e := estimator{policy: policy, need: need, now: now, class: classIndex(policy), success: 1, ownKbps: p.LinkKbps}
	var sum time.Duration
	known, success := 0, 0.0
	for _, t := range v.all {
		run := t.told.runs[e.class].Load()
		if run > 0 && now.sub(instant(t.told.at.Load())) < latencyMemory {
			sum += time.Duration(run)
			known++
		}
		success += 1 - t.failing.value()
	}
	e.run = time.Duration(unknownShare * float64(need.Objective))
	if known > 0 {
		e.run = sum / time.Duration(known)
	}
	if len(v.all) > 0 {
		e.success = success / float64(len(v.all))
	}
	return e
}

// best returns the target of the set with the earliest expected answer. It
// returns true when the target is to be probed.
func (e *estimator) best(p *Picker, set []*target, tried *Tried) (*target, time.Duration, bool) {
	var best *target
	var bestTime, bestDrawn float64
	for _, t := range set {
		if tried.has(t) {
			continue
		}
		switch t.standing(e.policy, e.now) {
		case standingOut:
			continue
		case standingProbe:
			if t.startProbe() {
				return t, 0, true
			}
			continue
		}
		expected := e.expect(t)
		drawn := expected * (1 + spreadShare*p.fraction())
		if best == nil || drawn < bestDrawn {
			best, bestTime, bestDrawn = t, expected, drawn
		}
	}
	return best, time.Duration(bestTime), false
}

// expect estimates the time to an answer of the target.
func (e *estimator) expect(t *target) float64 {
	run := e.runAt(t)
	record := t.record.Load()
	if t.told.runs[e.class].Load() == 0 {
		if record.since != 0 && e.now.sub(record.since) < time.Duration(record.ColdMS)*time.Millisecond {
			run *= coldFactor
		}
	}
	slots := float64(t.slots(e.policy))
	load := t.load(e.now) + 1
	if full := load / slots; full > 1 {
		run *= full * (1 + fullSlowdown)
	} else if full > nearFull {
		run *= 1 + fullSlowdown*(full-nearFull)/(1-nearFull)
	}
	if success := (1 - t.failing.value()) / max(e.success, minWeight); success < 1 {
		run /= max(minWeight, success*success)
	}
	return run + e.transit(t)
}

// transit estimates the time on the way to and from the target's daemon: what
// the body takes on the links, and what calls lately waited on them.
func (e *estimator) transit(t *target) float64 {
	return e.carry(t) + e.congestion(t)
}

// carry returns the time that the body takes on an empty link.
func (e *estimator) carry(t *target) float64 {
	return carryTime(e.need.Bytes, t.record.Load().LinkKbps, e.ownKbps)
}

// carryTime returns the time that bytes take on the narrower of two links, of
// which those of 0 are wide.
func carryTime(n, kbps, otherKbps int) float64 {
	if kbps == 0 || otherKbps > 0 && otherKbps < kbps {
		kbps = otherKbps
	}
	if kbps == 0 {
		return 0
	}
	return float64(n) * 8 / float64(kbps) * float64(time.Millisecond)
}

// congestion returns what calls lately waited on the way. It fades while nothing
// new is known.
func (e *estimator) congestion(t *target) float64 {
	seen := &t.transits[e.class]
	mean := seen.mean.value()
	age := e.now.sub(instant(seen.seen.Load())) - loadMemory
	if age <= 0 {
		return mean
	}
	return mean * max(0, 1-float64(age)/float64(latencyMemory))
}

// runAt returns the expected run at the target. What it told fades while it
// tells nothing new, else a target that was slow once would never be tried again.
func (e *estimator) runAt(t *target) float64 {
	told := float64(t.told.runs[e.class].Load())
	if told == 0 {
		return float64(e.run)
	}
	age := e.now.sub(instant(t.told.at.Load())) - loadMemory
	if age <= 0 {
		return told
	}
	faded := min(1, float64(age)/float64(latencyMemory))
	return told + (float64(e.run)-told)*faded
}

// slots returns the number of calls that the target runs at a time.
func (t *target) slots(policy *applier.Policy) int {
	if n := t.told.slots.Load(); n > 0 {
		return int(n)
	}
	if n := t.record.Load().Slots; n > 0 && !policy.SlotsConfigured {
		return n
	}
	return max(1, policy.Slots)
}

// fraction returns a random number from 0 to 1.
func (p *Picker) fraction() float64 { return float64(p.uint64()>>11) / (1 << 53) }

// outlierShare and outlierMargin say how much more often than the others of its
// service a target must fail to stand out.
const (
	outlierShare  = 2
	outlierMargin = 0.05
)

// IsOutlier says whether the target fails clearly more often than the others of
// its service. Where all fail alike, what they call is likely at fault, and
// another of them would fail as well.
func (c Choice) IsOutlier() bool {
	if c.target == nil {
		return false
	}
	v := c.picker.view(c.policy.Service, c.picker.now())
	others, n := 0.0, 0
	for _, t := range v.all {
		if t != c.target {
			others += t.failing.value()
			n++
		}
	}
	return n > 0 && c.target.failing.value() > outlierShare*others/float64(n)+outlierMargin
}
