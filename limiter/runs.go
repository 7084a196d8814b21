package limiter

import (
	"slices"
	"time"
)

// This file estimates how long calls run at the target. It is designed for targets that
// become slow, or start slow, while all their slots are in use. A mean over the calls that
// have ended lags by a whole slow run then, and meanwhile the queue takes in calls that
// cannot be answered in time.

const (
	// inverseRunWeight is the inverse weight of the newest sample in the moving
	// average of run times: the newest run counts for 1/inverseRunWeight.
	inverseRunWeight = 8
	// inverseUsualWeight is the inverse weight of the newest run in the usual run time.
	inverseUsualWeight = 128
	// slowFactor is how many times the usual run time the recent mean of a slow target is
	// at least.
	slowFactor = 2
	// overdueFactor is how many times the mean a call must have run for its time to
	// count before it ends. Shorter times are common among running calls.
	overdueFactor = 2.5
	// maxOverdueFactor bounds what one such call counts for.
	maxOverdueFactor = 4
	// minOverdue is the number of running calls that must exceed their objective for the
	// target to count as slow before any of them has ended.
	minOverdue = 3
	// warmupRunPercent is the run time assumed for the first calls at a target that is
	// warming up, in percent of their objective.
	warmupRunPercent = 70
	// runTimeMaxAge is how long a mean run time is used without a new sample. A slow
	// target may have recovered while its calls were sent elsewhere.
	runTimeMaxAge = 2 * time.Second
)

// runTimes holds the run times of the calls at the target. The zero value knows none.
type runTimes struct {
	// ofClass is the mean run time of each class, 0 if it is not known yet.
	ofClass [classCount]time.Duration
	// ofLevel holds the recent run times by class and priority level.
	ofLevel [classCount][priorityCount]runTime
	// running holds the calls that run, in the order of their starts.
	running []runningCall
}

// runTime is the recent run time of calls of one class and priority level.
type runTime struct {
	mean time.Duration
	// usual is the mean over far more calls, 0 if none has ended.
	usual time.Duration
	// updatedAt is when the latest of these calls ended.
	updatedAt time.Time
}

// runningCall is a call that has a slot.
type runningCall struct {
	class class
	level int
	start time.Time
}

// begin counts a call that starts now. If no run time of its class or level is known,
// assumed becomes the mean, unless it is 0.
func (r *runTimes) begin(c class, level int, assumed time.Duration, now time.Time) {
	r.running = append(r.running, runningCall{class: c, level: level, start: now})
	if assumed == 0 {
		return
	}
	if r.ofClass[c] == 0 {
		r.ofClass[c] = assumed
	}
	if known := &r.ofLevel[c][level]; known.mean == 0 {
		known.mean, known.updatedAt = assumed, now
	}
}

// end removes a call that began at start, and includes its run time in the means.
func (r *runTimes) end(c class, level int, start, now time.Time) {
	if i := slices.Index(r.running, runningCall{class: c, level: level, start: start}); i >= 0 {
		r.running = slices.Delete(r.running, i, i+1)
	}
	run := now.Sub(start)
	r.ofClass[c] = updateMean(r.ofClass[c], run)
	known := &r.ofLevel[c][level]
	if now.Sub(known.updatedAt) > runTimeMaxAge {
		known.mean = 0
	}
	known.mean, known.updatedAt = updateMean(known.mean, run), now
	if known.usual == 0 {
		known.usual = run
	}
	known.usual += (run - known.usual) / inverseUsualWeight
}

// means returns the mean run time of each class, 0 if it is not known yet.
func (r *runTimes) means(now time.Time) [classCount]time.Duration {
	means := r.ofClass
	for _, call := range r.running {
		means[call.class] = includeOverdue(means[call.class], now.Sub(call.start))
	}
	return means
}

// recent returns the mean run time of a class and priority level, or 0 if it is not known
// from the last runTimeMaxAge.
func (r *runTimes) recent(c class, level int, now time.Time) time.Duration {
	mean := time.Duration(0)
	if known := r.ofLevel[c][level]; now.Sub(known.updatedAt) <= runTimeMaxAge {
		mean = known.mean
	}
	for _, call := range r.running {
		if call.class == c && call.level == level {
			mean = includeOverdue(mean, now.Sub(call.start))
		}
	}
	return mean
}

// isTooSlow reports whether calls of a class and priority level run for longer than their
// objective, and than usual at this target: by the recent mean, or because most of those that
// run have already done so. A mean without a recent sample still counts while such a call runs:
// one at a time shows when the target has become faster. It reports false for calls without
// an objective.
func (r *runTimes) isTooSlow(c class, level int, objective time.Duration, now time.Time) bool {
	known := r.ofLevel[c][level]
	if objective == 0 || known.usual == 0 {
		return false
	}
	limit := max(objective, slowFactor*known.usual)
	running, overdue := 0, 0
	for _, call := range r.running {
		if call.class != c || call.level != level {
			continue
		}
		running++
		if now.Sub(call.start) > limit {
			overdue++
		}
	}
	if overdue >= minOverdue && overdue*2 > running {
		return true
	}
	return known.mean > limit && (running > 0 || now.Sub(known.updatedAt) <= runTimeMaxAge)
}

// inverseMinResidual is the inverse of the least share of a mean run that a running call is
// expected to take yet, however long it has run.
const inverseMinResidual = 8

// nextEnd returns the time until n more of the running calls, besides the next one, have
// probably ended, or 0 if no more than n run. Until then no further slot becomes free. The
// means are those of the classes.
func (r *runTimes) nextEnd(n int, means *[classCount]time.Duration, now time.Time) time.Duration {
	if n >= len(r.running) {
		return 0
	}
	residuals := make([]time.Duration, len(r.running))
	for i, call := range r.running {
		mean := means[call.class]
		residuals[i] = max(mean-now.Sub(call.start), mean/inverseMinResidual)
	}
	slices.Sort(residuals)
	return residuals[n]
}

// includeOverdue returns the mean as if a call that has run for elapsed ended now, if that is
// overdueFactor times the mean or more. A single call that hangs counts for
// maxOverdueFactor times the mean at most; many of them multiply. An unknown mean stays
// unknown.
func includeOverdue(mean, elapsed time.Duration) time.Duration {
	if mean == 0 || float64(elapsed) < overdueFactor*float64(mean) {
		return mean
	}
	return updateMean(mean, min(elapsed, maxOverdueFactor*mean))
}

// updateMean returns the moving average after the sample run. It never returns 0,
// which means that no run time is known.
func updateMean(mean, run time.Duration) time.Duration {
	if mean == 0 {
		return max(run, 1)
	}
	return max(1, mean+(run-mean)/inverseRunWeight)
}
