package picker

import (
	"math"
	"time"

	"bambooweir.example/bambooweir/applier"
)

// This file chooses targets for calls that state a latency objective. It is
// designed for services with barely enough slots: targets differ in speed by a
// factor of three, a slow target that is half idle still answers in time, and
// traffic between failure domains costs money. A call therefore stays in the
// local failure domain while it is expected to find room and to meet its objective
// there, and otherwise goes to the candidate of all domains.

// LargeBytes is the body size from which carrying the body to another failure
// domain costs more than a late answer is likely to.
const LargeBytes = 16 << 10

// congestedShare is the part of its objective that a call with a large body may
// be expected to wait on the way. If the wait is longer, the body would only
// delay the small calls on the same link, whose callers hold slots meanwhile.
const congestedShare = 0.25

// minReservedTransfer is the transfer time on the link of the target's instance
// from which the entry daemon asks that instance's daemon before it sends a
// body. Asking costs a round trip of a few milliseconds.
const minReservedTransfer = 10 * time.Millisecond

// IsCongested reports whether the call has a large body and the way to the
// target is too congested for it.
func (c Choice) IsCongested() bool {
	return c.need.Bytes >= LargeBytes && float64(c.congestion) > congestedShare*float64(c.need.Objective)
}

// NeedsReservation reports whether the call's body takes so long on the link of
// the target's instance that the target's daemon must be asked before the body
// is sent.
func (c Choice) NeedsReservation() bool {
	return c.need.Bytes >= LargeBytes && transferTime(c.need.Bytes, c.Record.LinkKbps, 0) >= float64(minReservedTransfer)
}

// Need describes the call for which a target is chosen.
type Need struct {
	// Objective is the latency that the call should not exceed. With 0 the
	// target is chosen by load alone.
	Objective time.Duration
	// Bytes is the size of the request's body.
	Bytes int
	// IsLocal restricts the choice to targets of the local failure domain.
	IsLocal bool
	// Versions limits the targets by the version of their software.
	Versions Versions
}

const (
	// smallShare, middleShare and largeShare are the parts of the objective within
	// which the local failure domain must be expected to answer, for calls whose
	// request and answer have smallBytes, middleBytes and LargeBytes. The expected
	// latency is a mean, and run times of twice the mean are not rare: small calls
	// leave the local domain early to be in time, while large calls cost more to
	// carry than a late answer is likely to. Even an empty call costs something:
	// its fields and the framing in both directions add about a kilobyte.
	smallShare  = 0.5
	middleShare = 0.6
	largeShare  = 0.9
	smallBytes  = 1 << 10
	middleBytes = 4 << 10
	// maxRemoteShare is the share of the local expected latency that another
	// failure domain must stay below to get the call, so that fluctuating
	// estimates move no calls.
	maxRemoteShare = 0.8
	// nearFullShare is the share of slots in use from which a target is expected to
	// slow down. The expected increase of its run times, as a share of them, rises
	// to fullSlowdown when all slots are in use.
	nearFullShare = 0.75
	fullSlowdown  = 0.3
	// coldFactor is how much longer calls are expected to take at a cold target
	// that has not reported a run time.
	coldFactor = 2
	// unknownRunShare is the part of the objective that is assumed as run time
	// while no target of the service has reported one.
	unknownRunShare = 0.35
)

// pickByEstimate returns the candidate for a call and the reason, or no target when no eligible
// one is left untried. A call stays in the local failure domain while the candidate there is
// expected to have room and to answer within localObjectiveShare of the objective. A call
// that was refused stays only if the candidate there surely has room, or if it carries
// NearBytes or more.
func (p *Picker) pickByEstimate(e *estimator, v *view, tried *Tried) (candidate, Reason) {
	local := e.choose(p, v.local, tried)
	if local.isProbe {
		return local, ReasonProbe
	}
	room := local.room.positive()
	size := e.callBytes(p)
	staysNear := p.NearBytes > 0 && size >= float64(p.NearBytes)
	hasRoom := staysNear || room >= minLocalRoom && (tried.n == 0 || local.room.isSure())
	isOnlyDomain := local.target != nil && len(v.local) == len(v.all)
	if isOnlyDomain || hasRoom && local.expected <= localObjectiveShare(size)*float64(e.need.Objective) {
		return local, ReasonLocal
	}
	if e.need.IsLocal {
		return local, ReasonLocal
	}
	anywhere := e.choose(p, v.all, tried)
	switch {
	case anywhere.target == nil:
		return anywhere, ReasonNone
	case anywhere.isProbe:
		return anywhere, ReasonProbe
	case local.target == nil:
		return anywhere, ReasonRemote
	case !hasRoom && anywhere.room.positive() > room, anywhere.room.isSure() && anywhere.expected < maxRemoteShare*local.expected:
		return anywhere, ReasonExpected
	}
	return local, ReasonLocal
}

// callBytes returns how many bytes the bodies of the call's request and answer are expected to
// have.
func (e *estimator) callBytes(p *Picker) float64 {
	return float64(e.need.Bytes) + p.service(e.policy.Service).answerBytes[e.class].value()
}

// localObjectiveShare returns the part of the objective within which the local
// failure domain must be expected to answer, for calls that carry size bytes. It
// grows with the logarithm of the size.
func localObjectiveShare(size float64) float64 {
	interpolate := func(from, to, low, high float64) float64 {
		return low + (high-low)*math.Log2(size/from)/math.Log2(to/from)
	}
	switch {
	case size <= smallBytes:
		return smallShare
	case size <= middleBytes:
		return interpolate(smallBytes, middleBytes, smallShare, middleShare)
	case size < LargeBytes:
		return interpolate(middleBytes, LargeBytes, middleShare, largeShare)
	default:
		return largeShare
	}
}

// estimator estimates the latency of one call at the targets of a service.
type estimator struct {
	policy *applier.Policy
	need   Need
	now    instant
	class  int
	// meanRun is the mean run time over the targets that have reported one
	// within latencyFadeTime.
	meanRun time.Duration
	// ownKbps is the bandwidth of this instance's link, 0 for unlimited.
	ownKbps int
	// meanSuccess is the mean share of successful calls over all targets.
	meanSuccess float64
	// meanLoadShare is the mean of the mean loads of all targets that have reported
	// one, as a share of their slots.
	meanLoadShare float64
}

// estimator returns the estimator for a call, with the means over all targets in
// the view.
func (p *Picker) estimator(v *view, policy *applier.Policy, need Need, now instant) estimator {
	e := estimator{policy: policy, need: need, now: now, class: classIndex(policy), meanSuccess: 1, ownKbps: p.LinkKbps}
	var sum time.Duration
	known, success := 0, 0.0
	reported, loadShare := 0, 0.0
	for _, t := range v.all {
		run := t.reported.meanRuns[e.class].Load()
		if run > 0 && now.sub(instant(t.reported.at.Load())) < latencyFadeTime {
			sum += time.Duration(run)
			known++
		}
		success += 1 - t.failures.at(now)
		if t.reported.hasMean.Load() {
			loadShare += t.reported.meanShare.value()
			reported++
		}
	}
	if reported > 0 {
		e.meanLoadShare = loadShare / float64(reported)
	}
	e.meanRun = time.Duration(unknownRunShare * float64(need.Objective))
	if known > 0 {
		e.meanRun = sum / time.Duration(known)
	}
	if len(v.all) > 0 {
		e.meanSuccess = success / float64(len(v.all))
	}
	return e
}

// expectedLatency estimates the time to an answer of the target, in nanoseconds, and how many
// of its slots are free.
func (e *estimator) expectedLatency(t *target) (float64, forecast) {
	run := e.expectedRun(t)
	record := t.record.Load()
	if t.reported.meanRuns[e.class].Load() == 0 {
		if record.inUseSince != 0 && e.now.sub(record.inUseSince) < time.Duration(record.ColdMS)*time.Millisecond {
			run *= coldFactor
		}
	}
	slots := float64(t.slots(e.policy))
	room := e.forecast(t, slots, run)
	wait := room.queue() / slots * run
	if load := slots - room.free + 1; load > slots {
		run *= 1 + fullSlowdown
	} else if load > nearFullShare*slots {
		run *= 1 + fullSlowdown*(load/slots-nearFullShare)/(1-nearFullShare)
	}
	if success := e.relativeSuccess(t); success < 1 {
		run /= max(minWeight, success*success)
	}
	return wait + run + e.transit(t) + e.turn(t), room
}

// relativeSuccess returns the target's share of successful calls over the mean of the service, at
// most 1.
func (e *estimator) relativeSuccess(t *target) float64 {
	success := 1 - t.failures.at(e.now)
	if success >= e.meanSuccess {
		return 1
	}
	return success / max(e.meanSuccess, minWeight)
}

// turn returns the time that a call is expected to wait under the target's rate limit: as
// last reported, fading to none while the target reports nothing, because a target with a
// limit would otherwise never get another call.
func (e *estimator) turn(t *target) float64 {
	turn := float64(t.reported.turn.Load())
	if turn == 0 {
		return 0
	}
	age := e.now.sub(instant(t.reported.at.Load()))
	return turn * max(0, 1-float64(age)/float64(loadFadeTime))
}

// transit estimates the time on the way to and from the target's daemon: the
// transfer time of the body, and the time that calls recently waited on the links.
func (e *estimator) transit(t *target) float64 {
	return e.transferTime(t) + e.congestion(t)
}

// transferTime returns the time that the body takes on an empty link to the
// target.
func (e *estimator) transferTime(t *target) float64 {
	return transferTime(e.need.Bytes, t.record.Load().LinkKbps, e.ownKbps)
}

// transferTime returns the nanoseconds that n bytes take on the narrower of two
// links. A bandwidth of 0 is unlimited.
func transferTime(n, kbps, otherKbps int) float64 {
	if kbps == 0 || otherKbps > 0 && otherKbps < kbps {
		kbps = otherKbps
	}
	if kbps == 0 {
		return 0
	}
	return float64(n) * 8 / float64(kbps) * float64(time.Millisecond)
}

// congestion returns the time that calls recently waited on the way to the target.
// After loadFadeTime without an observation it fades to 0 over latencyFadeTime.
func (e *estimator) congestion(t *target) float64 {
	transit := &t.transits[e.class]
	mean := transit.mean.value()
	age := e.now.sub(instant(transit.observedAt.Load())) - loadFadeTime
	if age <= 0 {
		return mean
	}
	return mean * max(0, 1-float64(age)/float64(latencyFadeTime))
}

// expectedRun returns the expected run time at the target. A reported run time
// fades towards the mean of the service while the target reports no new one,
// because a target that was slow once would otherwise never get another call.
func (e *estimator) expectedRun(t *target) float64 {
	reported := float64(t.reported.meanRuns[e.class].Load())
	if reported == 0 {
		return float64(e.meanRun)
	}
	age := e.now.sub(instant(t.reported.at.Load())) - loadFadeTime
	if age <= 0 {
		return reported
	}
	faded := min(1, float64(age)/float64(latencyFadeTime))
	return reported + (float64(e.meanRun)-reported)*faded
}

// slots returns the number of calls that the target runs at a time: as last
// reported, else from its record unless the configuration limits slots, else
// from the policy.
func (t *target) slots(policy *applier.Policy) int {
	if n := t.reported.slots.Load(); n > 0 {
		return int(n)
	}
	if n := t.record.Load().Slots; n > 0 && !policy.SlotsConfigured {
		return n
	}
	return max(1, policy.Slots)
}

// randFloat returns a random number in [0, 1).
func (p *Picker) randFloat() float64 { return float64(p.randUint64()>>11) / (1 << 53) }

// outlierFactor and outlierMargin define an outlier: its share of failures
// exceeds outlierFactor times the mean of the others of its service, plus
// outlierMargin.
const (
	outlierFactor = 2
	outlierMargin = 0.05
)

// IsOutlier reports whether the target fails clearly more often than the others
// of its service. When all fail alike, the cause is likely a service that they
// call, and another target would fail as well.
func (c Choice) IsOutlier() bool {
	if c.target == nil {
		return false
	}
	now := c.picker.now()
	v := c.picker.view(c.policy.Service, now)
	others, n := 0.0, 0
	for _, t := range v.all {
		if t != c.target {
			others += t.failures.at(now)
			n++
		}
	}
	return n > 0 && c.target.failures.at(now) > outlierFactor*others/float64(n)+outlierMargin
}
