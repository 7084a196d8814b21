// Package forwarder takes calls from callers and brings them to a target's daemon.
//
// It is the near end of a call link, package executor the far one. Of every
// call it tells the caller the target's whole answer, or a problem document
// whose outcome is "not-run" or "unknown".
package forwarder

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/retrier"
	"bambooweir.example/bambooweir/versioner"
)

const (
	maxBodyBytes = 4 << 20
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
	causeBodyTooLarge    = "body-too-large"
	causeBodyCut         = "body-cut-short"
	causeBadDeadline     = "malformed-deadline"
	causeBadKey          = "malformed-idempotency-key"
	causeDigest          = "content-digest-mismatch"
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
	Local      func(ctx context.Context, call *messenger.Call) *messenger.Answer
	// Dial opens a call link; nil means messenger.Dial.
	Dial func(ctx context.Context, addr string) (messenger.Conn, error)
	// LinksPerPeer bounds the links for small calls to one daemon; 0 means 2.
	LinksPerPeer int
	Counters     Counters

	stopping atomic.Bool
	inFlight atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
	// draining holds, by instance, the newest incarnation that refuses new calls.
	draining map[string]uint64
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
		f.refuse(w, causeDraining)
		return
	}
	snapshot := f.Applier.Current()
	if snapshot == nil {
		f.refuse(w, causeNoConfiguration)
		return
	}
	name, route, ok := snapshot.Match(r.Host, r.URL.Path, r.Method)
	if !ok {
		f.refuse(w, causeNoRoute)
		return
	}
	x, cause := f.newExchange(w, r, snapshot, name, route)
	if cause != "" {
		f.refuse(w, cause)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	f.answer(w, r, f.dispatch(ctx, x))
}

// newExchange reads the request, or returns the cause for which it is refused.
func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request, s *applier.Snapshot, name string, route *versioner.Route) (x *exchange, cause string) {
	policy := s.Policy(route.Service, route.Class, route.Partner)
	if policy == nil {
		return nil, causeNoRoute
	}
	timeout, ok := timeout(r, policy, route)
	if !ok {
		return nil, causeBadDeadline
	}
	key := r.Header.Get(messenger.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, causeBadKey
	}
	body, cause := readBody(w, r)
	if cause != "" {
		return nil, cause
	}
	x = &exchange{deadline: time.Now().Add(timeout), policy: policy}
	x.call = messenger.Call{
		Class: route.Class, Partner: route.Partner, Service: route.Service, Host: r.Host,
		Method: r.Method, Target: r.URL.RequestURI(), Headers: messenger.FromHTTP(r.Header),
		Body: body, BodyDigest: messenger.Digest(body),
		IdempotencyKey: key, Idempotent: policy.Idempotent,
	}
	_, _ = rand.Read(x.call.ID[:])
	x.retries = f.Retrier.Begin(name, policy, r.Header)
	return x, ""
}

// timeout returns the time that the call may take: that of its route, or what
// the caller has left if that is less.
func timeout(r *http.Request, policy *applier.Policy, route *versioner.Route) (time.Duration, bool) {
	ms := route.TimeoutMS
	if ms == 0 {
		ms = int(policy.Timeout.Milliseconds())
	}
	if text := r.Header.Get(messenger.HeaderDeadline); text != "" {
		left, err := strconv.Atoi(text)
		if err != nil || left < 0 {
			return 0, false
		}
		ms = min(ms, left)
	}
	return time.Duration(ms) * time.Millisecond, true
}

func readBody(w http.ResponseWriter, r *http.Request) (body []byte, cause string) {
	if r.ContentLength == 0 {
		return nil, ""
	}
	if r.ContentLength > maxBodyBytes {
		return nil, causeBodyTooLarge
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
func (f *Forwarder) refuse(w http.ResponseWriter, cause string) {
	f.Counters.NotRun.Add(1)
	answer := messenger.NotRun(messenger.CallID{}, cause)
	if statusOf(answer) == http.StatusServiceUnavailable {
		answer.RetryAfterMS = unavailableRetryMS
	}
	writeProblem(w, answer)
}

// answer tells the caller what became of the call.
func (f *Forwarder) answer(w http.ResponseWriter, r *http.Request, answer *messenger.Answer) {
	switch answer.Outcome {
	case messenger.OutcomeAnswered:
		f.Counters.Answered.Add(1)
	case messenger.OutcomeNotRun:
		f.Counters.NotRun.Add(1)
		writeProblem(w, answer)
		return
	default:
		f.Counters.Unknown.Add(1)
		writeProblem(w, answer)
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
