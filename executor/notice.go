package executor

import (
	"errors"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
)

// targetNotice holds what the target last said about itself on an answer.
type targetNotice struct {
	mu     sync.Mutex
	latest messenger.TargetNotice
	// isAnswered is set once an answer of the run of latest has arrived. Until then, what
	// other daemons learned from the run before this process started is the best source.
	isAnswered bool
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
	run := x.currentRun()
	x.notice.mu.Lock()
	defer x.notice.mu.Unlock()
	if x.notice.latest.Run != run {
		return messenger.TargetNotice{Run: run}
	}
	return x.notice.latest
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
	x.notice.mu.Lock()
	defer x.notice.mu.Unlock()
	known := x.notice.latest
	if known.Run != run {
		known = messenger.TargetNotice{Run: run}
	}
	if malformed != nil {
		notice.IsLimited, notice.CallsPerSecond = known.IsLimited, known.CallsPerSecond
	}
	// A run never takes its departure back.
	notice.IsLeaving = notice.IsLeaving || known.HasLeft()
	x.notice.isAnswered = true
	x.setNotice(known, notice, "target")
}

// adoptNotice records what an entry daemon learned about the target's current run: its
// departure, and its limit unless the run has answered this process itself.
func (x *Executor) adoptNotice(notice *messenger.TargetNotice) {
	if notice == nil || notice.Run != x.currentRun() {
		return
	}
	adopted := *notice
	adopted.IsLeaving = notice.HasLeft()
	x.notice.mu.Lock()
	defer x.notice.mu.Unlock()
	known := x.notice.latest
	if known.Run != notice.Run {
		known = messenger.TargetNotice{Run: notice.Run}
		x.notice.isAnswered = false
	}
	if x.notice.isAnswered {
		adopted.IsLimited, adopted.CallsPerSecond = known.IsLimited, known.CallsPerSecond
	}
	adopted.IsLeaving = adopted.IsLeaving || known.IsLeaving
	if adopted.IsRestricting() {
		x.setNotice(known, adopted, "daemon")
	}
}

// setNotice replaces the notice and logs the change. The caller holds notice.mu.
func (x *Executor) setNotice(known, notice messenger.TargetNotice, source string) {
	x.notice.latest = notice
	if notice.IsLeaving && x.OnLeaving != nil {
		x.OnLeaving(notice.Run)
	}
	if known == notice {
		return
	}
	x.Counters.Notices.Add(1)
	x.logger().Info("target-notice", zap.String("run-id", notice.Run.ID), zap.Uint64("epoch", notice.Run.Epoch),
		zap.String("source", source), zap.Bool("limited", notice.IsLimited), zap.Float64("calls-per-second", notice.CallsPerSecond),
		zap.Bool("leaving", notice.IsLeaving), zap.Int64("sent-limited", x.Counters.SentLimited.Value()))
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
