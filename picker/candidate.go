package picker

const (
	// jitterShare is the largest random increase of an estimate, as a share of it, so that
	// daemons with the same information do not all choose the same target.
	jitterShare = 0.15
	// minLocalRoom is the least room that the candidate of the local failure domain is expected
	// to have. With less, another domain may have more.
	minLocalRoom = 0.25
	// minSureSuccess is the relative success below which a target counts as failing. A target that
	// answers with errors at once always has free slots.
	minSureSuccess = 0.85
)

// candidate is the target of a set that suits a call best.
type candidate struct {
	// target is nil if the set has no eligible target that was not tried.
	target *target
	// expected is the expected latency in nanoseconds.
	expected float64
	// room forecasts its free slots.
	room forecast
	// isSure is set if the target is expected to answer in time, has room with some
	// certainty, and does not fail more often than others.
	isSure bool
	// isDrawn is set if the target was drawn at random.
	isDrawn bool
	// isProbe is set if the call is a probe of the target. Nothing else is known then.
	isProbe bool
}

// choose returns the candidate of the set: the target with the earliest expected answer among
// those that surely have room. If none has, it draws a target at random by its weight, so
// that all daemons together send each target about what it can take. If no target can be expected
// to have room and to answer in time, it is the one with the earliest expected answer.
func (e *estimator) choose(p *Picker, set []*target, tried *Tried) candidate {
	var c, sure, drawn, earliest candidate
	var sureTime, earliestTime, weights float64
	for _, t := range set {
		if tried.has(t) {
			continue
		}
		switch t.eligibility(e.policy, e.now) {
		case ineligible:
			continue
		case eligibleForProbe:
			if t.claimProbe() {
				return candidate{target: t, isProbe: true}
			}
			continue
		}
		e.assess(t, &c)
		if sure.target != nil && (!c.isSure || c.expected >= sureTime) {
			continue
		}
		random := p.randFloat()
		jittered := c.expected * (1 + jitterShare*random)
		if c.isSure {
			if sure.target == nil || jittered < sureTime {
				sure, sureTime = c, jittered
			}
			continue
		}
		if earliest.target == nil || jittered < earliestTime {
			earliest, earliestTime = c, jittered
		}
		if weight := e.weight(&c); weight > 0 {
			weights += weight
			if random*weights < weight {
				drawn, drawn.isDrawn = c, true
			}
		}
	}
	switch {
	case sure.target != nil:
		return sure
	case drawn.target != nil:
		return drawn
	}
	return earliest
}

// countCandidate counts how the candidate was found.
func (c *Counters) countCandidate(x candidate) {
	switch {
	case x.isDrawn:
		c.Drawn.Add(1)
	case !x.isSure && !x.isProbe:
		c.Full.Add(1)
	}
}

// assess makes c the candidate that the target is.
func (e *estimator) assess(t *target, c *candidate) {
	c.target = t
	c.expected, c.room = e.expectedLatency(t)
	c.isSure = c.room.isSure() && c.expected <= float64(e.need.Objective) && e.relativeSuccess(t) >= minSureSuccess
}

// weight returns the weight of the candidate in a draw: its room, times the square of the part of
// the objective that an answer is expected to leave, over the expected latency, since a fast
// target is free again sooner. It is 0 if the answer is expected to be late, and small for a
// target that fails more often than others, where the call would probably be made in vain.
func (e *estimator) weight(c *candidate) float64 {
	left := 1 - c.expected/float64(e.need.Objective)
	if left <= 0 {
		return 0
	}
	success := e.relativeSuccess(c.target)
	success *= success
	success *= success
	return c.room.positive() * left * left * success * success / c.expected
}
