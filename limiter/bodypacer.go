package limiter

import (
	"sync"
	"time"
)

const (
	// bodyBandwidthShare is the fraction of the link's bandwidth that large bodies
	// may use. The rest is for calls with small bodies, answers and configuration.
	// If those need more, their delay rises, and Reserve then refuses bodies.
	bodyBandwidthShare = 0.85
	// delayWeight is the weight of the newest message in the moving average of the
	// delay, so that about the last ten messages determine it.
	delayWeight = 0.1
	// delayMaxAge is how long the mean delay is used after its last sample.
	delayMaxAge = 500 * time.Millisecond
)

// BodyPacer schedules the transfer of large request bodies to this instance over
// a narrow link, one after the other. It handles overload of the link: bodies
// that are sent without coordination queue on the link for seconds and delay all
// small calls, answers and configuration behind them. The sender therefore
// reserves the transfer first, and a body whose transfer cannot start in time is
// refused before it is sent.
//
// The zero value represents a link without a bandwidth limit and admits every
// body at once.
type BodyPacer struct {
	// Kbps is the bandwidth of the link in kilobits per second; 0 means no limit.
	Kbps int

	mu sync.Mutex
	// busyUntil is when the transfers of all scheduled bodies will have ended.
	busyUntil time.Time
	// delay is the moving average of the time that small messages waited on the
	// link, and delayAt the time of its last sample.
	delay   time.Duration
	delayAt time.Time
}

// Reserve schedules the transfer of a body of n bytes and returns how long the
// sender must wait before sending it. If that wait plus the mean delay of small
// messages exceeds within, Reserve schedules nothing and returns the sum and false.
func (p *BodyPacer) Reserve(n int, within time.Duration) (wait time.Duration, ok bool) {
	if p.Kbps <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	wait = max(0, p.busyUntil.Sub(now))
	if delay := p.recentDelay(now); wait+delay > within {
		return wait + delay, false
	}
	p.schedule(n, now)
	return wait, true
}

// Charge accounts for a body of n bytes that arrived without a reservation, from
// a caller of this daemon.
func (p *BodyPacer) Charge(n int) {
	if p.Kbps <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule(n, time.Now())
}

// schedule appends the transfer of a body of n bytes to those already scheduled.
// The caller holds mu.
func (p *BodyPacer) schedule(n int, now time.Time) {
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	duration := float64(n) * 8 / (bodyBandwidthShare * float64(p.Kbps)) * float64(time.Millisecond)
	p.busyUntil = p.busyUntil.Add(time.Duration(duration))
}

// ObserveDelay updates the mean delay with a sample: how much longer a small
// message took than it would on an idle link.
func (p *BodyPacer) ObserveDelay(delay time.Duration) {
	if p.Kbps <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.delay = p.recentDelay(now)
	p.delay += time.Duration(delayWeight * float64(delay-p.delay))
	p.delayAt = now
}

// recentDelay returns the mean delay, or 0 if its last sample is older than
// delayMaxAge. The caller holds mu.
func (p *BodyPacer) recentDelay(now time.Time) time.Duration {
	if now.Sub(p.delayAt) > delayMaxAge {
		return 0
	}
	return p.delay
}
