package executor

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
)

// targetNotice holds what the target last said about itself on an answer. It is read
// without locks, since the announcer reads it while it holds its own.
type targetNotice struct {
	// mu serializes the changes of snapshot. No callback is called while it is held.
	mu       sync.Mutex
	snapshot atomic.Pointer[noticeSnapshot]
}

// noticeSnapshot is a notice with its source. A stored snapshot is never modified.
type noticeSnapshot struct {
	latest messenger.TargetNotice
	// isAnswered is set once an answer of the run of latest has arrived. Until then, what
	// other daemons learned from the run before this process started is the best source.
	isAnswered bool
}

// load returns the snapshot, or the zero value before the first notice.
func (n *targetNotice) load() noticeSnapshot {
	if s := n.snapshot.Load(); s != nil {
		return *s
	}
	return noticeSnapshot{}
}

// update replaces the snapshot with the one that change returns, and returns both notices.
func (n *targetNotice) update(change func(noticeSnapshot) noticeSnapshot) (before, after messenger.TargetNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.load()
	next := change(known)
	if next != known {
		n.snapshot.Store(&next)
	}
	return known.latest, next.latest
}

// currentRun returns the run of the target that announced itself last.
func (x *Executor) currentRun() messenger.TargetRun {
	if x.TargetRun == nil {
		return messenger.TargetRun{}
	}
	return x.TargetRun()
}

// Notice returns what the target's current run last said about itself.
func (x *Executor) Notice() messenger.TargetNotice {
	return x.notice.load().of(x.currentRun())
}

// of returns the notice of the run, which is empty if the latest one is of another run.
func (s noticeSnapshot) of(run messenger.TargetRun) messenger.TargetNotice {
	if s.latest.Run != run {
		return messenger.TargetNotice{Run: run}
	}
	return s.latest
}

// observeNotice records what the target said about itself on an answer to a request
// that was sent to the given run.
func (x *Executor) observeNotice(run messenger.TargetRun, h http.Header) {
	if run != x.currentRun() {
		return
	}
	notice, err := x.Headers.ParseNotice(h, run)
	var malformed *messenger.MalformedLimitError
	if errors.As(err, &malformed) {
		x.Counters.MalformedNotices.Add(1)
		x.logger().Warn("target-notice-malformed", zap.String("run-id", run.ID), zap.Error(malformed))
	}
	before, after := x.notice.update(func(s noticeSnapshot) noticeSnapshot {
		known := s.of(run)
		if malformed != nil {
			notice.IsLimited, notice.CallsPerSecond = known.IsLimited, known.CallsPerSecond
		}
		// A run never takes its departure back.
		notice.IsLeaving = notice.IsLeaving || known.HasLeft()
		return noticeSnapshot{latest: notice, isAnswered: true}
	})
	x.reportNotice(before, after, "target")
}

// adoptNotice records what an entry daemon learned about the target's current run: its
// departure, and its limit unless the run has answered this process itself.
func (x *Executor) adoptNotice(notice *messenger.TargetNotice) {
	if notice == nil || notice.Run != x.currentRun() {
		return
	}
	before, after := x.notice.update(func(s noticeSnapshot) noticeSnapshot {
		known, isAnswered := s.of(notice.Run), s.isAnswered && s.latest.Run == notice.Run
		adopted := *notice
		if isAnswered {
			adopted.IsLimited, adopted.CallsPerSecond = known.IsLimited, known.CallsPerSecond
		}
		adopted.IsLeaving = notice.HasLeft() || known.IsLeaving
		if !adopted.IsRestricting() {
			return noticeSnapshot{latest: s.latest, isAnswered: isAnswered}
		}
		return noticeSnapshot{latest: adopted, isAnswered: isAnswered}
	})
	x.reportNotice(before, after, "daemon")
}

// reportNotice reports and logs a change of the notice. No lock is held, since OnLeaving
// takes that of the announcer.
func (x *Executor) reportNotice(before, after messenger.TargetNotice, source string) {
	if after.IsLeaving && x.OnLeaving != nil {
		x.OnLeaving(after.Run)
	}
	if before == after || before.Run != after.Run && !after.IsRestricting() {
		return
	}
	x.Counters.Notices.Add(1)
	x.logger().Info("target-notice", zap.String("run-id", after.Run.ID), zap.Uint64("epoch", after.Run.Epoch),
		zap.String("source", source), zap.Bool("limited", after.IsLimited), zap.Float64("calls-per-second", after.CallsPerSecond),
		zap.Bool("leaving", after.IsLeaving), zap.Int64("sent-limited", x.Counters.SentLimited.Value()))
}

// restrictingNotice returns the notice of the target's current run, or nil if it restricts
// no calls.
func (x *Executor) restrictingNotice() *messenger.TargetNotice {
	notice := x.Notice()
	if !notice.IsRestricting() {
		return nil
	}
	return &notice
}

// hasTargetLeft reports whether the target's current run is known to be leaving.
func (x *Executor) hasTargetLeft() bool {
	notice := x.Notice()
	return notice.HasLeft()
}
