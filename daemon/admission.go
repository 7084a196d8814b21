package daemon

import (
	"cmp"
	"context"
	"errors"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/versioner"
)

// admit waits for a slot at the target.
func (d *Daemon) admit(ctx context.Context, call *messenger.Call) (func(), *messenger.Answer) {
	request := limiter.Request{
		Class: call.Class, Partner: cmp.Or(call.CallingPartner, call.Partner), Priority: call.Priority,
		Objective: loader.Milliseconds(int(call.ObjectiveMS)), IsNested: call.IsNested,
		Waited: loader.Milliseconds(int(call.WaitedMS)),
	}
	slot, err := d.limiter.Admit(ctx, request)
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

// load returns the target's load, which answers carry.
func (d *Daemon) load(call *messenger.Call) executor.Load {
	load := d.limiter.Load()
	return executor.Load{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots,
		Run: d.limiter.MeanRun(call.Class, call.Priority),
	}
}

// reached notes whether the target began to answer a call.
func (d *Daemon) reached(answered bool) {
	if answered {
		d.announcer.ReportReachable()
		return
	}
	d.announcer.ReportUnreachable()
}

// connections returns the bound on the connections to the target.
func (d *Daemon) connections() int {
	bound := applier.DefaultConnections
	announcement := d.announcer.Current()
	if snapshot := d.applier.Current(); snapshot != nil {
		if p := snapshot.Policy(announcement.Service, versioner.ClassLookup, ""); p != nil {
			bound = p.Connections
		}
	}
	if announcement.Connections > 0 {
		bound = min(bound, announcement.Connections)
	}
	return bound
}
