package checker

import (
	"testing"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/faketarget"
)

// TestRecorderReplacesRereadJournal guards against counting runs twice: a journal
// that is read again must replace the records of its target. The same run on another
// target is a violation.
func TestRecorderReplacesRereadJournal(t *testing.T) {
	events := []faketarget.Event{
		{Kind: faketarget.EventStarted},
		{Kind: faketarget.EventRun, Run: &faketarget.Run{CallID: "a", IdempotencyKey: "k"}},
	}
	var r Recorder
	for range 2 {
		r.AddEvents("t1", events)
	}
	if got := r.Check(); len(got) != 0 {
		t.Errorf("same journal twice: got %v, want no violation", got)
	}
	r.AddEvents("t2", events)
	if got := r.Check(); len(got) == 0 {
		t.Error("run on two targets: got no violation, want one")
	}
}

// TestRecorderJoinsHistoriesAcrossRestarts guards against an older version after a
// restart going undetected: a restarted daemon reports a new history, which the
// recorder must append to the earlier one.
func TestRecorderJoinsHistoriesAcrossRestarts(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	var r Recorder
	r.addApplied("d1", []applier.Applied{{Version: 1, At: at(1)}})
	r.addApplied("d1", []applier.Applied{{Version: 1, At: at(1)}, {Version: 3, At: at(2)}})
	if got := r.Check(); len(got) != 0 {
		t.Errorf("before the restart: got %v, want no violation", got)
	}
	r.addApplied("d1", []applier.Applied{{Version: 2, At: at(3)}})
	if got := r.Check(); len(got) != 1 || got[0].Invariant != VersionsOnlyRise {
		t.Errorf("after a restart with an older version: got %v, want %s", got, VersionsOnlyRise)
	}
}
