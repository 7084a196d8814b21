package canarier

import "math"

// A sequential test of each route, and of all together, compares the answers of the new
// version with those that the old one gave in the last seconds. It sums the logarithm of how
// much likelier each answer is from a bad version than from a good one, and never falls below
// 0 (CUSUM), so that many good answers don't hide a fault that comes late.
//
// It answers loads from a call a second to thousands: a good version is told from one that
// fails half of its calls after some 20 answers, from one that fails a sixth after some 100.

const (
	// goodFailures and badFailures are the shares of failures beyond the old version's that a
	// good version may have, and that a bad one is expected to have at least.
	goodFailures, badFailures = 0.03, 0.15
	// goodSlow and badSlow are the same for slow answers. Targets of one version differ in
	// speed by up to three times.
	goodSlow, badSlow = 0.10, 0.28
	// slowBuckets is how many buckets an answer lies above the old version's median at least
	// if it counts as slow: between four and six times as long.
	slowBuckets = 5
	// verdictSum is the sum at which a version is bad, doubtSum the one at which its share is
	// no longer raised.
	verdictSum, doubtSum = 8, 3
	// minAnswers is the least number of the new version's answers, since the sum was last 0,
	// that a verdict needs, and minControl the least number of the old one's that it compares
	// run times with.
	minAnswers, minControl = 20, 30
	// controlDecay is the part of the old version's counts that each round keeps: with four
	// rounds a second half of them go in 3.5 s.
	controlDecay = 0.95
	// priorAnswers and priorFailures stand for the old version's answers before the order, so
	// that a control of a few answers decides little.
	priorAnswers, priorFailures = 50.0, 0.5
	// maxRate keeps the rates of the test apart from 1.
	maxRate = 0.95
)

// Verdict says how the new version looks.
type Verdict struct {
	// IsBad says that the version is to be rolled back, IsDoubtful that its share must not be
	// raised now.
	IsBad, IsDoubtful bool
	// Reason is ReasonFailures or ReasonSlow for a bad version, and Route the route on which it
	// showed, "" for all together.
	Reason, Route string
}

// Judge collects the evidence of one order and reaches a verdict. The zero value is ready.
type Judge struct {
	routes map[string]*comparison
	// all compares all routes together.
	all comparison
	// NewAnswers, NewFailures and OldAnswers count all answers, for the operators.
	NewAnswers, NewFailures, OldAnswers uint64
}

// comparison compares the versions on one route.
type comparison struct {
	control control
	pending Counts
	fails   cusum
	slow    cusum
}

// control holds the old version's recent counts, which decay.
type control struct {
	answers, failures float64
	runs              [runBuckets]float64
}

// cusum is the sum of a sequential test.
type cusum struct {
	sum float64
	// n counts the answers since the sum was last 0.
	n float64
}

// Add takes in evidence of the order.
func (j *Judge) Add(e *Evidence) {
	if j.routes == nil {
		j.routes = make(map[string]*comparison)
	}
	c := j.routes[e.Route]
	if c == nil {
		c = new(comparison)
		j.routes[e.Route] = c
	}
	for _, c := range []*comparison{c, &j.all} {
		if e.IsNew {
			c.pending.Add(&e.Counts)
		} else {
			c.control.add(&e.Counts)
		}
	}
	if e.IsNew {
		j.NewAnswers += uint64(e.Counts.Answers)
		j.NewFailures += uint64(e.Counts.Failures)
	} else {
		j.OldAnswers += uint64(e.Counts.Answers)
	}
}

// Round closes a round, of which there are four a second, and returns the verdict on the
// evidence so far.
func (j *Judge) Round() Verdict {
	v := j.all.round()
	for route, c := range j.routes {
		r := c.round()
		if r.IsBad && !v.IsBad {
			r.Route = route
			v = r
		}
		v.IsDoubtful = v.IsDoubtful || r.IsDoubtful
	}
	return v
}

// round tests the new version's answers of the round, and lets the control decay.
func (c *comparison) round() Verdict {
	fresh := c.pending
	c.pending = Counts{}
	base := (c.control.failures + priorFailures) / (c.control.answers + priorAnswers)
	c.fails.add(float64(fresh.Failures), float64(fresh.Answers), base+goodFailures, base+badFailures)
	if limit, base, ok := c.control.slowness(); ok {
		slow, timed := 0.0, 0.0
		for i, n := range fresh.Runs {
			timed += float64(n)
			if i >= limit {
				slow += float64(n)
			}
		}
		c.slow.add(slow, timed, base+goodSlow, base+badSlow)
	}
	c.control.decay()
	switch {
	case c.fails.isBad():
		return Verdict{IsBad: true, IsDoubtful: true, Reason: ReasonFailures}
	case c.slow.isBad():
		return Verdict{IsBad: true, IsDoubtful: true, Reason: ReasonSlow}
	}
	return Verdict{IsDoubtful: c.fails.sum >= doubtSum || c.slow.sum >= doubtSum}
}

// add adds counts of the old version.
func (c *control) add(counts *Counts) {
	c.answers += float64(counts.Answers)
	c.failures += float64(counts.Failures)
	for i, n := range counts.Runs {
		c.runs[i] += float64(n)
	}
}

// decay lets old counts fade.
func (c *control) decay() {
	c.answers *= controlDecay
	c.failures *= controlDecay
	for i := range c.runs {
		c.runs[i] *= controlDecay
	}
}

// slowness returns the bucket from which an answer counts as slow, and the share of the old
// version's answers that are. It returns false while there are too few.
func (c *control) slowness() (limit int, share float64, ok bool) {
	total := 0.0
	for _, n := range c.runs {
		total += n
	}
	if total < minControl {
		return 0, 0, false
	}
	below, median := 0.0, 0
	for ; below+c.runs[median] < total/2; median++ {
		below += c.runs[median]
	}
	limit = min(median+slowBuckets, runBuckets-1)
	for _, n := range c.runs[limit:] {
		share += n
	}
	return limit, share / total, true
}

// add adds n answers, bad of which were bad, where a good version's have the rate good and a
// bad version's the rate poor.
func (c *cusum) add(bad, n, good, poor float64) {
	if n == 0 {
		return
	}
	poor = min(poor, maxRate)
	good = min(good, poor*maxRate)
	c.sum += bad*math.Log(poor/good) + (n-bad)*math.Log((1-poor)/(1-good))
	c.n += n
	if c.sum <= 0 {
		*c = cusum{}
	}
}

// isBad reports whether the sum is that of a bad version.
func (c *cusum) isBad() bool { return c.sum >= verdictSum && c.n >= minAnswers }
