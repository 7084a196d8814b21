package forwarder

import (
	"context"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	// bodyWaitPercent is the part of its objective that a call may wait until its
	// body is let in over a narrow link, in percent. The body's own time and the run
	// at the target come after it.
	bodyWaitPercent = 25
	// plainBodyWait is the same for calls that state no objective.
	plainBodyWait = 250 * time.Millisecond
)

// reserve asks the target's daemon to let the body of a call in, and waits until
// its turn. It returns nil when the call may be sent, and otherwise why not.
func (f *Forwarder) reserve(ctx context.Context, call *messenger.Call, choice picker.Choice) *messenger.Answer {
	target := choice.Record
	if target.InstanceID == f.InstanceID || !choice.NeedsReservation() {
		return nil
	}
	within := time.Duration(call.ObjectiveMS) * time.Millisecond * bodyWaitPercent / 100
	if within == 0 {
		within = plainBodyWait
	}
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(within, cancel).Stop()
	// The question goes where no body is in its way.
	var answer *messenger.Answer
	link, err := f.link(asking, target, laneSmall)
	if err == nil {
		answer, err = link.ask(asking, call.ID, &messenger.Reserve{ID: call.ID, Bytes: len(call.Body), WithinMS: within.Milliseconds()})
	}
	switch {
	case ctx.Err() != nil:
		return messenger.NotRun(call.ID, causeDeadline)
	case asking.Err() != nil:
		// Not even the answer to a question comes in time.
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
