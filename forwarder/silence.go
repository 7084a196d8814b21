package forwarder

import "time"

const (
	// probeAfter is how long a link with calls in flight may receive nothing before
	// it is probed. Calls usually take longer than a probe's trip, so silence alone
	// does not show that the link is dead.
	probeAfter = 300 * time.Millisecond
	// probeReplyWait is how long the reply to a probe usually takes at most.
	probeReplyWait = 100 * time.Millisecond
	// silentLimit is how long such a link may receive nothing before it is closed.
	// Callers wait for a second or two, and TCP retransmits a lost segment after
	// 200 ms, and then after 400 ms.
	silentLimit = 900 * time.Millisecond
	// maxCheckDelay is how late a check may run if its process ran all the while. A
	// processor share that is a quota stops a process for up to a tenth of a second.
	maxCheckDelay = 100 * time.Millisecond
)

// silence measures how long a link has been silent. It answers the load of a process
// that runs again after it was frozen or had no processor: its calls go on at once,
// while what the peers sent meanwhile is still unread.
//
// Times are durations since the link was opened. Invariant: time in which this process
// did not run does not count as silence. It shows in a check that runs later than
// maxCheckDelay after it was due, and then the whole time since the check before does not
// count.
type silence struct {
	// heard is when the last message arrived, later by the time that does not count.
	heard time.Duration
	// checked is when the last check ran, due is when the next one should run.
	checked, due time.Duration
	// isOverdue says that the last check found the reply to a probe overdue, and that
	// nothing has arrived since.
	isOverdue bool
}

// hear records that a message arrived, or that the first call after a time without calls
// begins.
func (s *silence) hear(now time.Duration) { s.heard, s.isOverdue = now, false }

// schedule records that the next check is due after d.
func (s *silence) schedule(now, d time.Duration) { s.checked, s.due = now, now+d }

// check returns how long the link has been silent and after which time it should be
// checked again. The link should be probed from probeAfter on, until the reply is overdue,
// and closed from silentLimit on.
func (s *silence) check(now time.Duration) (silent, next time.Duration) {
	if now > s.due+maxCheckDelay {
		s.heard += now - max(s.heard, s.checked)
	}
	silent = now - s.heard
	s.isOverdue = silent >= probeAfter+probeReplyWait
	if silent < probeAfter {
		return silent, probeAfter - silent
	}
	return silent, min(probeReplyWait, max(0, silentLimit-silent))
}
