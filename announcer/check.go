package announcer

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/tracker"
)

const (
	// checkInterval is how long the target may go without a call before a
	// connection is opened to it.
	checkInterval = time.Second
	checkTimeout  = 500 * time.Millisecond
	// closeWait is how long a connection must stay open to count as accepted by
	// the target: what stands between may accept it in the target's place.
	closeWait = 100 * time.Millisecond
	// maxMissed is the number of checks in a row that must fail for the target
	// to be gone; a call that could not reach it counts as one.
	maxMissed = 2
)

// Run watches over the target until ctx ends: a target that can't be reached
// is announced as gone, and one that can be reached again as what it said last.
func (a *Announcer) Run(ctx context.Context) {
	if a.HeartbeatTimeout > 0 {
		a.watchSilence(ctx)
		return
	}
	missed := 0
	for {
		timer := time.NewTimer(checkInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-a.wakeUp():
			timer.Stop()
			missed++
		}
		missed = a.check(ctx, missed)
	}
}

// silenceChecks is the number of looks at the target's silence in the time that
// it may last.
const silenceChecks = 8

// watchSilence takes the target as gone when it has announced nothing for too
// long, or when a call found nobody at its address, until it announces itself
// again.
func (a *Announcer) watchSilence(ctx context.Context) {
	tick := time.NewTicker(a.HeartbeatTimeout / silenceChecks)
	defer tick.Stop()
	for {
		unreachable := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-a.wakeUp():
			unreachable = true
		}
		a.mu.Lock()
		current, silent := a.current, time.Since(a.announced)
		a.mu.Unlock()
		if current.Address != "" && (unreachable || silent > a.HeartbeatTimeout) {
			a.mark(current, true)
		}
	}
}

// check returns the number of checks in a row that failed.
func (a *Announcer) check(ctx context.Context, missed int) int {
	current := a.Current()
	if current.Address == "" || current.state() == tracker.StateGone {
		return 0
	}
	if time.Since(time.Unix(0, a.reached.Load())) < checkInterval {
		a.mark(current, false)
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	a.Counters.Checks.Add(1)
	if err := a.dial(ctx, current.Address); err == nil {
		a.mark(current, false)
		return 0
	}
	missed++
	if missed >= maxMissed {
		a.mark(current, true)
	}
	return missed
}

func (a *Announcer) dial(ctx context.Context, addr string) error {
	if a.Dial != nil {
		return a.Dial(ctx, addr)
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	return staysOpen(conn)
}

func staysOpen(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(closeWait)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return errorx.Decorate(err, "connection was closed at once")
}

// mark books whether the target that made the announcement has vanished, unless
// another announcement came meanwhile.
func (a *Announcer) mark(checked Announcement, vanished bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != checked || a.vanished == vanished {
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
