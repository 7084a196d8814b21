// Package executor runs calls at this daemon's target.
//
// It is the receiving end of a call link: it reads the calls that package forwarder
// sends, admits them, sends them to the target and answers them. It also reports
// the outcomes of calls whose link was lost.
package executor

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/requester"
)

// smallBodyBytes is the size below which a body takes about as long on a link as the
// rest of its message. Only calls with smaller bodies are samples of the link's
// delay.
const smallBodyBytes = 4 << 10

// Causes of answers that do not come from the target.
const (
	CauseNoTarget     = "no-target"
	CauseUnreachable  = "target-unreachable"
	CauseTargetFailed = "target-failed"
	CauseCutShort     = "answer-cut-short"
	// CauseShed means that the target refused the call without running it,
	// CauseOtherRun that another run of a target answered at its address.
	CauseShed     = "target-shed"
	CauseOtherRun = "other-target-run"
	// CauseUnmarkedRefusal means that the target answered a call, which must not be repeated,
	// with a status that tells callers that it has not run, without saying so itself.
	CauseUnmarkedRefusal = "refusal-unmarked"
	// CauseOtherService means that the target belongs to another service.
	CauseOtherService = "other-service"
	// CauseVersionBarred means that the version of the target's software was rolled back.
	CauseVersionBarred = "version-rolled-back"
	CauseTooLarge      = "answer-too-large"
	CauseMalformed     = "malformed-request"
	CauseMethod        = "method-not-forwarded"
	CauseDamaged       = "body-damaged"
	CauseDeadline      = "deadline-passed"
	CauseCancelled     = "cancelled"
	CauseDraining      = "draining"
	// CauseStopping means that this daemon stops, and the call might not end before its process.
	CauseStopping    = "target-daemon-stops"
	CauseTableFull   = "call-table-full"
	CauseBuffersFull = "buffers-full"
	CauseLinkEnded   = "link-ended"
	// CauseLinkCrowded means that the body would have had to wait too long for its
	// transfer over the link of the target's instance.
	CauseLinkCrowded = "link-crowded"
	// CauseAnswerNotKept means that an idempotent call was answered, but the answer
	// was not kept for requests over another link.
	CauseAnswerNotKept = "answer-not-kept"
	// CauseForgotten means that the outcome of the call is no longer known here,
	// CauseOtherProcess that another process of the instance accepted it.
	CauseForgotten    = "call-forgotten"
	CauseOtherProcess = "target-daemon-restarted"
	// CauseNeverDelivered means that the call had not begun when its outcome was
	// requested over another link, and never will.
	CauseNeverDelivered = "never-delivered"
	// CauseQuarantined means that the request has ended the targets that ran it, and is
	// not run for a time. CauseSuspected means that targets ended while they ran it, so that
	// it runs at one target only, which is not this one, and CauseTrialQueue that too many
	// other suspects wait there.
	CauseQuarantined = "request-quarantined"
	CauseSuspected   = "request-suspected"
	CauseTrialQueue  = "trial-queue"
	// CauseTrialUnsettled means that the targets of the service have just changed, so that
	// daemons may disagree where the request is tried, and CauseTrialElsewhere that this
	// target is not the one.
	CauseTrialUnsettled = "trial-unsettled"
	CauseTrialElsewhere = "trial-elsewhere"
	// CauseInternal means that this daemon failed while it handled the call.
	CauseInternal = "internal-error"
)

// Counters count the calls and messages that an Executor handled.
type Counters struct {
	// Answered, NotRun and Unknown count the outcomes of calls.
	Answered, NotRun, Unknown expvar.Int
	// Cancelled counts calls that nobody waited for any more, Reattached requests
	// for the outcome of a call over another link, Malformed messages that were
	// malformed or of an unexpected type.
	Cancelled, Reattached, Malformed expvar.Int
	// BodiesRefused counts bodies that were refused because the link was busy.
	BodiesRefused expvar.Int
	// Notices counts changes of what the target says about itself on its answers,
	// MalformedNotices the answers with a rate limit that can't be read.
	Notices, MalformedNotices expvar.Int
	// SentLimited counts the requests that were sent while the target named a rate limit.
	SentLimited expvar.Int
	// Crashes counts the runs of the target that ended while they were running calls,
	// without having said that they leave.
	Crashes expvar.Int
}

// Executor runs calls at one target. Target must be set; InstanceID and
// Incarnation must be set where links are served.
type Executor struct {
	InstanceID string
	// Incarnation differs for every process that runs under InstanceID.
	Incarnation uint64
	// Target returns the target's base URL, or "" if no target has announced itself.
	Target func() string
	// Draining reports whether the target accepts no new calls; nil means that it
	// accepts them.
	Draining func() bool
	// Admit waits for a slot and returns a function that releases it, or the answer
	// that refuses the call; nil admits every call.
	Admit func(ctx context.Context, call *messenger.Call) (release func(), refusal *messenger.Answer)
	// Service returns the service of the target. If it is nil, calls for other
	// services are not refused and keys are not handed over.
	Service func() string
	// IsBarred reports whether the target's version gets no calls; nil means that it gets them.
	IsBarred func() bool
	// Observe, unless nil, is called when the target has run a call, or was running it when its
	// time ended: failed says that it gave a server error or no answer.
	Observe func(call *messenger.Call, failed bool, took time.Duration)
	// Load returns the target's load and the run time of calls like this one; if it
	// is nil, answers carry no load.
	Load func(call *messenger.Call) Load
	// Reached, unless nil, is called when a call shows whether the target responds.
	// It is not called for a call that failed, was cancelled or ran out of time
	// after it was sent.
	Reached func(answered bool)
	// OnLeaving, unless nil, is called when the target's current run is found to be
	// leaving, by its answers or by those that other daemons got.
	OnLeaving func(messenger.TargetRun)
	// Headers is the naming scheme for the header fields of calls; the zero value is
	// bambooweir's own.
	Headers messenger.HeaderNames
	// RunID returns the ID of the target's current run. Requests carry it so that no
	// other run accepts them. If it is nil or returns "", they carry none.
	RunID func() string
	// TargetRun returns the target's current run; nil means that runs are not told apart.
	TargetRun func() messenger.TargetRun
	// PromisesNotRun reports whether callers take a response with the status for the statement
	// that the call has not run; if it is nil, they never do.
	PromisesNotRun func(status int) bool
	// EchoesID is set if the target always repeats the request's ID on its answers, so
	// that an answer without it belongs to no request. Otherwise that holds once the
	// target has repeated one, and calls without an ID get one.
	EchoesID bool
	// Requester holds the connections to the target.
	Requester requester.Requester
	// Exchange, unless nil, is used in place of Requester.
	Exchange func(ctx context.Context, base string, req *requester.Request) (*requester.Response, error)
	// Log receives an event for each call that gets no answer from the target, is
	// refused by it or reaches another run of a target; nil disables logging.
	Log *zap.Logger
	// Quarantine holds the requests under which targets have ended; nil runs them like all
	// others.
	Quarantine *quarantiner.Table
	// Quota replies to other daemons' requests for grants of tenants; nil replies nothing.
	Quota *quoter.Quoter
	// TrialHolder returns the instance at whose target the request, which is on trial, runs,
	// and for how long the targets of the service have been the same. If it is nil, that is
	// always this one.
	TrialHolder func(service string, request quarantiner.Digest) (instanceID string, settled time.Duration)
	// OnInterrupt, unless nil, is called when the target broke a connection while it was
	// running a call, and still accepts others.
	OnInterrupt func()
	// BodyPacer schedules the transfer of large bodies over the link of this instance.
	BodyPacer limiter.BodyPacer
	// Bodies bounds the bodies of the calls from links that are accepted and not yet answered;
	// nil sets no bound.
	Bodies *limiter.ByteBudget
	// Calls records the calls from links, so that each of them begins at most once.
	Calls          fencer.Fencer
	KeyCoordinator KeyCoordinator
	Counters       Counters

	notice   targetNotice
	crash    crashDetector
	trials   quarantiner.Gate
	stopping atomic.Bool // set by Drain
	// stopEnd is when the process ends at the latest, nil before a planned stop.
	stopEnd  atomic.Pointer[time.Time]
	inFlight atomic.Int64
	mu       sync.Mutex
	links    map[*servedLink]struct{} // open links, which Drain notifies
	running  map[messenger.CallID]*run
	// kept holds the running idempotent calls whose answers are to be kept.
	kept map[messenger.CallID]struct{}

	// requests holds the requests that the target is running, by ID.
	requestsMu sync.Mutex
	requests   map[string]runningRequest
}

// Load is the load of a target as its daemon reports it on answers.
type Load struct {
	// Running is the number of calls at the target, Waiting the number of those that
	// wait for a slot.
	Running, Waiting int
	// Slots is the number of calls that the target runs at a time.
	Slots int
	// Turn is how long one more call would wait under the target's rate limit.
	Turn time.Duration
	// Run is the mean run time at the target of calls like the answered one, 0 if it
	// is not known.
	Run time.Duration
}

// run is one call in flight.
type run struct {
	call     *messenger.Call
	deadline time.Time
	cancel   context.CancelFunc
	// begin reports whether the call may be sent to the target now.
	begin func() bool
	// isTrial is set if the call runs as the only suspect at the target.
	isTrial bool
	// digest is the digest of the call's content if hasDigest is set.
	digest    quarantiner.Digest
	hasDigest bool
	// releaseBody gives back the memory that the target's response takes, nil for none.
	releaseBody func()
}

// release gives back the memory of the response once the answer is no longer in use here.
func (r *run) release() {
	if r.releaseBody != nil {
		r.releaseBody()
	}
}

// Run runs a call that entered the mesh at this daemon, and returns its answer.
func (x *Executor) Run(ctx context.Context, call *messenger.Call) *messenger.Answer {
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	deadline := time.Now().Add(time.Duration(call.RemainingMS) * time.Millisecond)
	caller := ctx
	if call.IsKeyed() {
		// The call goes on if the caller leaves, since it may retry with the same key
		// and then gets the answer.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r := &run{call: call, deadline: deadline, cancel: cancel, begin: func() bool { return caller.Err() == nil }}
	defer r.release()
	return x.runSafely(ctx, r)
}

// runOrRepeat runs the call. If it has an idempotency key that was used before, it
// returns the answer of the earlier call.
func (x *Executor) runOrRepeat(ctx context.Context, r *run) *messenger.Answer {
	if r.call.IsKeyed() {
		return x.performKeyed(ctx, r)
	}
	return x.perform(ctx, r)
}

// perform admits the call, sends it to the target and returns the answer.
func (x *Executor) perform(ctx context.Context, r *run) *messenger.Answer {
	id := r.call.ID
	x.adoptNotice(r.call.Notice)
	if x.isDraining() {
		return messenger.NotRun(id, CauseDraining)
	}
	base := x.Target()
	if base == "" {
		return messenger.NotRun(id, CauseNoTarget)
	}
	if x.Service != nil && x.Service() != r.call.Service {
		// The entry daemon's view is outdated: it knows an earlier target at this daemon.
		return messenger.NotRun(id, CauseOtherService)
	}
	if x.isBarred() {
		return messenger.NotRun(id, CauseVersionBarred)
	}
	if !r.call.IsWhole() {
		return messenger.NotRun(id, CauseDamaged)
	}
	if !x.endsInTime(r) {
		return messenger.NotRun(id, CauseStopping)
	}
	end, refusal := x.admitSuspect(ctx, r)
	if refusal != nil {
		return refusal
	}
	defer end()
	if x.Admit != nil {
		release, refusal := x.Admit(ctx, r.call)
		if refusal != nil {
			refusal.ID = id
			return refusal
		}
		defer release()
	}
	if x.isDraining() {
		// The target began to drain while the call was waiting.
		return messenger.NotRun(id, CauseDraining)
	}
	if x.isBarred() {
		return messenger.NotRun(id, CauseVersionBarred)
	}
	if refusal := x.refuseSuspect(r); refusal != nil {
		// A target ended under the request while the call was waiting.
		return refusal
	}
	if !x.endsInTime(r) {
		return messenger.NotRun(id, CauseStopping)
	}
	req, cause := x.newRequest(r.call, r.deadline)
	if req == nil {
		return messenger.NotRun(id, cause)
	}
	if !time.Now().Before(r.deadline) {
		return messenger.NotRun(id, CauseDeadline)
	}
	if !r.begin() {
		return messenger.NotRun(id, CauseCancelled)
	}
	defer x.trackRequest(r.call)()
	return x.sendToTarget(ctx, base, req, r)
}

// withTargetState returns a copy of the answer with the target's load and whether it
// is draining, by which the entry daemon chooses targets. The original may be shared
// with repeats of the call and is not changed.
func (x *Executor) withTargetState(call *messenger.Call, answer *messenger.Answer) *messenger.Answer {
	labeled := *answer
	labeled.Draining = answer.Draining || x.isDraining()
	labeled.Notice = x.restrictingNotice()
	if x.Load != nil {
		load := x.Load(call)
		labeled.Running, labeled.Waiting = load.Running, load.Waiting
		labeled.Slots, labeled.RunUS = load.Slots, load.Run.Microseconds()
		labeled.TurnUS = load.Turn.Microseconds()
		labeled.HasLoad = true
	}
	return &labeled
}

// SetStopEnd sets when a planned stop that has begun ends the process at the latest. From then
// on the executor refuses calls that may not end before that.
func (x *Executor) SetStopEnd(at time.Time) { x.stopEnd.Store(&at) }

// endsInTime reports whether the call, sent to the target now, ends before the process does.
func (x *Executor) endsInTime(r *run) bool {
	end := x.stopEnd.Load()
	if end == nil {
		return true
	}
	meanRun := time.Duration(0)
	if x.Load != nil {
		meanRun = x.Load(r.call).Run
	}
	return limiter.EndsInTime(time.Until(*end), time.Until(r.deadline), meanRun)
}

// isDraining reports whether new calls are refused.
func (x *Executor) isDraining() bool {
	return x.stopping.Load() || x.Draining != nil && x.Draining() || x.hasTargetLeft()
}

// countOutcome counts the outcome of an answer and returns the answer.
func (x *Executor) countOutcome(answer *messenger.Answer) *messenger.Answer {
	switch answer.Outcome {
	case messenger.OutcomeAnswered:
		x.Counters.Answered.Add(1)
	case messenger.OutcomeNotRun:
		x.Counters.NotRun.Add(1)
	default:
		x.Counters.Unknown.Add(1)
	}
	return answer
}
