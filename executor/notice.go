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
	if known.Run == run && malformed != nil {
		notice.IsLimited, notice.CallsPerSecond = known.IsLimited, known.CallsPerSecond
	}
	if known == notice || known.Run != run && !notice.IsRestricting() {
		return
	}
	x.notice.latest = notice
	x.Counters.Notices.Add(1)
	x.logger().Info("target-notice", zap.String("run-id", run.ID), zap.Uint64("epoch", run.Epoch),
		zap.Bool("limited", notice.IsLimited), zap.Float64("calls-per-second", notice.CallsPerSecond),
		zap.Bool("leaving", notice.IsLeaving), zap.Int64("sent-limited", x.Counters.SentLimited.Value()))
}
