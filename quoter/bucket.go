package quoter

import "time"

// maxQueueTime bounds the wait that a bucket advises to those that it refuses.
const maxQueueTime = 2 * time.Second

// bucket is a token bucket. Its zero value is empty.
type bucket struct {
	level float64
	at    time.Time
	// queue is the number of refused calls that are expected to return and get the
	// tokens that the bucket receives next.
	queue float64
}

// refill adds the tokens since the last refill.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	elapsed := now.Sub(b.at).Seconds()
	if b.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	b.at = now
	b.level = min(b.level+rate*elapsed, capacity)
	b.queue = max(0, b.queue-rate*elapsed)
}

// spareDivisor is the part of the remaining tokens that one asker gets ahead of need.
const spareDivisor = 4

// take takes tokens for need calls, and more up to want if many are left.
func (b *bucket) take(need, want int) int {
	have := int(max(0, b.level))
	n := min(need, have)
	n += min(max(0, want-need), (have-n)/spareDivisor)
	b.level -= float64(n)
	return n
}

// refuse records n refused calls and returns after how many seconds there are tokens for
// them.
func (b *bucket) refuse(n int, rate float64) float64 {
	wait := (b.queue + 1 - b.level) / rate
	b.queue = min(b.queue+float64(n), rate*maxQueueTime.Seconds())
	return max(0, wait)
}
