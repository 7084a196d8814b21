package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
)

// problemType is the media type of RFC 9457.
const problemType = "application/problem+json"

// Causes of refusals at the entry daemon.
const (
	causeNoConfiguration = "no-configuration"
	causeNoRoute         = "no-route"
	// causeUnknownKey means that no tenant holds the API key of a request on a route that
	// needs one.
	causeUnknownKey = "unknown-api-key"
	// causeOverQuota means that the tenant is over its quota, causeQuotaUnknown that no daemon
	// that knows its use of the quota can be reached.
	causeOverQuota    = "quota-exceeded"
	causeQuotaUnknown = "quota-unknown"

	causeNoTarget       = "no-target"
	causeUnreachable    = "target-daemon-unreachable"
	causeSilent         = "target-daemon-silent"
	causeCongested      = "link-congested"
	causeBodyTooLarge   = "body-too-large"
	causeBodyCutShort   = "body-cut-short"
	causeBadDeadline    = "malformed-deadline"
	causeBadKey         = "malformed-idempotency-key"
	causeDigestMismatch = "content-digest-mismatch"
	causeBuffersFull    = "buffers-full"
	causeDraining       = "draining"
	// causeStopping means that this daemon stops, and the call might not end before its process.
	causeStopping        = "entry-daemon-stops"
	causeDeadline        = "deadline-passed"
	causeCancelled       = "cancelled"
	causeDamaged         = "answer-damaged"
	causeLinkLost        = "link-lost"
	causeDaemonLost      = "target-daemon-lost"
	causeDaemonRestarted = "target-daemon-restarted"
	// causeDomainsFull means that the local failure domain has no room for the call, and the
	// others have lately refused most of the calls like it.
	causeDomainsFull = "domains-full"
	// causeLastTarget means that a suspected request is not tried at the last target of its
	// service.
	causeLastTarget = "last-target"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Outcome is "not-run" or "unknown".
	Outcome string `json:"outcome"`
	// Cause is the reason in kebab case, such as "no-route".
	Cause string `json:"cause"`
}

// statusByCause holds the HTTP status of causes that don't use the default of their
// outcome.
var statusByCause = map[string]int{
	causeNoRoute:           http.StatusNotFound,
	causeUnknownKey:        http.StatusUnauthorized,
	causeOverQuota:         http.StatusTooManyRequests,
	causeBodyTooLarge:      http.StatusRequestEntityTooLarge,
	causeBodyCutShort:      http.StatusBadRequest,
	causeBadDeadline:       http.StatusBadRequest,
	causeBadKey:            http.StatusBadRequest,
	causeDigestMismatch:    http.StatusBadRequest,
	"malformed-request":    http.StatusBadRequest,
	"method-not-forwarded": http.StatusMethodNotAllowed,
	"key-reused":           http.StatusUnprocessableEntity,
	"answer-too-large":     http.StatusBadGateway,
}

// statusOf returns the HTTP status of a call that was not answered.
func statusOf(answer *messenger.Answer) int {
	if status, ok := statusByCause[answer.Cause]; ok {
		return status
	}
	if answer.Outcome == messenger.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	if answer.Cause == causeDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeProblem writes a problem document that gives the outcome and the cause of a call
// that was not answered.
func (f *Forwarder) writeProblem(w http.ResponseWriter, answer *messenger.Answer) {
	status := statusOf(answer)
	body, err := json.Marshal(Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Outcome: answer.Outcome.String(), Cause: answer.Cause,
	})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if answer.RetryAfterMS > 0 {
		h.Set("Retry-After", f.retryAfter(answer.RetryAfterMS))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// refuse answers a request that this daemon refuses before any attempt. The outcome
// is not-run, but unknown for a refusal with status 503 of a call with an
// idempotency key: an earlier call with the key may have run, and only the key's
// owner knows.
func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, cause string) {
	f.refuseTenant(w, r, nil, cause)
}

// refuseTenant is refuse for a request of a known tenant; nil means none.
func (f *Forwarder) refuseTenant(w http.ResponseWriter, r *http.Request, tenant *applier.Tenant, cause string) {
	answer := messenger.NotRun(messenger.CallID{}, cause)
	f.tally(tenant.NameOrNone(), answer)
	f.logger().Info("request-refused", zap.String("request-id", r.Header.Get(f.Headers.WithDefaults().RequestID)),
		zap.String("cause", cause), zap.Int("status", statusOf(answer)), zap.String("host", r.Host),
		zap.String("method", r.Method), zap.String("tenant", tenant.NameOrNone()), zap.Uint64("version", f.currentVersion()))
	f.observeLatency("", answer, 0)
	if statusOf(answer) != http.StatusServiceUnavailable {
		f.Counters.NotRun.Add(1)
		f.writeProblem(w, answer)
		return
	}
	answer.RetryAfterMS = unavailableRetryAfterMS
	if r.Header.Get(messenger.HeaderIdempotencyKey) != "" {
		answer.Outcome = messenger.OutcomeUnknown
		f.Counters.Unknown.Add(1)
	} else {
		f.Counters.NotRun.Add(1)
	}
	f.writeProblem(w, answer)
}

// retryAfter returns the value of the Retry-After field. HTTP defines whole seconds
// only, so ms is rounded up unless FractionalRetryAfter is set.
func (f *Forwarder) retryAfter(ms int64) string {
	if f.FractionalRetryAfter {
		return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64)
	}
	return strconv.FormatInt((ms+999)/1000, 10)
}
