package picker

import (
	"time"

	"go.uber.org/zap"
)

// Outcome says what an attempt showed of its target.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered is a whole answer that is no server error.
	Answered Outcome = iota
	// Failed is a server error, a lost link, or a deadline that passed.
	Failed
	// Unreachable means that no link to the target's daemon could be opened, or
	// that it could not reach the target.
	Unreachable
	// Overloaded means that the target's daemon refused for want of capacity.
	Overloaded
	// Congested means that the way to the target is too full for the call's body. It
	// says nothing about calls without one.
	Congested
	// Draining means that the target takes no new calls.
	Draining
	// Abandoned means that the caller went away, or that another attempt was
	// faster. It shows only that the target took at least as long.
	Abandoned
)

// Result is what an attempt showed.
type Result struct {
	Outcome Outcome
	// Running and Waiting are the calls at the target's daemon as told on the
	// answer, without the answered call; they count when Told is set.
	Running, Waiting int
	HasLoad          bool
	// Slots is the number of calls that the target runs at a time, and Run the mean
	// time that calls of this class take there; both count when Told is set, and 0
	// is not known.
	Slots int
	Run   time.Duration
	// Transit is the time that the call spent on its way to and from the target's
	// daemon; 0 is not known.
	Transit time.Duration
	// Bytes is the size of the answer's body.
	Bytes int
	// IsServerError says that the target answered, with a server error. It may be
	// those that the target calls that fail.
	IsServerError bool
	// Draining is set when the answer said that the target drains.
	Draining bool
}

const (
	// sizeWeight is the weight of the newest answer in the mean size.
	sizeWeight = 0.05
	// failingLimit is the share of failures at which a target is ejected also
	// when successes lie between them.
	failingLimit = 0.5
	// maxEjectDoublings bounds the growth of ejections.
	maxEjectDoublings = 6
	// forgetAfter is the number of ejection times without a further one after
	// which ejections start from the shortest again.
	forgetAfter = 10
)

// Done ends an attempt.
func (c Choice) Done(r Result) {
	t := c.target
	if t == nil {
		return
	}
	now := c.picker.now()
	own := t.inFlight.Add(-1)
	if r.HasLoad {
		t.told.others.Store(max(0, int64(r.Running+r.Waiting)-own))
		t.told.at.Store(int64(now))
		t.told.slots.Store(int64(r.Slots))
		t.told.runs[classIndex(c.policy)].Store(int64(r.Run))
	}
	if r.Transit > 0 {
		carried := carryTime(c.need.Bytes+r.Bytes, t.record.Load().LinkKbps, c.picker.LinkKbps)
		t.transits[classIndex(c.policy)].observe(r.Transit-time.Duration(carried), now)
	}
	if r.Draining || r.Outcome == Draining {
		t.drainSequence.Store(t.record.Load().Sequence + 1)
	}
	switch r.Outcome {
	case Answered:
		c.picker.service(c.policy.Service).answerBytes[classIndex(c.policy)].add(float64(r.Bytes), sizeWeight)
		c.succeed(now)
	case Failed:
		if r.IsServerError && c.judged {
			// Every target of the service may answer so: it is judged against the others.
			t.failing.add(1, failureWeight)
			break
		}
		c.fail(now, int64(c.policy.EjectAfterFailures))
	case Unreachable:
		if t.domain.fail(t, c.probe, now) {
			c.picker.Counters.DomainsLost.Add(1)
		}
		c.fail(now, 1)
	case Abandoned:
		c.observeAtLeast(now)
	case Overloaded:
		t.told.others.Store(max(int64(c.policy.Slots), t.told.others.Load()))
		t.told.at.Store(int64(now))
	}
	if c.probe {
		t.probing.Store(false)
		t.domain.probing.Store(false)
	}
}

func (c Choice) succeed(now instant) {
	t := c.target
	t.domain.answered()
	t.failures.Store(0)
	t.failing.add(0, failureWeight)
	t.latencies[classIndex(c.policy)].observe(now.sub(c.start), now)
	until := instant(t.ejectedUntil.Load())
	if until != 0 && c.probe {
		t.since.Store(int64(now))
		t.ejectedUntil.Store(0)
		t.failing.bits.Store(0)
		c.picker.Counters.Readmissions.Add(1)
		if c.picker.Log != nil {
			c.picker.Log.Info("target-readmitted", zap.String("target", c.Record.InstanceID), zap.String("service", c.policy.Service))
		}
	}
	if until == 0 && t.ejections.Load() > 0 && now.sub(instant(t.since.Load())) > forgetAfter*c.policy.EjectFor {
		t.ejections.Store(0)
	}
}

// observeAtLeast takes in an attempt that brought no answer: the answer would
// have taken longer than the attempt lasted. It never improves the latency.
func (c Choice) observeAtLeast(now instant) {
	l, took := &c.target.latencies[classIndex(c.policy)], now.sub(c.start)
	if float64(took) > l.mean.value() {
		l.observe(took, now)
	}
}

// fail books a failure and ejects the target when limit failures followed each
// other or half of its calls fail. A fast failure does not improve the latency.
func (c Choice) fail(now instant, limit int64) {
	t := c.target
	c.observeAtLeast(now)
	t.failing.add(1, failureWeight)
	failures := t.failures.Add(1)
	if failures >= limit || c.probe || t.failsOften() {
		c.eject(now)
	}
}

// failsOften looks at targets that have failed more than once in a row, so that
// a first failure is not taken for all of a target's calls.
func (t *target) failsOften() bool {
	return t.failures.Load() > 1 && t.failing.value() >= failingLimit
}

func (c Choice) eject(now instant) {
	t := c.target
	s := c.picker.service(c.policy.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	until := instant(t.ejectedUntil.Load())
	if until != 0 && !c.probe {
		return
	}
	if until == 0 && !s.mayEject(c.policy) {
		c.picker.Counters.Capped.Add(1)
		return
	}
	doublings := min(t.ejections.Add(1)-1, maxEjectDoublings)
	t.ejectedUntil.Store(int64(now.add(c.policy.EjectFor << doublings)))
	c.picker.Counters.Ejections.Add(1)
	if c.picker.Log != nil {
		c.picker.Log.Warn("target-ejected", zap.String("target", c.Record.InstanceID), zap.String("service", c.policy.Service),
			zap.Int64("failures", t.failures.Load()), zap.Float64("failing", t.failing.value()),
			zap.Duration("length", c.policy.EjectFor<<doublings))
	}
}
