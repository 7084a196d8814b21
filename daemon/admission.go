package daemon

import (
	"context"
	"errors"

	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/messenger"
)

// admit waits for a slot at the target.
func (d *Daemon) admit(ctx context.Context, call *messenger.Call) (func(), *messenger.Answer) {
	slot, err := d.limiter.Admit(ctx, limiter.Request{Class: call.Class, Partner: call.Partner})
	if err == nil {
		return slot.Release, nil
	}
	answer := messenger.NotRun(call.ID, limiter.CauseNoSlot)
	var refused *limiter.RefusedError
	if errors.As(err, &refused) {
		answer.Cause = refused.Cause
		answer.RetryAfterMS = refused.RetryAfter.Milliseconds()
	}
	return nil, answer
}

// load returns the calls at the target, which answers carry.
func (d *Daemon) load() (running, waiting int) {
	load := d.limiter.Load()
	return load.Running, load.Waiting
}

// reached notes whether the target accepted a connection.
func (d *Daemon) reached(accepted bool) {
	if accepted {
		d.announcer.Reached()
		return
	}
	d.announcer.Unreachable()
}
