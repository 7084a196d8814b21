package picker

import (
	"math"
	"sync/atomic"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// latencyWeight and failureWeight are the weights of the newest call in the
	// exponentially weighted moving averages. A latency weighs more after a pause.
	latencyWeight = 0.2
	failureWeight = 0.1
	// latencyTolerance is the ratio of mean latencies up to which two targets
	// count as equally fast.
	latencyTolerance = 2
	// failureFadeTime is the time in which a share of failures loses its effect without a new
	// call. Calls for which other targets have room would otherwise never reach the target
	// again.
	failureFadeTime = 30 * time.Second
	// latencyFadeTime is the time in which an observed latency loses its effect
	// without a new observation, so that a target is not avoided forever.
	latencyFadeTime = 5 * time.Second
	// loadFadeTime is the time in which a reported load fades to the target's mean
	// load. Reported run times and congestion keep their full effect for this time,
	// then fade over latencyFadeTime.
	loadFadeTime = time.Second
	// loadWeight is the weight of the newest report in a target's mean load.
	loadWeight = 0.3
	// minWeight is the lowest weight of a target in use, and the lowest share of
	// successes that estimates divide by.
	minWeight = 0.05
)

// average is an exponentially weighted moving average. The bits are those of a
// float64.
type average struct{ bits atomic.Uint64 }

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

// add includes a value with a weight of 0 to 1.
func (a *average) add(value, weight float64) {
	a.update(func(mean float64) float64 { return mean + (value-mean)*weight })
}

// scale multiplies the mean.
func (a *average) scale(factor float64) {
	if factor != 1 {
		a.update(func(mean float64) float64 { return mean * factor })
	}
}

// update replaces the mean.
func (a *average) update(next func(mean float64) float64) {
	for {
		old := a.bits.Load()
		if a.bits.CompareAndSwap(old, math.Float64bits(next(math.Float64frombits(old)))) {
			return
		}
	}
}

// failureShare is the moving average of failures of one target, 0 to 1.
type failureShare struct {
	mean average
	// observedAt is when the newest call ended.
	observedAt atomic.Int64
}

// observe includes a call, 1 for a failed one and 0 for others.
func (f *failureShare) observe(failed float64, now instant) {
	before := instant(f.observedAt.Swap(int64(now)))
	f.mean.scale(f.kept(before, now))
	f.mean.add(failed, failureWeight)
}

// at returns the share, of which a part has faded since the newest call.
func (f *failureShare) at(now instant) float64 {
	mean := f.mean.value()
	if mean == 0 {
		return 0
	}
	return mean * f.kept(instant(f.observedAt.Load()), now)
}

// kept returns the part of the share that is left at now.
func (f *failureShare) kept(since, now instant) float64 {
	return min(1, max(0, 1-float64(now.sub(since))/float64(failureFadeTime)))
}

// reset forgets all failures.
func (f *failureShare) reset() { f.mean.bits.Store(0) }

// latency is the mean of the times observed for one target and class.
type latency struct {
	mean average
	// observedAt is when the newest time was observed.
	observedAt atomic.Int64
}

// observe includes a time in the mean, with the weight that the mean has lost since the last
// one, or latencyWeight if that is more. The first time becomes the mean.
func (l *latency) observe(took time.Duration, now instant) {
	age := now.sub(instant(l.observedAt.Load()))
	weight := min(1, max(latencyWeight, float64(age)/float64(latencyFadeTime)))
	if l.mean.value() == 0 {
		weight = 1
	}
	l.mean.add(float64(max(took, 1)), weight)
	l.observedAt.Store(int64(now))
}

// reportedLoad is the load that a target's daemon last reported with an answer.
type reportedLoad struct {
	// otherCalls is the number of calls at the target's daemon that came from
	// other daemons.
	otherCalls atomic.Int64
	// at is when the load was reported.
	at atomic.Int64
	// slots is the number of calls that the target runs at a time, 0 if unknown.
	slots atomic.Int64
	// turn is how long one more call would wait under the target's rate limit, in
	// nanoseconds.
	turn atomic.Int64
	// meanShare is the moving average of the reported loads, as a share of the slots.
	meanShare average
	// meanOthers is the moving average of otherCalls, as a share of the slots.
	meanOthers average
	// hasMean is set once a load was reported.
	hasMean atomic.Bool
	// meanRuns holds the mean run time of each class at the target, 0 if
	// unknown.
	meanRuns [classCount]atomic.Int64
}

// knownRecord is a record and the instant from which its target is in use. An
// inUseSince of 0 means that the target was first seen within startupPeriod and
// skips slow start.
type knownRecord struct {
	tracker.Record
	inUseSince instant
}

// target is the state that this daemon keeps of one target. All fields are safe
// for concurrent use.
type target struct {
	domain *domain
	record atomic.Pointer[knownRecord]

	// inFlight is the number of this daemon's attempts in flight at the target.
	inFlight  atomic.Int64
	reported  reportedLoad
	latencies [classCount]latency
	// transits is the time that calls of each class waited on the way, beyond
	// the time that their bytes take on an empty link.
	transits [classCount]latency

	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures atomic.Int64
	failures            failureShare
	// ejectedUntil is when an ejected target may be probed, 0 for a target that
	// is not ejected. The ejection ends only when a probe succeeds.
	ejectedUntil atomic.Int64
	// ejections is the number of ejections that count for the length of the next
	// one.
	ejections atomic.Int64
	// probing is set while a probe of the ejected target is in flight.
	probing atomic.Bool
	// readmittedAt is when the target's last ejection ended.
	readmittedAt atomic.Int64
	// drainSequence is one more than the sequence of the record that was current
	// when an answer reported that the target drains. Newer records override the
	// report; 0 means no report.
	drainSequence atomic.Uint64
}

// observe records a report of calls at the target's daemon, otherCalls of which came
// from other daemons.
func (l *reportedLoad) observe(calls, otherCalls, slots int64, now instant) {
	l.otherCalls.Store(otherCalls)
	l.at.Store(int64(now))
	if slots <= 0 {
		return
	}
	weight := loadWeight
	if l.hasMean.CompareAndSwap(false, true) {
		weight = 1
	}
	l.meanShare.add(float64(calls)/float64(slots), weight)
	l.meanOthers.add(float64(otherCalls)/float64(slots), weight)
}

// classCount is the number of call classes.
const classCount = 4

// classIndex returns the index of the policy's call class in arrays by class.
func classIndex(p *applier.Policy) int {
	switch p.Class {
	case versioner.ClassInternalRead:
		return 0
	case versioner.ClassLookup:
		return 1
	case versioner.ClassPosting:
		return 2
	default:
		return 3
	}
}

// eligibility is whether a target may get a call.
type eligibility int

const (
	eligible eligibility = iota
	// eligibleForProbe means that the target may get a single call as a probe.
	eligibleForProbe
	ineligible
)

// eligibility returns whether the target may get a call now.
func (t *target) eligibility(policy *applier.Policy, now instant) eligibility {
	if t.isDraining() {
		return ineligible
	}
	if t.domain.lost.Load() {
		return probeFrom(instant(t.domain.probeAt.Load()), policy, now)
	}
	until := instant(t.ejectedUntil.Load())
	if until == 0 {
		return eligible
	}
	return probeFrom(until, policy, now)
}

// probeFrom returns the eligibility of a target that may be probed from the
// given instant. Calls that are not idempotent wait for one more ejection time,
// so that idempotent calls, which may safely run twice, probe first.
func probeFrom(from instant, policy *applier.Policy, now instant) eligibility {
	if !policy.Idempotent {
		from = from.add(policy.EjectFor)
	}
	if now < from {
		return ineligible
	}
	return eligibleForProbe
}

// claimProbe claims the single probe that may be in flight to a target, or to
// its lost domain, and reports whether it succeeded.
func (t *target) claimProbe() bool {
	if t.domain.lost.Load() {
		return t.domain.probing.CompareAndSwap(false, true)
	}
	return t.probing.CompareAndSwap(false, true)
}

// isUsable reports whether the target is neither draining nor ejected nor in a
// lost domain.
func (t *target) isUsable(now instant) bool {
	return !t.isDraining() && t.ejectedUntil.Load() == 0 && !t.domain.lost.Load() && now > 0
}

// isDraining reports whether an answer reported that the target drains and no
// newer record has replaced the one that was current then.
func (t *target) isDraining() bool {
	sequence := t.drainSequence.Load()
	return sequence != 0 && t.record.Load().Sequence < sequence
}

// weight returns the probability that a target drawn at random is considered. It
// rises to 1 during the policy's slow start and falls with the share of
// failures. Because it is a probability and not a penalty on the load, some
// calls always reach the target and show when it may rise.
func (t *target) weight(policy *applier.Policy, now instant) float64 {
	success := 1 - t.failures.at(now)
	weight := success * success
	since := max(t.record.Load().inUseSince, instant(t.readmittedAt.Load()))
	if age := now.sub(since); since != 0 && age < policy.SlowStart {
		weight *= float64(age) / float64(policy.SlowStart)
	}
	return max(minWeight, weight)
}

// load estimates the number of calls that the target runs: those of this daemon, plus
// those of others. These are the ones last reported, which fade to the target's mean load over
// loadFadeTime, and some seconds later to none: a target that was full once would otherwise
// never get another call. Calls with an objective use a forecast instead.
func (t *target) load(slots int, now instant) float64 {
	share, recent := 0.0, 0.0
	if at := instant(t.reported.at.Load()); at != 0 {
		age := now.sub(at)
		recent = max(0, 1-float64(age)/float64(loadFadeTime))
		if t.reported.hasMean.Load() {
			faded := min(1, max(0, float64(age)/float64(latencyFadeTime)-1))
			share = t.reported.meanShare.value() * (1 - faded)
		}
	}
	return float64(t.inFlight.Load()) + recent*float64(t.reported.otherCalls.Load()) + (1-recent)*share*float64(slots)
}

// isBetter reports whether the target is expected to answer sooner than other,
// by load and mean latency.
func (t *target) isBetter(other *target, policy *applier.Policy, now instant) bool {
	c := classIndex(policy)
	mine, theirs := &t.latencies[c], &other.latencies[c]
	load, otherLoad := t.load(t.slots(policy), now), other.load(other.slots(policy), now)
	return (load+1)*mine.slowdownVersus(theirs, now) < (otherLoad+1)*theirs.slowdownVersus(mine, now)
}

// slowdownVersus returns the factor by which the target is slower than other, or
// 1 if it is not slower by more than latencyTolerance. The factor fades to 1
// while the target gets no calls.
func (l *latency) slowdownVersus(other *latency, now instant) float64 {
	mean, otherMean := l.mean.value(), other.mean.value()
	if otherMean == 0 || mean <= latencyTolerance*otherMean {
		return 1
	}
	age := now.sub(instant(l.observedAt.Load()))
	if age >= latencyFadeTime {
		return 1
	}
	return 1 + (mean/otherMean-1)*(1-float64(age)/float64(latencyFadeTime))
}
