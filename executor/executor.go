// Package executor runs calls at the target beside this daemon.
//
// It is the far end of a call link: what package forwarder sends, it reads,
// admits, begins and answers, and it says what became of calls whose link was lost.
package executor

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/messenger"
)

// maxBufferedBytes bounds the bodies of all requests that are accepted and not answered.
const maxBufferedBytes = 96 << 20

// Causes of answers that are no answers of the target.
const (
	CauseNoTarget       = "no-target"
	CauseUnreachable    = "target-unreachable"
	CauseTargetFailed   = "target-failed"
	CauseCutShort       = "answer-cut-short"
	CauseUnbounded      = "answer-length-unknown"
	CauseTooLarge       = "answer-too-large"
	CauseMalformed      = "malformed-request"
	CauseMethod         = "method-not-forwarded"
	CauseDamaged        = "body-damaged"
	CauseDeadline       = "deadline-passed"
	CauseCancelled      = "cancelled"
	CauseDraining       = "draining"
	CauseTableFull      = "call-table-full"
	CauseBuffersFull    = "buffers-full"
	CauseLinkEnded      = "link-ended"
	CauseAnswerNotKept  = "answer-not-kept"
	CauseForgotten      = "call-forgotten"
	CauseOtherProcess   = "target-daemon-restarted"
	CauseNeverDelivered = "never-delivered"
)

// Counters count what an Executor did.
type Counters struct {
	Answered, NotRun, Unknown, Cancelled, Reattached, Malformed expvar.Int
}

// Executor runs calls at one target. Target must be set; InstanceID and
// Incarnation must be set where links are served.
type Executor struct {
	InstanceID string
	// Incarnation is different in every process that runs under InstanceID.
	Incarnation uint64
	// Target returns the target's base URL, or "" when none has announced itself.
	Target func() string
	// Draining says whether the target takes no new calls; nil means that it does.
	Draining func() bool
	// Admit waits for a slot and returns its release, or the answer that refuses
	// the call; nil admits every call.
	Admit func(ctx context.Context, call *messenger.Call) (release func(), refusal *messenger.Answer)
	// Service returns the service of the target; nil means that keys have no homes.
	Service func() string
	// Load returns the calls that run and wait at the target; nil tells none.
	Load func() (running, waiting int)
	// Reached is told of every call whether the target began to answer; calls
	// that were cancelled or ran out of time say nothing.
	Reached func(answered bool)
	// HTTP reaches the target; nil means a transport of its own.
	HTTP     http.RoundTripper
	Calls    fencer.Fencer
	Keyring  Keyring
	Counters Counters

	transportOnce sync.Once
	transport     http.RoundTripper

	stopping atomic.Bool
	inFlight atomic.Int64
	buffered atomic.Int64

	mu      sync.Mutex
	links   map[*servedLink]struct{}
	running map[messenger.CallID]*run
}

// run is one call on its way.
type run struct {
	call     *messenger.Call
	deadline time.Time
	cancel   context.CancelFunc
	// begin says whether the call may be written to the target now.
	begin func() bool
}

// Run runs a call that entered at this daemon itself, to its end.
func (x *Executor) Run(ctx context.Context, call *messenger.Call) *messenger.Answer {
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	deadline := time.Now().Add(time.Duration(call.RemainingMS) * time.Millisecond)
	caller := ctx
	if call.IsKeyed() {
		// The caller may come back for the answer under the same key.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r := &run{call: call, deadline: deadline, cancel: cancel, begin: func() bool { return caller.Err() == nil }}
	return x.label(x.count(x.runOrRepeat(ctx, r)))
}

func (x *Executor) runOrRepeat(ctx context.Context, r *run) *messenger.Answer {
	if r.call.IsKeyed() {
		return x.performKeyed(ctx, r)
	}
	return x.perform(ctx, r)
}

// perform admits the call, begins it and asks the target.
func (x *Executor) perform(ctx context.Context, r *run) *messenger.Answer {
	id := r.call.ID
	if x.isDraining() {
		return messenger.NotRun(id, CauseDraining)
	}
	base := x.Target()
	if base == "" {
		return messenger.NotRun(id, CauseNoTarget)
	}
	if !r.call.IsWhole() {
		return messenger.NotRun(id, CauseDamaged)
	}
	if x.Admit != nil {
		release, refusal := x.Admit(ctx, r.call)
		if refusal != nil {
			refusal.ID = id
			return refusal
		}
		defer release()
	}
	req, cause := newRequest(ctx, base, r.call, r.deadline)
	if req == nil {
		return messenger.NotRun(id, cause)
	}
	if !time.Now().Before(r.deadline) {
		return messenger.NotRun(id, CauseDeadline)
	}
	if !r.begin() {
		return messenger.NotRun(id, CauseCancelled)
	}
	return x.ask(req, r)
}

// label tells on the answer what the entry daemon chooses targets by.
func (x *Executor) label(answer *messenger.Answer) *messenger.Answer {
	answer.Draining = answer.Draining || x.isDraining()
	if x.Load != nil {
		answer.Running, answer.Waiting = x.Load()
		answer.Told = true
	}
	return answer
}

func (x *Executor) isDraining() bool {
	return x.stopping.Load() || x.Draining != nil && x.Draining()
}

func (x *Executor) count(answer *messenger.Answer) *messenger.Answer {
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
