package limiter

import (
	"sync"
	"time"
)

const (
	// intakeShare is the part of the link that large bodies are let in at. The rest
	// is left to calls with small bodies, to answers and to configuration; where
	// those need more, their delay tells, and holds bodies back.
	intakeShare = 0.85
	// delayWeight is the weight of the newest message in the mean delay: the last
	// ten or so decide.
	delayWeight = 0.1
	// delayMemory is how long a delay counts after the last message told of one.
	delayMemory = 500 * time.Millisecond
)

// Intake lets large bodies in over a narrow link, one after the other. It
// answers the load at which the bodies that are meant for a target take longer
// on the link of its instance than there is time: sent as they come, they queue
// there for seconds, and every small call, answer and configuration behind them
// is late as well. So a body is asked for first, and what can't begin to come in
// time is refused before it is sent.
//
// The zero value is a wide link, which lets everything in at once.
type Intake struct {
	// Kbps is the bandwidth of the link in kilobits a second; 0 is wide.
	Kbps int

	mu sync.Mutex
	// freeAt is when the bodies that were let in have come.
	freeAt time.Time
	// delay is the mean of what small messages lately waited on the link, told last
	// at delayAt.
	delay   time.Duration
	delayAt time.Time
}

// Reserve books the time that a body of n bytes takes on the link. It returns
// when the body may be sent, counted from now; a body that would have to wait for
// longer than within is not booked, and Reserve returns false.
func (i *Intake) Reserve(n int, within time.Duration) (wait time.Duration, ok bool) {
	if i.Kbps <= 0 {
		return 0, true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	wait = max(0, i.freeAt.Sub(now))
	if crowded := i.recentDelay(now); wait+crowded > within {
		return wait + crowded, false
	}
	i.book(n, now)
	return wait, true
}

// Charge books the time of a body that has come unasked, from a caller of this
// daemon.
func (i *Intake) Charge(n int) {
	if i.Kbps <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.book(n, time.Now())
}

// book adds a body to those that are coming. The caller holds mu.
func (i *Intake) book(n int, now time.Time) {
	if i.freeAt.Before(now) {
		i.freeAt = now
	}
	takes := float64(n) * 8 / (intakeShare * float64(i.Kbps)) * float64(time.Millisecond)
	i.freeAt = i.freeAt.Add(time.Duration(takes))
}

// Observe takes in how much longer than on an empty link a small message took.
func (i *Intake) Observe(delay time.Duration) {
	if i.Kbps <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.delay = i.recentDelay(now)
	i.delay += time.Duration(delayWeight * float64(delay-i.delay))
	i.delayAt = now
}

// recentDelay returns the mean delay unless it is outdated. The caller holds mu.
func (i *Intake) recentDelay(now time.Time) time.Duration {
	if now.Sub(i.delayAt) > delayMemory {
		return 0
	}
	return i.delay
}
