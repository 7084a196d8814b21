package announcer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/tracker"
)

const (
	// checkInterval is the time without an answered call after which a connection
	// to the target is opened.
	checkInterval = time.Second
	// checkTimeout bounds one check.
	checkTimeout = 500 * time.Millisecond
	// minOpenTime is how long a connection must stay open to count as accepted
	// by the target. An intermediary such as a proxy may accept it in the
	// target's place and close it at once.
	minOpenTime = 100 * time.Millisecond
	// vanishThreshold is the number of consecutive failures after which the
	// target is marked as gone. A call that could not reach the target counts as
	// one failure.
	vanishThreshold = 2
)

// Run monitors the target and keeps its departures until ctx ends. It marks an
// unreachable target as gone, and restores its announced state when the target is
// reachable again.
func (a *Announcer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { a.keepDepartures(ctx) })
	if a.HeartbeatTimeout > 0 {
		a.watchHeartbeats(ctx)
		return
	}
	failures := 0
	for {
		timer := time.NewTimer(checkInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-a.checkNowChan():
			timer.Stop()
			failures++
		}
		failures = a.check(ctx, failures)
	}
}

// timeoutTicks is the number of times per HeartbeatTimeout that watchHeartbeats
// looks at the age of the newest announcement.
const timeoutTicks = 8

// watchHeartbeats marks the target as gone if its newest announcement is older
// than HeartbeatTimeout, or if a call could not reach it since then. The next
// announcement restores the target's state.
func (a *Announcer) watchHeartbeats(ctx context.Context) {
	tick := time.NewTicker(a.HeartbeatTimeout / timeoutTicks)
	defer tick.Stop()
	for {
		unreachable := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-a.checkNowChan():
			unreachable = true
		}
		a.checkHeartbeat(time.Now(), unreachable)
	}
}

// checkHeartbeat marks the target as gone if it has announced nothing for HeartbeatTimeout, or
// if a call could not reach it.
func (a *Announcer) checkHeartbeat(now time.Time, unreachable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	isSilent := a.silence.check(now, a.announcedAt, a.HeartbeatTimeout/timeoutTicks) > a.HeartbeatTimeout
	// The call may have failed before the target announced that it is back.
	unreachable = unreachable && a.announcedAt.UnixNano() <= a.unreachableAt.Load()
	if a.current.Address != "" && (unreachable || isSilent) {
		a.setVanishedLocked(true)
	}
}

// check tests whether the target is reachable and updates its state. It takes
// and returns the number of consecutive failures.
func (a *Announcer) check(ctx context.Context, failures int) int {
	current := a.Current()
	if current.Address == "" || current.state() == tracker.StateGone {
		return 0
	}
	if time.Since(time.Unix(0, a.lastReached.Load())) < checkInterval {
		a.setVanished(current, false)
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	a.Counters.Checks.Add(1)
	if err := a.probe(ctx, current.Address); err == nil {
		a.setVanished(current, false)
		return 0
	}
	failures++
	if failures >= vanishThreshold {
		a.setVanished(current, true)
	}
	return failures
}

// probe returns an error if the target does not accept a connection, or closes
// it within minOpenTime. If Dial is set, probe returns its result instead.
func (a *Announcer) probe(ctx context.Context, addr string) error {
	if a.Dial != nil {
		return a.Dial(ctx, addr)
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	return checkStaysOpen(conn)
}

// checkStaysOpen returns an error if the peer closes the connection within
// minOpenTime.
func checkStaysOpen(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(minOpenTime)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return errorx.Decorate(err, "connection was closed at once")
}

// setVanished records whether the target that made the checked announcement has
// vanished. It does nothing if another announcement has arrived since.
func (a *Announcer) setVanished(checked Announcement, vanished bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == checked {
		a.setVanishedLocked(vanished)
	}
}

// setVanishedLocked records whether the target has vanished. The caller holds mu.
func (a *Announcer) setVanishedLocked(vanished bool) {
	if a.vanished == vanished {
		return
	}
	a.vanished = vanished
	if vanished {
		a.Counters.Vanished.Add(1)
	} else {
		a.Counters.Returned.Add(1)
	}
	a.publish()
}
