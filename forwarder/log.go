package forwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
)

// nopLogger is the logger of a Forwarder whose Log is nil.
var nopLogger = zap.NewNop()

// logger returns Log, or a logger that discards everything if Log is nil.
func (f *Forwarder) logger() *zap.Logger {
	if f.Log == nil {
		return nopLogger
	}
	return f.Log
}

// currentVersion returns the version of the configuration in force, or 0 if there is
// none.
func (f *Forwarder) currentVersion() uint64 {
	if s := f.Applier.Current(); s != nil {
		return uint64(s.Version())
	}
	return 0
}

// observeLatency calls ObserveLatency, if set, with the outcome and the latency of a
// request.
func (f *Forwarder) observeLatency(class string, answer *messenger.Answer, took time.Duration) {
	if f.ObserveLatency != nil {
		f.ObserveLatency(class, answer.Outcome.String(), answer.Cause, took)
	}
}

// logCall reports the latency of a call that has ended, and logs the call if its caller
// disconnected, it was not answered, or the answer was a server error or later than the
// objective.
func (f *Forwarder) logCall(caller context.Context, x *exchange, answer *messenger.Answer) {
	took := time.Since(x.arrived)
	f.observeLatency(x.call.Class, answer, took)
	event := ""
	switch {
	case caller.Err() != nil:
		event = "caller-left"
	case answer.Outcome == messenger.OutcomeNotRun:
		event = "call-refused"
	case answer.Outcome == messenger.OutcomeUnknown:
		event = "call-unknown"
	case answer.Status >= minServerErrorStatus:
		event = "call-failed"
	case x.call.ObjectiveMS > 0 && took.Milliseconds() > x.call.ObjectiveMS:
		event = "call-late"
	default:
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	f.logger().Info(event,
		zap.String("request-id", x.call.RequestID), zap.String("route", x.route), zap.String("service", x.call.Service),
		zap.String("class", x.call.Class), zap.Int("priority", x.call.Priority), zap.Bool("nested", x.call.IsNested),
		zap.String("tenant", x.call.Tenant), zap.Uint64("version", uint64(x.version)), zap.String("outcome", answer.Outcome.String()),
		zap.String("cause", answer.Cause), zap.Int("status", callerStatus(answer)), zap.Int64("retry-after-ms", answer.RetryAfterMS),
		zap.Int64("objective-ms", x.call.ObjectiveMS), zap.Int64("waited-before-ms", x.call.WaitedMS),
		zap.Int64("limit-ms", x.deadline.Sub(x.arrived).Milliseconds()), zap.Int64("took-ms", took.Milliseconds()),
		zap.Uint16("attempts", x.attempts), zap.Int("sent", x.sent), zap.String("target", x.lastInstance))
}

// minServerErrorStatus is the lowest HTTP status that means a server error.
const minServerErrorStatus = 500

// callerStatus returns the HTTP status of the response to the caller.
func callerStatus(answer *messenger.Answer) int {
	if answer.Outcome == messenger.OutcomeAnswered {
		return answer.Status
	}
	return statusOf(answer)
}

// logFailedAttempt logs an attempt that the target did not answer.
func (f *Forwarder) logFailedAttempt(x *exchange, choice picker.Choice, answer *messenger.Answer) {
	if answer.Outcome == messenger.OutcomeAnswered {
		return
	}
	f.logger().Info("attempt-failed",
		zap.String("request-id", x.call.RequestID), zap.String("target", choice.Record.InstanceID),
		zap.Uint64("target-sequence", choice.Record.Sequence), zap.String("placed", choice.Reason.String()),
		zap.String("outcome", answer.Outcome.String()), zap.String("cause", answer.Cause), zap.Bool("sent", answer.Sent),
		zap.Int("target-running", answer.Running), zap.Int("target-waiting", answer.Waiting), zap.Int("target-slots", answer.Slots), zap.Int64("wait-ms", answer.RetryAfterMS))
}
