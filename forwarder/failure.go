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

// notBegun holds the causes of calls that a target was not there to take.
var notBegun = map[string]bool{
	causeUnreachable:             true,
	causeSilent:                  true,
	causeDraining:                true,
	executor.CauseNoTarget:       true,
	executor.CauseUnreachable:    true,
	executor.CauseLinkEnded:      true,
	executor.CauseNeverDelivered: true,
	executor.CauseOtherRun:       true,
	executor.CauseOtherService:   true,
}

// overloaded holds the causes of calls refused for want of capacity.
var overloaded = map[string]bool{
	causeCongested:            true,
	executor.CauseLinkCrowded: true,
	executor.CauseTableFull:   true,
	executor.CauseBuffersFull: true,
	limiter.CauseNoSlot:       true,
	limiter.CauseQueueFull:    true,
	limiter.CauseExpectedWait: true,
	limiter.CauseQueueTime:    true,
	limiter.CauseExpectedRun:  true,
}

// failureOf says what the failure of an attempt means for a further one, or
// that there is to be none.
func failureOf(call *messenger.Call, answer *messenger.Answer) (retrier.Failure, bool) {
	switch {
	case answer.Outcome == messenger.OutcomeNotRun && answer.Cause == executor.CauseShed:
		return retrier.FailureShed, true
	case answer.Outcome == messenger.OutcomeNotRun && notBegun[answer.Cause]:
		return retrier.FailureNotBegun, true
	case answer.Outcome == messenger.OutcomeNotRun && overloaded[answer.Cause] && call.ObjectiveMS > 0:
		return retrier.FailureObjectiveUnmet, true
	case answer.Outcome == messenger.OutcomeNotRun:
		return retrier.FailureOverloaded, overloaded[answer.Cause]
	default:
		return retrier.FailureUnknown, call.Idempotent && answer.Cause != causeCancelled && answer.Cause != causeDeadline
	}
}

// resultOf says what the end of an attempt shows of its target.
func resultOf(answer *messenger.Answer) picker.Result {
	r := picker.Result{
		Outcome: picker.Failed, Running: answer.Running, Waiting: answer.Waiting,
		HasLoad: answer.Told, Draining: answer.Draining, Slots: answer.Slots, Bytes: len(answer.Body),
		Run:           time.Duration(answer.RunUS) * time.Microsecond,
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
	case answer.Cause == causeSilent:
		// It may be over in a moment.
		r.Outcome = picker.Overloaded
	case notBegun[answer.Cause]:
		r.Outcome = picker.Unreachable
	case overloaded[answer.Cause]:
		r.Outcome = picker.Overloaded
	default:
		r.Outcome = picker.Abandoned
	}
	return r
}
