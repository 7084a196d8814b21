// Package forwarder takes calls from callers and brings them to a target's daemon.
//
// It is the near end of a call link, package executor the far one. Of every
// call it tells the caller the target's whole answer, or a problem document
// whose outcome is "not-run" or "unknown".
package forwarder

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/listener"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/retrier"
	"bambooweir.example/bambooweir/versioner"
)

const (
	maxBodyBytes = messenger.MaxBodyBytes
	// maxBufferedBytes bounds the bodies of all requests that are under way.
	maxBufferedBytes = 96 << 20
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// unavailableRetryMS is the Retry-After of calls for which there is no target.
	unavailableRetryMS = 1000
)

// Causes of refusals at the entry daemon.
const (
	causeNoConfiguration = "no-configuration"
	causeNoRoute         = "no-route"
	causeNoTarget        = "no-target"
	causeUnreachable     = "target-daemon-unreachable"
	causeSilent          = "target-daemon-silent"
	causeCongested       = "link-congested"
	causeBodyTooLarge    = "body-too-large"
	causeBodyCut         = "body-cut-short"
	causeBadDeadline     = "malformed-deadline"
	causeBadKey          = "malformed-idempotency-key"
	causeDigest          = "content-digest-mismatch"
	causeBuffersFull     = "buffers-full"
	causeDraining        = "draining"
	causeDeadline        = "deadline-passed"
	causeCancelled       = "cancelled"
	causeDamaged         = "answer-damaged"
	causeLinkLost        = "link-lost"
	causeLost            = "target-daemon-lost"
	causeRestarted       = "target-daemon-restarted"
)

// Forwarder is the HTTP handler that callers reach. Applier and Picker must be
// set; the other fields work when they are not.
type Forwarder struct {
	Applier *applier.Applier
	Picker  *picker.Picker
	Retrier retrier.Retrier
	// InstanceID and Local let a call for this daemon's own target cross no link.
	InstanceID string
	RunLocal   func(ctx context.Context, call *messenger.Call) *messenger.Answer
	// Headers spells the header fields of calls; the zero value is bambooweir's own.
	Headers messenger.Dialect
	// Service returns the service of the instance, which targets are told as the
	// one that calls; nil or "" tells none.
	Service func() string
	// IsRunning says whether the target of this instance is running the request with an
	// id; nil knows of none.
	IsRunning func(requestID string) bool
	// OnLargeBody is told the size of each large body that has come from a caller; nil
	// tells nobody.
	OnLargeBody func(n int)
	// FractionalRetryAfter gives callers the Retry-After with fractions of a second.
	FractionalRetryAfter bool
	// Dial opens a call link; nil means messenger.Dial.
	Dial func(ctx context.Context, addr string) (messenger.Conn, error)
	// LinksPerPeer bounds the links for small calls to one daemon; 0 means 2.
	LinksPerPeer int
	// MaxHarmed bounds the targets that one idempotent call may reach without an
	// answer, since it may be what they die of; 0 means 2, below 0 means no bound.
	MaxHarmed int
	// Log takes a line for each decision on a call that does not go as usual; nil
	// takes none.
	Log      *zap.Logger
	Counters Counters
	// ObserveLatency observes the latency of each request with its outcome; nil observes none.
	ObserveLatency func(class, outcome, cause string, took time.Duration)

	// budgeted is the snapshot whose routes have retry budgets.
	budgeted atomic.Pointer[applier.Snapshot]
	patience patience
	stopping atomic.Bool
	inFlight atomic.Int64
	buffered atomic.Int64

	mu    sync.Mutex
	peers map[peerKey]*[laneCount]peer
	// draining holds, by instance, the newest incarnation that refuses new calls.
	draining map[string]uint64
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if id := r.Header.Get(f.Headers.Names().RequestID); id != "" {
		w.Header().Set(f.Headers.Names().RequestID, id)
	}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
		f.refuse(w, r, causeDraining)
		return
	}
	snapshot := f.Applier.Current()
	if snapshot == nil {
		f.refuse(w, r, causeNoConfiguration)
		return
	}
	f.dropBudgets(snapshot)
	path, _, _ := strings.Cut(requestTarget(r), "?")
	route := snapshot.Route(r.Host, path, r.Method)
	if route == nil {
		f.refuse(w, r, causeNoRoute)
		return
	}
	size := r.ContentLength
	if size < 0 {
		size = maxBodyBytes
	}
	defer f.buffered.Add(-size)
	if f.buffered.Add(size) > maxBufferedBytes && size > 0 {
		f.refuse(w, r, causeBuffersFull)
		return
	}
	x, cause := f.newExchange(w, r, snapshot, route)
	if cause != "" {
		f.refuse(w, r, cause)
		return
	}
	x.version = snapshot.Version()
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	answer := f.dispatch(ctx, x)
	f.tell(r.Context(), x, answer)
	f.answer(w, r, answer)
}

// dropBudgets forgets the retry budgets of routes that a new snapshot lacks.
func (f *Forwarder) dropBudgets(s *applier.Snapshot) {
	if old := f.budgeted.Load(); old != s && f.budgeted.CompareAndSwap(old, s) {
		go f.Retrier.KeepBudgets(s.HasRoute)
	}
}

// requestTarget returns the path and the query as the caller sent them.
func requestTarget(r *http.Request) string { return cmp.Or(r.RequestURI, r.URL.RequestURI()) }

// newExchange reads the request, or returns the cause for which it is refused.
func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request, s *applier.Snapshot, matched *applier.Route) (x *exchange, cause string) {
	names := f.Headers.Names()
	route, policy := matched.Config, matched.NextPolicy()
	timeout, ok := timeout(r.Header.Get(names.Deadline), policy, route)
	if !ok {
		return nil, causeBadDeadline
	}
	key := r.Header.Get(messenger.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, causeBadKey
	}
	arrived := listener.Arrival(r.Context())
	deadline := arrived.Add(timeout)
	body, cause := readBody(w, r, deadline)
	if cause != "" {
		return nil, cause
	}
	if f.OnLargeBody != nil && len(body) >= picker.LargeBytes {
		f.OnLargeBody(len(body))
	}
	x = &exchange{route: matched.Name, arrived: arrived, deadline: deadline, policy: policy, maxTargets: route.MaxTargets}
	x.call = messenger.Call{
		Class: route.Class, Partner: route.Partner, Service: policy.Service, Host: r.Host,
		Method: r.Method, Target: requestTarget(r), Headers: f.callFields(r.Header),
		Body: body, BodyDigest: messenger.Digest(body),
		IdempotencyKey: key, Idempotent: policy.Idempotent,
		RequestID: r.Header.Get(names.RequestID), Priority: route.Priority, ObjectiveMS: int64(route.ObjectiveMS),
		IsNested: f.isNested(r.Header.Get(names.RequestID)),
	}
	if stated := r.Header.Get(names.Deadline); stated != "" && !x.call.IsNested {
		left, _ := strconv.ParseInt(stated, 10, 64)
		x.call.WaitedMS = f.patience.waited(matched.Name, left, arrived)
	}
	if partner := r.Header.Get(messenger.HeaderPartner); s.HasPartner(partner) {
		x.call.CallingPartner = partner
	}
	_, _ = rand.Read(x.call.ID[:])
	x.retries = f.Retrier.Begin(matched.Name, policy, r.Header)
	return x, ""
}

// callFields returns the fields that the target gets from the caller, with the
// calling service as this daemon knows it, whatever the caller says.
func (f *Forwarder) callFields(h http.Header) []messenger.Header {
	names := f.Headers.Names()
	fields := slices.DeleteFunc(messenger.FromHTTP(h), func(field messenger.Header) bool {
		return field.Name == names.CallingService || field.Name == names.Target
	})
	if f.Service == nil {
		return fields
	}
	if service := f.Service(); service != "" {
		fields = append(fields, messenger.Header{Name: names.CallingService, Value: service})
	}
	return fields
}

// minNestedPrefix is the least length of an id that others are told to extend:
// shorter ones may be alike by accident.
const minNestedPrefix = 8

// isNested says whether the target of this instance makes the request while it
// runs another one. Targets name such requests by extending the id of the one
// that they run; where they don't, a nested request is taken as any other.
func (f *Forwarder) isNested(requestID string) bool {
	if f.IsRunning == nil {
		return false
	}
	for n := len(requestID) - 1; n >= minNestedPrefix; n-- {
		if f.IsRunning(requestID[:n]) {
			return true
		}
	}
	return false
}

// timeout returns the time that the call may take: that of its route, or what
// the caller says that it has left if that is less.
func timeout(stated string, policy *applier.Policy, route *versioner.Route) (time.Duration, bool) {
	ms := route.TimeoutMS
	if ms == 0 {
		ms = int(policy.Timeout.Milliseconds())
	}
	if stated != "" {
		left, err := strconv.Atoi(stated)
		if err != nil || left < 0 {
			return 0, false
		}
		ms = min(ms, left)
	}
	return time.Duration(ms) * time.Millisecond, true
}

// readBody reads the whole body by the deadline, so that no caller holds the
// memory for it for longer.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (body []byte, cause string) {
	if in, ok := r.Body.(*listener.Body); ok {
		if !messenger.MatchesContentDigest(r.Header, in.Bytes) {
			return nil, causeDigest
		}
		return in.Bytes, ""
	}
	if r.ContentLength == 0 {
		return nil, ""
	}
	if r.ContentLength > maxBodyBytes {
		return nil, causeBodyTooLarge
	}
	if r.ContentLength < 0 || r.ContentLength > smallBodyBytes {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(deadline)
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, causeBodyTooLarge
	case err != nil:
		return nil, causeBodyCut
	case !messenger.MatchesContentDigest(r.Header, body):
		return nil, causeDigest
	}
	return body, ""
}

// refuse tells the caller that the call was not run, for a reason found here.
// A call with an idempotency key may have run before, which only the key's home
// knows.
func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, cause string) {
	answer := messenger.NotRun(messenger.CallID{}, cause)
	f.logger().Info("request-refused", zap.String("request-id", r.Header.Get(f.Headers.Names().RequestID)),
		zap.String("cause", cause), zap.Int("status", statusOf(answer)), zap.String("host", r.Host),
		zap.String("method", r.Method), zap.Uint64("version", f.versionInForce()))
	f.observe("", answer, 0)
	if statusOf(answer) != http.StatusServiceUnavailable {
		f.Counters.NotRun.Add(1)
		f.writeProblem(w, answer)
		return
	}
	answer.RetryAfterMS = unavailableRetryMS
	if r.Header.Get(messenger.HeaderIdempotencyKey) != "" {
		answer.Outcome = messenger.OutcomeUnknown
		f.Counters.Unknown.Add(1)
	} else {
		f.Counters.NotRun.Add(1)
	}
	f.writeProblem(w, answer)
}

// answer tells the caller what became of the call.
func (f *Forwarder) answer(w http.ResponseWriter, r *http.Request, answer *messenger.Answer) {
	switch answer.Outcome {
	case messenger.OutcomeAnswered:
		f.Counters.Answered.Add(1)
	case messenger.OutcomeNotRun:
		f.Counters.NotRun.Add(1)
		f.writeProblem(w, answer)
		return
	default:
		f.Counters.Unknown.Add(1)
		f.writeProblem(w, answer)
		return
	}
	h := w.Header()
	for _, field := range answer.Headers {
		h[field.Name] = append(h[field.Name], field.Value)
	}
	if r.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// Drain refuses new calls from now on.
func (f *Forwarder) Drain() { f.stopping.Store(true) }

// InFlight returns the number of requests that are not answered yet.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }
