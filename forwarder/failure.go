package forwarder

import (
	"net/http"
	"time"

	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/retrier"
)

// notBegunCauses holds the causes of attempts that did not begin because no target
// was there to run them, for example since its daemon was unreachable or drained.
var notBegunCauses = map[string]bool{
	causeUnreachable:             true,
	causeSilent:                  true,
	causeDraining:                true,
	executor.CauseNoTarget:       true,
	executor.CauseUnreachable:    true,
	executor.CauseLinkEnded:      true,
	executor.CauseNeverDelivered: true,
	executor.CauseOtherRun:       true,
	executor.CauseOtherService:   true,
	executor.CauseSuspected:      true,
	executor.CauseStopping:       true,
	executor.CauseVersionBarred:  true,
}

// overloadCauses holds the causes of refusals for lack of capacity.
var overloadCauses = map[string]bool{
	causeCongested:            true,
	executor.CauseLinkCrowded: true,
	executor.CauseTableFull:   true,
	executor.CauseBuffersFull: true,
	limiter.CauseNoSlot:       true,
	limiter.CauseQueueFull:    true,
	limiter.CauseExpectedWait: true,
	limiter.CauseQueueTime:    true,
	limiter.CauseExpectedRun:  true,
	limiter.CauseSlowTarget:   true,
}

// classifyFailure returns the kind of an attempt's failure, by which the retrier decides,
// and reports whether another attempt may be made at all.
func classifyFailure(call *messenger.Call, answer *messenger.Answer) (retrier.Failure, bool) {
	switch {
	case answer.Outcome == messenger.OutcomeNotRun && answer.Cause == executor.CauseShed:
		return retrier.FailureShed, true
	case answer.Outcome == messenger.OutcomeNotRun && notBegunCauses[answer.Cause]:
		return retrier.FailureNotBegun, true
	case answer.Outcome == messenger.OutcomeNotRun && overloadCauses[answer.Cause] && call.ObjectiveMS > 0:
		return retrier.FailureObjectiveUnmet, true
	case answer.Outcome == messenger.OutcomeNotRun:
		return retrier.FailureOverloaded, overloadCauses[answer.Cause]
	default:
		return retrier.FailureUnknown, call.Idempotent && answer.Cause != causeCancelled && answer.Cause != causeDeadline
	}
}

// pickerResult returns what the picker learns about the target from the answer to an
// attempt.
func pickerResult(answer *messenger.Answer) picker.Result {
	r := picker.Result{
		Outcome: picker.Failed, Running: answer.Running, Waiting: answer.Waiting,
		HasLoad: answer.HasLoad, Draining: answer.Draining, Slots: answer.Slots, Bytes: len(answer.Body),
		Run:           time.Duration(answer.RunUS) * time.Microsecond,
		Turn:          time.Duration(answer.TurnUS) * time.Microsecond,
		IsServerError: answer.Outcome == messenger.OutcomeAnswered,
	}
	switch {
	case answer.Outcome == messenger.OutcomeAnswered && answer.Status < http.StatusInternalServerError:
		r.Outcome = picker.Answered
	case answer.Outcome == messenger.OutcomeAnswered:
		r.Outcome = picker.Failed
	case answer.Cause == causeCancelled:
		r.Outcome = picker.Abandoned
	case answer.Outcome == messenger.OutcomeUnknown:
		r.Outcome = picker.Failed
	case answer.Cause == executor.CauseNeverDelivered || answer.Cause == executor.CauseLinkEnded:
		r.Outcome = picker.Failed
	case answer.Cause == causeDraining:
		r.Outcome = picker.Draining
	case answer.Cause == causeCongested || answer.Cause == executor.CauseLinkCrowded:
		r.Outcome = picker.Congested
	case answer.Cause == causeSilent || answer.Cause == executor.CauseStopping || answer.Cause == executor.CauseVersionBarred:
		// The silence may be short, a daemon that stops takes shorter calls, and one whose target's
		// version is barred answers, so the target does not count as unreachable.
		r.Outcome = picker.Overloaded
	case notBegunCauses[answer.Cause]:
		r.Outcome = picker.Unreachable
	case overloadCauses[answer.Cause]:
		r.Outcome = picker.Overloaded
	default:
		r.Outcome = picker.Abandoned
	}
	return r
}
