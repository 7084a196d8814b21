package announcer

import (
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// This file remembers which runs of the target are leaving or have left, however late their
// heartbeats arrive.

// wasLeaving reports whether an earlier process of this daemon knew that the target's
// run with the epoch is leaving. A late heartbeat may still say that it is ready.
func (a *Announcer) wasLeaving(epoch uint64) bool {
	if a.Predecessor == nil || epoch == 0 {
		return false
	}
	r, ok := a.Predecessor()
	return ok && r.TargetLeaving && r.Epoch == epoch
}

// markEnded records that a run has ended. A run without an id is not recorded.
// The caller holds mu.
func (a *Announcer) markEnded(r run) {
	if r.id == "" {
		return
	}
	if a.endedRuns == nil || len(a.endedRuns) >= maxEndedRuns {
		a.endedRuns = make(map[run]bool)
	}
	a.endedRuns[r] = true
}

// Depart applies the departure that a run of the target reported: the run gets
// no new calls, whatever it announces later. An epoch of 0 means that the
// departure did not name it. Depart fails with a *StaleError if the run is not
// the current one.
func (a *Announcer) Depart(runID string, epoch uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := run{runID, epoch}
	if epoch == 0 && runID == a.current.RunID {
		r = a.current.run()
	}
	a.markEnded(r)
	if runID == a.held.RunID && (epoch == 0 || epoch == a.held.Epoch) {
		a.held = Announcement{}
	}
	if epoch >= a.current.Epoch {
		a.setDeparture(epoch)
	}
	if r != a.current.run() {
		if epoch == 0 {
			a.recordDeparture(runID)
		}
		return &StaleError{RunID: runID}
	}
	a.current.State = tracker.StateGone.String()
	a.publish()
	return nil
}

// recordDeparture records when an unknown run departed. The caller holds mu.
func (a *Announcer) recordDeparture(runID string) {
	if a.departedIDs == nil || len(a.departedIDs) >= maxEndedRuns {
		a.departedIDs = make(map[string]time.Time)
	}
	a.departedIDs[runID] = time.Now()
}

// MarkLeaving records that a run of the target has said on an answer that it is leaving.
// The run gets no new calls, whatever it announces later.
func (a *Announcer) MarkLeaving(target messenger.TargetRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := run{target.ID, target.Epoch}
	if a.record.Sequence == 0 || r != a.current.run() || a.isLeaving() {
		return
	}
	a.leaving, a.hasLeaving = r, true
	a.publish()
}

// isLeaving reports whether the current run has said on an answer that it is leaving. The
// caller holds mu.
func (a *Announcer) isLeaving() bool { return a.hasLeaving && a.leaving == a.current.run() }
