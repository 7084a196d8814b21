package announcer

import "time"

// silence measures how long a target has announced nothing. It answers the load of a daemon
// that runs again after it was frozen: heartbeats that arrived meanwhile are still unread, and
// the calls of the whole fleet would be turned away from a target that is well.
//
// Invariant: time in which this process did not run does not count. It shows in a check that
// comes over an interval late, and then the whole time since the check before does not count.
type silence struct {
	// checked is when the last check ran, zero before the first.
	checked time.Time
	// paused is the time since the last announcement that does not count.
	paused time.Duration
}

// hear records that the target announced itself.
func (s *silence) hear() { s.paused = 0 }

// check returns how long the target has announced nothing since announcedAt. It should be
// called once an interval.
func (s *silence) check(now, announcedAt time.Time, interval time.Duration) time.Duration {
	if !s.checked.IsZero() && now.Sub(s.checked) > 2*interval {
		s.paused += min(now.Sub(s.checked), now.Sub(announcedAt))
	}
	s.checked = now
	return now.Sub(announcedAt) - s.paused
}
