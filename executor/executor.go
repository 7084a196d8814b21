// Package executor runs calls at the target beside this daemon.
//
// It is the far end of a call link: what package forwarder sends, it reads,
// admits, begins and answers, and it says what became of calls whose link was lost.
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
	"bambooweir.example/bambooweir/requester"
)

// maxBufferedBytes bounds the bodies of all requests that are accepted and not answered.
const maxBufferedBytes = 96 << 20

// smallBody is the size below which a body takes about as long on a link as the
// rest of its message.
const smallBody = 4 << 10

// Causes of answers that are no answers of the target.
const (
	CauseNoTarget     = "no-target"
	CauseUnreachable  = "target-unreachable"
	CauseTargetFailed = "target-failed"
	CauseCutShort     = "answer-cut-short"
	// CauseShed means that the target refused the call unrun, CauseOtherRun that
	// another run of a target answered at its address.
	CauseShed     = "target-shed"
	CauseOtherRun = "other-target-run"
	// CauseOtherService means that the target belongs to another service.
	CauseOtherService = "other-service"
	CauseTooLarge     = "answer-too-large"
	CauseMalformed    = "malformed-request"
	CauseMethod       = "method-not-forwarded"
	CauseDamaged      = "body-damaged"
	CauseDeadline     = "deadline-passed"
	CauseCancelled    = "cancelled"
	CauseDraining     = "draining"
	CauseTableFull    = "call-table-full"
	CauseBuffersFull  = "buffers-full"
	CauseLinkEnded    = "link-ended"
	// CauseLinkCrowded means that the body would have had to wait for too long to
	// come over the link of the target's instance.
	CauseLinkCrowded    = "link-crowded"
	CauseAnswerNotKept  = "answer-not-kept"
	CauseForgotten      = "call-forgotten"
	CauseOtherProcess   = "target-daemon-restarted"
	CauseNeverDelivered = "never-delivered"
)

// Counters count what an Executor did.
type Counters struct {
	// Answered, NotRun and Unknown count the outcomes of calls.
	Answered, NotRun, Unknown expvar.Int
	// Cancelled counts calls that nobody waited for any more, Reattached those asked
	// for over another link, Malformed what was no message.
	Cancelled, Reattached, Malformed expvar.Int
	// BodiesRefused counts bodies that were not let in over the link.
	BodiesRefused expvar.Int
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
	// Load returns the target's load for calls like this one; nil tells none.
	Load func(call *messenger.Call) Load
	// Reached is told of every call whether the target began to answer; calls
	// that were cancelled or ran out of time say nothing.
	Reached func(answered bool)
	// Headers spells the header fields of calls; the zero value is bambooweir's own.
	Headers messenger.HeaderNames
	// RunID returns the name of the target's present run, which requests carry so
	// that no other run takes them; nil or "" names none.
	RunID func() string
	// EchoesID says that the target repeats the request's id on its answers, and
	// that one without it belongs to no request.
	EchoesID bool
	// Requester holds the connections to the target.
	Requester requester.Requester
	// Exchange replaces Requester; nil uses it.
	Exchange func(ctx context.Context, base string, req *requester.Request) (*requester.Response, error)
	// Log takes a line for each decision on a call that does not go as usual; nil
	// takes none.
	Log *zap.Logger
	// BodyPacer lets large bodies in over the link of this instance.
	BodyPacer      limiter.Intake
	Calls          fencer.Fencer
	KeyCoordinator Keyring
	Counters       Counters

	stopping atomic.Bool
	inFlight atomic.Int64
	buffered atomic.Int64

	mu      sync.Mutex
	links   map[*servedLink]struct{}
	running map[messenger.CallID]*run

	// requests counts the requests that the target runs, by id.
	requestsMu sync.Mutex
	requests   map[string]int
}

// IsRunning says whether the target is running the request with an id.
func (x *Executor) IsRunning(requestID string) bool {
	x.requestsMu.Lock()
	defer x.requestsMu.Unlock()
	return x.requests[requestID] > 0
}

// noteRequest counts a request that the target runs until the returned function
// is called.
func (x *Executor) noteRequest(id string) (done func()) {
	if id == "" {
		return func() {}
	}
	x.requestsMu.Lock()
	defer x.requestsMu.Unlock()
	if x.requests == nil {
		x.requests = make(map[string]int)
	}
	x.requests[id]++
	return func() {
		x.requestsMu.Lock()
		defer x.requestsMu.Unlock()
		if x.requests[id]--; x.requests[id] <= 0 {
			delete(x.requests, id)
		}
	}
}

// Load is what a target's daemon tells of its load.
type Load struct {
	// Running and Waiting are the calls at the target and those that wait for a slot.
	Running, Waiting int
	// Slots is the number of calls that the target runs at a time.
	Slots int
	// Run is the mean time that such a call takes at the target, 0 when not known.
	Run time.Duration
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
	return x.label(call, x.count(x.runOrRepeat(ctx, r)))
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
	if x.Service != nil && x.Service() != r.call.Service {
		// The caller's view is of a target that was here before.
		return messenger.NotRun(id, CauseOtherService)
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
	if x.isDraining() {
		// It began to drain while the call waited.
		return messenger.NotRun(id, CauseDraining)
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
	defer x.noteRequest(r.call.RequestID)()
	return x.ask(ctx, base, req, r)
}

// label returns the answer with what the entry daemon chooses targets by. The
// answer itself may be shared with repeats of its call.
func (x *Executor) label(call *messenger.Call, answer *messenger.Answer) *messenger.Answer {
	labeled := *answer
	labeled.Draining = answer.Draining || x.isDraining()
	if x.Load != nil {
		load := x.Load(call)
		labeled.Running, labeled.Waiting = load.Running, load.Waiting
		labeled.Slots, labeled.RunUS = load.Slots, load.Run.Microseconds()
		labeled.HasLoad = true
	}
	return &labeled
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
