package picker

import (
	"time"

	"go.uber.org/zap"
)

// Outcome classifies how an attempt ended, as evidence about its target.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered means that the target sent a whole answer that is not a server
	// error.
	Answered Outcome = iota
	// Failed means a server error, a lost link, or a deadline that passed.
	Failed
	// Unreachable means that no link to the target's daemon could be opened, or
	// that it could not reach the target.
	Unreachable
	// Overloaded means that the target's daemon refused the call for lack of
	// capacity.
	Overloaded
	// Congested means that the way to the target is too congested for the call's
	// body. It says nothing about calls without a body.
	Congested
	// Draining means that the target accepts no new calls.
	Draining
	// Abandoned means that the caller cancelled the call or that another attempt
	// was faster. It shows only that the target took at least that long.
	Abandoned
)

// Result is what an attempt reported about its target and the path to it.
type Result struct {
	Outcome Outcome
	// Running and Waiting are the calls at the target's daemon as reported with
	// the answer, without the answered call. They are valid when HasLoad is set.
	Running, Waiting int
	// HasLoad is set when the answer reported the load of the target.
	HasLoad bool
	// Slots is the number of calls that the target runs at a time, and Run the
	// mean time that calls of this class take there. Both are valid when HasLoad
	// is set; 0 means unknown.
	Slots int
	Run   time.Duration
	// Turn is how long one more call would wait under the target's rate limit. It is valid
	// when HasLoad is set.
	Turn time.Duration
	// Transit is the time that the call spent on its way to and from the
	// target's daemon; 0 means unknown.
	Transit time.Duration
	// Bytes is the size of the answer's body.
	Bytes int
	// IsServerError is set when the target answered with a server error. The
	// cause may be a service that the target itself calls.
	IsServerError bool
	// Draining is set when the answer reported that the target drains.
	Draining bool
}

const (
	// answerBytesWeight is the weight of the newest answer in the mean answer
	// size.
	answerBytesWeight = 0.05
	// ejectFailureShare is the share of failures at which a target is ejected
	// even if it also answers calls successfully in between.
	ejectFailureShare = 0.5
	// maxEjectDoublings bounds the exponential growth of the ejection time.
	maxEjectDoublings = 6
	// ejectionResetFactor is the number of ejection times that a target must
	// stay in use without another ejection before its next one is as short as
	// the first.
	ejectionResetFactor = 10
)

// Done records the result of an attempt and ends it.
func (c Choice) Done(r Result) {
	t := c.target
	if t == nil {
		return
	}
	now := c.picker.now()
	inFlight := t.inFlight.Add(-1)
	if r.HasLoad {
		calls := int64(r.Running + r.Waiting)
		t.reported.observe(calls, max(0, calls-inFlight), int64(r.Slots), now)
		t.reported.slots.Store(int64(r.Slots))
		t.reported.turn.Store(int64(r.Turn))
		t.reported.meanRuns[classIndex(c.policy)].Store(int64(r.Run))
	}
	if r.Transit > 0 {
		transfer := transferTime(c.need.Bytes+r.Bytes, t.record.Load().LinkKbps, c.picker.LinkKbps)
		t.transits[classIndex(c.policy)].observe(r.Transit-time.Duration(transfer), now)
	}
	if r.Draining || r.Outcome == Draining {
		t.drainSequence.Store(t.record.Load().Sequence + 1)
	}
	switch r.Outcome {
	case Answered:
		c.picker.service(c.policy.Service).answerBytes[classIndex(c.policy)].add(float64(r.Bytes), answerBytesWeight)
		c.recordSuccess(now)
	case Failed:
		if r.IsServerError && c.byEstimate {
			// All targets of the service may answer with errors. The estimate compares
			// their failure shares, so the target is not ejected here.
			t.failures.observe(1, now)
			break
		}
		c.recordFailure(now, int64(c.policy.EjectAfterFailures))
	case Unreachable:
		if t.domain.recordUnreachable(t, c.probe, now) {
			c.picker.Counters.DomainsLost.Add(1)
		}
		c.recordFailure(now, 1)
	case Abandoned:
		c.observeLowerBound(now)
	case Overloaded:
		if c.byEstimate && c.hasRoomElsewhere(now) {
			c.picker.Counters.RefusedBesideRoom.Add(1)
		}
		// A target that refuses calls counts as having all slots in use. As with a
		// reported load, this fades over loadFadeTime.
		full := int64(t.slots(c.policy))
		t.reported.observe(full, max(full, t.reported.otherCalls.Load()), full, now)
	}
	if c.probe {
		t.probing.Store(false)
		t.domain.probing.Store(false)
	}
}

// recordSuccess records an answer that is not a server error. A successful probe
// ends the ejection of the target.
func (c Choice) recordSuccess(now instant) {
	t := c.target
	t.domain.recordAnswer()
	t.consecutiveFailures.Store(0)
	t.failures.observe(0, now)
	t.latencies[classIndex(c.policy)].observe(now.sub(c.start), now)
	until := instant(t.ejectedUntil.Load())
	if until != 0 && c.probe {
		t.readmittedAt.Store(int64(now))
		t.ejectedUntil.Store(0)
		t.failures.reset()
		c.picker.Counters.Readmissions.Add(1)
		if c.picker.Log != nil {
			c.picker.Log.Info("target-readmitted", zap.String("target", c.Record.InstanceID), zap.String("service", c.policy.Service))
		}
	}
	if until == 0 && t.ejections.Load() > 0 && now.sub(instant(t.readmittedAt.Load())) > ejectionResetFactor*c.policy.EjectFor {
		t.ejections.Store(0)
	}
}

// observeLowerBound records the latency of an attempt that brought no answer: an
// answer would have taken longer than the attempt lasted. It never lowers the
// mean latency.
func (c Choice) observeLowerBound(now instant) {
	l, took := &c.target.latencies[classIndex(c.policy)], now.sub(c.start)
	if float64(took) > l.mean.value() {
		l.observe(took, now)
	}
}

// recordFailure records a failure. It ejects the target after limit failures in
// a row, after a failed probe, or when the target fails often. A fast failure
// does not lower the mean latency.
func (c Choice) recordFailure(now instant, limit int64) {
	t := c.target
	c.observeLowerBound(now)
	t.failures.observe(1, now)
	failures := t.consecutiveFailures.Add(1)
	if failures >= limit || c.probe || t.failsOften(now) {
		c.eject(now)
	}
}

// failsOften reports whether at least ejectFailureShare of the target's calls
// fail. It requires more than one failure in a row, so that a first failure
// alone does not count.
func (t *target) failsOften(now instant) bool {
	return t.consecutiveFailures.Load() > 1 && t.failures.at(now) >= ejectFailureShare
}

// eject ejects the target for EjectFor, doubled for each earlier ejection,
// unless the service has reached its share of ejected targets or the target is
// already ejected. A failed probe prolongs the ejection.
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
			zap.Int64("failures", t.consecutiveFailures.Load()), zap.Float64("failing", t.failures.at(now)),
			zap.Duration("length", c.policy.EjectFor<<doublings))
	}
}
