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

// startup is the time in which requests wait for something that a daemon lacks after its start:
// its first configuration, or the homes of tenants. The zero value begins it with the first
// request.
type startup struct {
	// began is when the first request found it missing, in nanoseconds of Unix time, or 0.
	began   atomic.Int64
	waiting atomic.Int64
}

// end ends the time: the daemon lacks nothing now.
func (s *startup) end() {
	if s.began.Load() != 0 {
		s.began.Store(0)
	}
}

// timeLeft returns how long a request that arrived at a time may wait, given the time that
// its caller states, or 0 for none.
func (s *startup) timeLeft(stated time.Duration, arrived, now time.Time) time.Duration {
	s.began.CompareAndSwap(0, now.UnixNano())
	left := time.Unix(0, s.began.Load()).Add(startupWait).Sub(now)
	if stated > 0 {
		left = min(left, time.Duration(float64(stated)*startupWaitShare)-now.Sub(arrived))
	}
	return left
}

// awaitConfiguration waits for the first configuration and returns it, or nil if the request
// is to be refused.
func (f *Forwarder) awaitConfiguration(r *http.Request) *applier.Snapshot {
	statedMS, _ := strconv.Atoi(r.Header.Get(f.Headers.WithDefaults().Deadline))
	left := f.startup.timeLeft(time.Duration(statedMS)*time.Millisecond, listener.Arrival(r.Context()), time.Now())
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
