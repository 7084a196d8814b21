package picker

const (
	// jitterShare is the largest random increase of an estimate, as a share of it, so that
	// daemons with the same information do not all choose the same target.
	jitterShare = 0.15
	// minRoom is the number of free slots that the target with the earliest expected answer is
	// expected to have at least. With less, many daemons would overrun it.
	minRoom = 1
	// minLocalRoom is the least room that the candidate of the local failure domain is expected
	// to have. With less, another domain may have more.
	minLocalRoom = 0.25
)

// candidate is the target of a set that suits a call best.
type candidate struct {
	// target is nil if the set has no eligible target that was not tried.
	target *target
	// expected is the expected latency in nanoseconds.
	expected float64
	// room forecasts its free slots.
	room forecast
	// isDrawn is set if the target was drawn at random.
	isDrawn bool
	// isProbe is set if the call is a probe of the target. Nothing else is known then.
	isProbe bool
}

// choose returns the candidate of the set: the target with the earliest expected answer. If that
// is not expected to have room, it draws one, so that all daemons together send each target
// about what it can take.
func (e *estimator) choose(p *Picker, set []*target, tried *Tried) candidate {
	earliest := e.earliest(p, set, tried)
	if earliest.target == nil || earliest.isProbe || earliest.room.positive() >= minRoom {
		return earliest
	}
	if drawn := e.draw(p, set, tried); drawn.target != nil {
		return drawn
	}
	return earliest
}

// earliest returns the target of the set with the earliest expected answer, or one that may be
// probed. It compares the estimates after a random increase of up to jitterShare.
func (e *estimator) earliest(p *Picker, set []*target, tried *Tried) candidate {
	var c, best candidate
	var bestJittered float64
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
		c.target = t
		c.expected, c.room = e.expectedLatency(t)
		if best.target != nil && c.expected >= bestJittered {
			continue
		}
		jittered := c.expected * (1 + jitterShare*p.randFloat())
		if success := e.relativeSuccess(t); success < 1 {
			// A target that answers with errors at once always has room.
			jittered /= max(minWeight, success*success)
		}
		if best.target == nil || jittered < bestJittered {
			best, bestJittered = c, jittered
		}
	}
	return best
}

// draw returns a target of the set that is drawn at random by its weight, or none if all weights
// are 0.
func (e *estimator) draw(p *Picker, set []*target, tried *Tried) candidate {
	c, drawn := candidate{isDrawn: true}, candidate{}
	weights := 0.0
	for _, t := range set {
		if tried.has(t) || t.eligibility(e.policy, e.now) != eligible {
			continue
		}
		c.target = t
		c.expected, c.room = e.expectedLatency(t)
		if weight := e.weight(&c); weight > 0 {
			weights += weight
			if p.randFloat()*weights < weight {
				drawn = c
			}
		}
	}
	return drawn
}

// countCandidate counts how the candidate was found.
func (c *Counters) countCandidate(x candidate) {
	switch {
	case x.isDrawn:
		c.Drawn.Add(1)
	case !x.isProbe && x.room.positive() < minRoom:
		c.Full.Add(1)
	}
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
