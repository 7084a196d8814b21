// Package forwarder is the entry side of the call path: it serves the HTTP
// requests of callers, chooses a target for each and sends the call to the
// target's daemon over a call link. Package executor is the receiving side.
//
// A caller gets the target's complete answer, or an RFC 9457 problem document
// whose outcome is "not-run" or "unknown".
package forwarder

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/listener"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/retrier"
	"bambooweir.example/bambooweir/tallier"
	"bambooweir.example/bambooweir/throttler"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// maxBodyBytes bounds the body of one request.
	maxBodyBytes = messenger.MaxBodyBytes
	// maxBufferedBytes bounds the total size of the bodies of all requests in flight.
	maxBufferedBytes = 96 << 20
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
	// unavailableRetryAfterMS is the Retry-After, in milliseconds, of calls for which
	// no better value is known, for example when there is no target.
	unavailableRetryAfterMS = 1000
)

// Forwarder is the HTTP handler that serves callers. Applier and Picker must be
// set; the zero value of every other field is valid.
type Forwarder struct {
	Applier *applier.Applier
	Picker  *picker.Picker
	Retrier retrier.Retrier
	// InstanceID is the instance of this daemon.
	InstanceID string
	// RunLocal runs a call at this daemon's own target without a link; nil sends such
	// calls over a link too.
	RunLocal func(ctx context.Context, call *messenger.Call) *messenger.Answer
	// Headers holds the names of the header fields of calls; the zero value means
	// bambooweir's own names.
	Headers messenger.HeaderNames
	// Service returns the service of this instance, which calls carry to the target
	// as the calling service; with nil or "" they carry none.
	Service func() string
	// FindRunning reports whether the target of this instance is running the request
	// with the given ID, and whether that run is a retry or belongs to one; nil means
	// that it never is.
	FindRunning func(requestID string) (isRunning, isRetry bool)
	// OnLargeBody is called with the size of each body of at least picker.LargeBytes
	// that a caller has sent; it may be nil.
	OnLargeBody func(n int)
	// Quarantine holds the requests under which targets have ended; nil treats them like all
	// others.
	Quarantine *quarantiner.Table
	// Throttler limits the calls that leave the failure domain while the others refuse them.
	Throttler throttler.Throttler
	// Quota decides whether calls of tenants with a quota may run; nil admits all.
	Quota *quoter.Quoter
	// Versions returns between which targets of a service a call is balanced, isFirst for one
	// that was not sent to a target before; nil means between all.
	Versions func(service string, isFirst bool) picker.Versions
	// FractionalRetryAfter makes Retry-After carry fractions of a second instead of
	// whole seconds.
	FractionalRetryAfter bool
	// Answers bounds the long answers of other daemons' targets that are in memory; nil means no
	// bound.
	Answers messenger.Budget
	// Dial opens a call link; nil means messenger.Dial.
	Dial func(ctx context.Context, addr string) (messenger.Conn, error)
	// LinksPerPeer bounds the links of each lane to one daemon; 0 means 2.
	LinksPerPeer int
	// MaxUnknownAttempts bounds the attempts of one idempotent call that may end
	// with an unknown outcome, since the call itself may crash its targets; 0 means
	// 2, a negative value means no bound.
	MaxUnknownAttempts int
	// Log receives a line for each refusal, failed attempt and call that ends
	// abnormally or late, and for links that fail; nil logs nothing.
	Log      *zap.Logger
	Counters Counters
	// Tenants counts the calls of tenants.
	Tenants tallier.Tallier
	// ObserveLatency is called with the outcome and the latency of each request; it may be
	// nil.
	ObserveLatency func(class, outcome, cause string, took time.Duration)

	// budgetSnapshot is the snapshot for which dropStaleBudgets last ran.
	budgetSnapshot atomic.Pointer[applier.Snapshot]
	waits          waitEstimator
	startup        startup
	// homeWait is the time in which no home of tenants is known.
	homeWait startup
	notices  noticeTable
	// stopping is set by Drain.
	stopping atomic.Bool
	// stopEnd is when the process ends at the latest, nil before a planned stop.
	stopEnd  atomic.Pointer[time.Time]
	inFlight atomic.Int64
	// buffered is the total size of the bodies of the requests in flight, in bytes.
	buffered atomic.Int64

	mu    sync.Mutex
	pools map[poolKey]*[laneCount]linkPool
	// drainingIncarnations maps an instance ID to the newest incarnation that has
	// said that it refuses new calls.
	drainingIncarnations map[string]uint64
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if id := r.Header.Get(f.Headers.WithDefaults().RequestID); id != "" {
		w.Header().Set(f.Headers.WithDefaults().RequestID, id)
	}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
		f.refuse(w, r, causeDraining)
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
	snapshot := f.Applier.Current()
	if snapshot == nil {
		if snapshot = f.awaitConfiguration(r); snapshot == nil {
			f.refuse(w, r, causeNoConfiguration)
			return
		}
	}
	f.dropStaleBudgets(snapshot)
	path, _, _ := strings.Cut(requestTarget(r), "?")
	route := snapshot.Route(r.Host, path, r.Method)
	if route == nil {
		f.refuse(w, r, causeNoRoute)
		return
	}
	tenant, ok := f.authenticate(r.Header, snapshot, route)
	if !ok {
		f.refuse(w, r, causeUnknownKey)
		return
	}
	x, cause := f.newExchange(w, r, snapshot, route, tenant)
	if cause != "" {
		f.refuseTenant(w, r, tenant, cause)
		return
	}
	x.version = snapshot.Version()
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	answer := f.dispatchWithinQuota(ctx, x, tenant)
	f.logCall(r.Context(), x, answer)
	f.tally(x.call.Tenant, answer)
	f.writeAnswer(w, r, answer)
	answer.Release()
}

// dropStaleBudgets drops the retry budgets of routes that are not in s, once for
// each new snapshot.
func (f *Forwarder) dropStaleBudgets(s *applier.Snapshot) {
	if old := f.budgetSnapshot.Load(); old != s && f.budgetSnapshot.CompareAndSwap(old, s) {
		go f.Retrier.KeepBudgets(s.HasRoute)
	}
}

// requestTarget returns the path and the query as the caller sent them.
func requestTarget(r *http.Request) string { return cmp.Or(r.RequestURI, r.URL.RequestURI()) }

// newExchange reads the request of a caller into an exchange. It returns the cause
// of the refusal if the request is invalid or its body can't be read.
func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request, s *applier.Snapshot, matched *applier.Route, tenant *applier.Tenant) (x *exchange, cause string) {
	names := f.Headers.WithDefaults()
	route, policy := matched.Config, matched.NextPolicy()
	timeout, ok := callTimeout(r.Header.Get(names.Deadline), policy, route)
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
	isNested, isRetry := f.findParent(r.Header.Get(names.RequestID))
	if isRetry {
		// The target does not copy the mark to the calls that it makes.
		r.Header.Set(retrier.AttemptHeader, attemptRetry)
	}
	x = &exchange{route: matched.Name, arrived: arrived, deadline: deadline, policy: policy, maxTargets: route.MaxTargets}
	x.call = messenger.Call{
		Class: route.Class, Partner: route.Partner, Service: policy.Service, Host: r.Host,
		Method: r.Method, Target: requestTarget(r), Headers: f.forwardedHeaders(r.Header, s, tenant),
		Body: body, BodyDigest: messenger.Digest(body),
		IdempotencyKey: key, Idempotent: policy.Idempotent,
		RequestID: r.Header.Get(names.RequestID), Priority: route.Priority, ObjectiveMS: int64(route.ObjectiveMS),
		IsNested: isNested, IsForAnyHost: len(route.Hosts) == 0,
	}
	if statedMS := r.Header.Get(names.Deadline); statedMS != "" && !x.call.IsNested {
		remaining, _ := strconv.ParseInt(statedMS, 10, 64)
		x.call.WaitedMS = f.waits.estimateMS(matched.Name, remaining, arrived)
	}
	if tenant != nil {
		x.call.Tenant, x.call.TenantPriority = tenant.Name, tenant.Config.Priority
	}
	if partner := r.Header.Get(messenger.HeaderPartner); s.HasPartner(partner) {
		x.call.CallingPartner = partner
	}
	_, _ = rand.Read(x.call.ID[:])
	x.call.ID = x.call.ID.WithAttempt(0)
	x.retries = f.Retrier.Begin(matched.Name, policy, r.Header)
	return x, ""
}

// attemptRetry is the value of retrier.AttemptHeader on calls that this daemon marks.
const attemptRetry = "retry"

// minNestedPrefix is the minimum length of a running request's ID for findParent to
// compare it with a prefix of another ID: shorter IDs may match by accident.
const minNestedPrefix = 8

// findParent reports whether the target of this instance makes the request while it
// runs another one, and whether that one is a retry or belongs to one. It recognises
// nested requests by their IDs, which targets form by appending to the ID of the request
// that they run. A nested request with any other ID is handled as one that is not nested.
func (f *Forwarder) findParent(requestID string) (isNested, isRetry bool) {
	if f.FindRunning == nil {
		return false, false
	}
	for n := len(requestID) - 1; n >= minNestedPrefix; n-- {
		if isNested, isRetry = f.FindRunning(requestID[:n]); isNested {
			return true, isRetry
		}
	}
	return false, false
}

// callTimeout returns the time that the call may take: the timeout of its route or
// else of its policy, or the time left that the caller states if that is shorter.
// It returns false if the stated time is malformed.
func callTimeout(statedMS string, policy *applier.Policy, route *versioner.Route) (time.Duration, bool) {
	ms := route.TimeoutMS
	if ms == 0 {
		ms = int(policy.Timeout.Milliseconds())
	}
	if statedMS != "" {
		remaining, err := strconv.Atoi(statedMS)
		if err != nil || remaining < 0 {
			return 0, false
		}
		ms = min(ms, remaining)
	}
	return time.Duration(ms) * time.Millisecond, true
}

// readBody reads the whole body by the deadline, so that a slow caller can't occupy
// the memory for it any longer. It returns the cause of the refusal on failure.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (body []byte, cause string) {
	if in, ok := r.Body.(*listener.Body); ok {
		if !messenger.MatchesContentDigest(r.Header, in.Bytes) {
			return nil, causeDigestMismatch
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
		return nil, causeBodyCutShort
	case !messenger.MatchesContentDigest(r.Header, body):
		return nil, causeDigestMismatch
	}
	return body, ""
}

// writeAnswer writes the outcome of the call as the response to the caller.
func (f *Forwarder) writeAnswer(w http.ResponseWriter, r *http.Request, answer *messenger.Answer) {
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
	requestID := f.Headers.WithDefaults().RequestID
	for _, field := range answer.Headers {
		if field.Name == requestID {
			// The target repeats the request's ID, which ServeHTTP may have set already.
			h.Set(requestID, field.Value)
			continue
		}
		h[field.Name] = append(h[field.Name], field.Value)
	}
	if r.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// SetStopEnd sets when a planned stop that has begun ends the process at the latest. From then
// on the forwarder refuses calls that may not end before that.
func (f *Forwarder) SetStopEnd(at time.Time) { f.stopEnd.Store(&at) }

// endsInTime reports whether the call, sent to the target of the choice now, ends before the
// process does.
func (f *Forwarder) endsInTime(x *exchange, choice picker.Choice) bool {
	end := f.stopEnd.Load()
	if end == nil {
		return true
	}
	meanRun := choice.MeanRun()
	if meanRun > 0 {
		// The expected latency also holds the wait for a slot.
		meanRun = max(meanRun, choice.ExpectedLatency)
	}
	return limiter.EndsInTime(time.Until(*end), time.Until(x.deadline), meanRun)
}

// Drain makes the forwarder refuse new calls from now on.
func (f *Forwarder) Drain() { f.stopping.Store(true) }

// InFlight returns the number of requests that have not been answered yet.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }
