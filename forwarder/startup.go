package forwarder

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/listener"
)

// This file decides how long requests wait for the first configuration. It is designed for
// the seconds after many daemons lost power at once: callers come back as soon as a daemon
// listens, and its configuration arrives some hundred milliseconds later. Were all of them
// refused until then, the targets would be idle meanwhile and overloaded when the callers
// return together.

const (
	// startupWait is how long after the first request that finds no configuration
	// requests wait for one. Later ones are refused at once: the configuration is not
	// about to come.
	startupWait = 2 * time.Second
	// startupWaitShare is the part of the time that its caller states for which a request
	// waits at most. The caller can then still try elsewhere.
	startupWaitShare = 1.0 / 3
	// maxStartupWaiting bounds the requests that wait at a time.
	maxStartupWaiting = 1024
)

// startup is the time in which a daemon waits for its first configuration. The zero value
// begins it with the first request.
type startup struct {
	// began is when the first request found no configuration, in nanoseconds of Unix time.
	began   atomic.Int64
	waiting atomic.Int64
}

// timeLeft returns how long a request that arrived at a time may wait, given the time that
// its caller states in milliseconds, or "" for none.
func (s *startup) timeLeft(statedMS string, arrived, now time.Time) time.Duration {
	s.began.CompareAndSwap(0, now.UnixNano())
	left := time.Unix(0, s.began.Load()).Add(startupWait).Sub(now)
	if ms, err := strconv.Atoi(statedMS); err == nil {
		stated := time.Duration(float64(ms) * startupWaitShare * float64(time.Millisecond))
		left = min(left, stated-now.Sub(arrived))
	}
	return left
}

// awaitConfiguration waits for the first configuration and returns it, or nil if the request
// is to be refused.
func (f *Forwarder) awaitConfiguration(r *http.Request) *applier.Snapshot {
	left := f.startup.timeLeft(r.Header.Get(f.Headers.WithDefaults().Deadline), listener.Arrival(r.Context()), time.Now())
	defer f.startup.waiting.Add(-1)
	if f.startup.waiting.Add(1) > maxStartupWaiting || left <= 0 {
		return nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-f.Applier.HasFirst():
	case <-timer.C:
	case <-r.Context().Done():
	}
	return f.Applier.Current()
}
