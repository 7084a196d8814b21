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
	// moving averages.
	latencyWeight = 0.2
	failureWeight = 0.1
	// latencyTolerance is the ratio of latencies up to which two targets count
	// as equally fast.
	latencyTolerance = 2
	// latencyMemory is how long a target is avoided for its latency without a
	// new observation.
	latencyMemory = 5 * time.Second
	// loadMemory is how long a told load counts.
	loadMemory = time.Second
	// minWeight is the least weight of a target in use.
	minWeight = 0.05
)

// average is an exponentially weighted moving average.
type average struct{ bits atomic.Uint64 }

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

// add takes in a value with a weight of 0 to 1.
func (a *average) add(value, weight float64) {
	for {
		old := a.bits.Load()
		mean := math.Float64frombits(old)
		if a.bits.CompareAndSwap(old, math.Float64bits(mean+(value-mean)*weight)) {
			return
		}
	}
}

// latency is what was seen of a target's answers of one class.
type latency struct {
	mean average
	// seen is when the newest answer came.
	seen atomic.Int64
}

// observe takes in the latency of an answer. The first one is taken as it is.
func (l *latency) observe(took time.Duration, now instant) {
	weight := latencyWeight
	if l.mean.value() == 0 {
		weight = 1
	}
	l.mean.add(float64(max(took, 1)), weight)
	l.seen.Store(int64(now))
}

// toldLoad is what a target's daemon told of the calls of other choosers.
type toldLoad struct {
	others atomic.Int64
	at     atomic.Int64
	slots  atomic.Int64
	// runs holds the mean run of each class at the target, 0 when not known.
	runs [classCount]atomic.Int64
}

// knownRecord is a record with the time from which its target is in use.
type knownRecord struct {
	tracker.Record
	since instant
}

// target is what this daemon knows of one target. All fields may be used by
// many goroutines.
type target struct {
	domain *domain
	record atomic.Pointer[knownRecord]

	inFlight  atomic.Int64
	told      toldLoad
	latencies [classCount]latency
	// transits is the time that calls of each class spent on their way.
	transits [classCount]latency

	// failures counts the failures since the last success.
	failures atomic.Int64
	// failing is the share of failures, 0 to 1.
	failing average
	// ejectedUntil is 0 for a target that is not ejected. Ejection lasts until a
	// probe has succeeded.
	ejectedUntil atomic.Int64
	ejections    atomic.Int64
	probing      atomic.Bool
	// since is when the target came back from its last ejection.
	since atomic.Int64
	// drainSequence is the sequence of the record that was in force when an
	// answer said that the target drains, plus one.
	drainSequence atomic.Uint64
}

// classCount is the number of call classes.
const classCount = 4

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

// standing says whether a target may get a call.
type standing int

const (
	standingIn standing = iota
	// standingProbe means that one call at a time may find out.
	standingProbe
	standingOut
)

func (t *target) standing(policy *applier.Policy, now instant) standing {
	if t.drains() {
		return standingOut
	}
	if t.domain.lost.Load() {
		return probeFrom(instant(t.domain.until.Load()), policy, now)
	}
	until := instant(t.ejectedUntil.Load())
	if until == 0 {
		return standingIn
	}
	return probeFrom(until, policy, now)
}

// probeFrom lets calls that may run twice probe first, and others only when
// none has come for another ejection time.
func probeFrom(until instant, policy *applier.Policy, now instant) standing {
	if !policy.Idempotent {
		until = until.add(policy.EjectFor)
	}
	if now < until {
		return standingOut
	}
	return standingProbe
}

// startProbe claims the single call that finds out whether a target is back.
func (t *target) startProbe() bool {
	if t.domain.lost.Load() {
		return t.domain.probing.CompareAndSwap(false, true)
	}
	return t.probing.CompareAndSwap(false, true)
}

// isUsable says whether the target is in ordinary use.
func (t *target) isUsable(now instant) bool {
	return !t.drains() && t.ejectedUntil.Load() == 0 && !t.domain.lost.Load() && now > 0
}

func (t *target) drains() bool {
	sequence := t.drainSequence.Load()
	return sequence != 0 && t.record.Load().Sequence < sequence
}

// weight is the chance with which a drawn target is considered. It grows to 1
// in the policy's slow start and falls with the share of failures. A chance in
// place of a handicap keeps some calls coming, which show when it may rise.
func (t *target) weight(policy *applier.Policy, now instant) float64 {
	success := 1 - t.failing.value()
	weight := success * success
	since := max(t.record.Load().since, instant(t.since.Load()))
	if age := now.sub(since); since != 0 && age < policy.SlowStart {
		weight *= float64(age) / float64(policy.SlowStart)
	}
	return max(minWeight, weight)
}

// load estimates the calls that the target runs: those of this daemon, and
// those of others as far as it has lately told.
func (t *target) load(now instant) float64 {
	own := float64(t.inFlight.Load())
	age := now.sub(instant(t.told.at.Load()))
	if age >= loadMemory {
		return own
	}
	return own + float64(t.told.others.Load())*(1-float64(age)/float64(loadMemory))
}

// isBetter says whether the target promises an earlier answer than other.
func (t *target) isBetter(other *target, policy *applier.Policy, now instant) bool {
	c := classIndex(policy)
	mine, theirs := &t.latencies[c], &other.latencies[c]
	return (t.load(now)+1)*mine.excess(theirs, now) < (other.load(now)+1)*theirs.excess(mine, now)
}

// excess returns by how much the target is slower than other, 1 for not at
// all. It fades while the target gets no calls.
func (l *latency) excess(other *latency, now instant) float64 {
	mean, otherMean := l.mean.value(), other.mean.value()
	if otherMean == 0 || mean <= latencyTolerance*otherMean {
		return 1
	}
	age := now.sub(instant(l.seen.Load()))
	if age >= latencyMemory {
		return 1
	}
	return 1 + (mean/otherMean-1)*(1-float64(age)/float64(latencyMemory))
}
