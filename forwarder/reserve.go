package forwarder

import (
	"context"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	// reserveWaitPercent is the part of its objective that a call may wait before its
	// body may be sent over a narrow link, in percent. The transfer of the body and the
	// run at the target come after that.
	reserveWaitPercent = 25
	// defaultReserveWait is the maximum wait of calls without an objective.
	defaultReserveWait = 250 * time.Millisecond
)

// reserve reserves time for the body of a call on the link of the target's instance, if
// that link is narrow, and waits until the body may be sent. It returns nil if the call
// may be sent, and otherwise the refusal.
func (f *Forwarder) reserve(ctx context.Context, call *messenger.Call, choice picker.Choice) *messenger.Answer {
	target := choice.Record
	if target.InstanceID == f.InstanceID || !choice.NeedsReservation() {
		return nil
	}
	maxWait := time.Duration(call.ObjectiveMS) * time.Millisecond * reserveWaitPercent / 100
	if maxWait == 0 {
		maxWait = defaultReserveWait
	}
	reserveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(maxWait, cancel).Stop()
	// The Reserve goes over a link for small calls, where no body delays it.
	var answer *messenger.Answer
	link, err := f.link(reserveCtx, target, laneSmall)
	if err == nil {
		answer, err = link.roundTrip(reserveCtx, call.ID, &messenger.Reserve{ID: call.ID, Bytes: len(call.Body), WithinMS: maxWait.Milliseconds()})
	}
	switch {
	case ctx.Err() != nil:
		return messenger.NotRun(call.ID, causeDeadline)
	case reserveCtx.Err() != nil:
		// The target's daemon is so hard to reach that not even the answer to the
		// Reserve came in time.
		return messenger.NotRun(call.ID, causeCongested)
	case err != nil:
		return messenger.NotRun(call.ID, causeUnreachable)
	case answer.Reservation == nil:
		return answer
	}
	if sleeper.Sleep(ctx, time.Duration(answer.Reservation.WaitMS)*time.Millisecond) != nil {
		return messenger.NotRun(call.ID, causeDeadline)
	}
	return nil
}
