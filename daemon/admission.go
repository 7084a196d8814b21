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

const (
	// maxBodyBudgetBytes bounds the bodies that a daemon reads or holds.
	maxBodyBudgetBytes = 96 << 20
	// bodyBudgetPercent bounds them in percent of the process's memory. A body that is sent to
	// another daemon is in memory twice.
	bodyBudgetPercent = 25
)

// newBodyBudget returns the budget for the bodies of callers' requests and of calls from other
// daemons together.
func newBodyBudget(cfg *loader.Daemon) *limiter.ByteBudget {
	return &limiter.ByteBudget{Max: int64(memoryShare(cfg, maxBodyBudgetBytes, bodyBudgetPercent))}
}

// minAnswerBudgetBytes is the least budget for answers: that of one of the largest size, and of
// short ones beside it.
const minAnswerBudgetBytes = 20 << 20

const (
	// answerBudgetPercent bounds the bodies of the target's answers in percent of the process's
	// memory. One that is sent to another daemon is in memory up to three times.
	answerBudgetPercent = 12.5
	// keptAnswersPercent and keyAnswersPercent bound the answers that are kept in case that a
	// link is lost, and for idempotency keys.
	keptAnswersPercent = 12.5
	keyAnswersPercent  = 6.25
)

// answerBudget returns the bytes that the bodies of the target's answers may take together, and
// those of the answers of other daemons' targets.
func answerBudget(cfg *loader.Daemon) int64 {
	share := memoryShare(cfg, cfg.TargetBufferBytes, answerBudgetPercent)
	return int64(max(share, min(cfg.TargetBufferBytes, minAnswerBudgetBytes)))
}

// memoryShare returns a bound in bytes, or a share of the process's memory if that is less.
func memoryShare(cfg *loader.Daemon, bound int, percent float64) int {
	if cfg.MemoryMB <= 0 {
		return bound
	}
	return min(bound, int(cfg.MemoryMB*percent/100*(1<<20)))
}

// admit waits for one of the target's slots and returns the function that
// releases it. If the limiter refuses the call, admit returns instead the answer
// that tells the caller that the call has not run.
func (d *Daemon) admit(ctx context.Context, call *messenger.Call) (func(), *messenger.Answer) {
	request := limiter.Request{
		Class: call.Class, Partner: cmp.Or(call.CallingPartner, call.Partner), Priority: call.Priority, TenantPriority: call.TenantPriority,
		Tenant: call.Tenant, Objective: loader.Milliseconds(int(call.ObjectiveMS)), IsNested: call.IsNested,
		Waited: loader.Milliseconds(int(call.WaitedMS)), MayGoElsewhere: call.ID.Attempt() == 0 && !call.IsKeyed(),
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

// rateLimit returns the calls per second that the target takes, as it says on its answers,
// and whether it limits them.
func (d *Daemon) rateLimit() (perSecond float64, limited bool) {
	notice := d.executor.Notice()
	return notice.CallsPerSecond, notice.IsLimited
}

// targetLoad returns the target's present load and mean run time for calls like
// this one. The executor reports it with each answer.
func (d *Daemon) targetLoad(call *messenger.Call) executor.Load {
	load := d.limiter.Load()
	return executor.Load{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots,
		Turn: load.Turn, Run: d.limiter.MeanRun(call.Class, call.Priority),
	}
}

// recordReachability tells the announcer whether the target began to answer a
// call, so that it checks an unreachable target.
func (d *Daemon) recordReachability(answered bool) {
	if answered {
		d.announcer.ReportReachable()
		return
	}
	d.announcer.ReportUnreachable()
}

// maxConnections returns the largest number of connections that may be open to
// the target: the bound that the configuration sets for its service (or the default
// bound without a configuration), or the one that the target announced if that is
// smaller.
func (d *Daemon) maxConnections() int {
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
