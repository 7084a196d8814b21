package limiter

import "time"

const (
	// settleTime is how long after its deadline a call may take to get its outcome: the answer
	// to its cancellation is awaited for a quarter of a second.
	settleTime = 300 * time.Millisecond
	// longRunFactor is how many times the mean run time nearly no call exceeds. Run times vary
	// by a factor of two, and one call in a hundred makes others that take longer.
	longRunFactor = 8
)

// EndsInTime reports whether a call that begins now ends while the process, which stops, goes on
// for left: at its deadline at the latest, or because calls like it run for a mean time of meanRun,
// 0 if that is unknown. A call for which it reports false should be refused, since it might be cut
// off after it has begun.
func EndsInTime(left, untilDeadline, meanRun time.Duration) bool {
	longest := untilDeadline + settleTime
	if meanRun > 0 {
		longest = min(longest, longRunFactor*meanRun)
	}
	return longest <= left
}
