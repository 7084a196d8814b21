package executor

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/requester"
)

// newRequest returns the request to the target, or nil and the cause if the call
// can't be sent.
func (x *Executor) newRequest(call *messenger.Call, deadline time.Time) (req *requester.Request, cause string) {
	switch call.Method {
	case http.MethodTrace, http.MethodConnect:
		return nil, CauseMethod
	}
	if !strings.HasPrefix(call.Target, "/") || strings.ContainsAny(call.Target, " \r\n") {
		return nil, CauseMalformed
	}
	names := x.Headers.WithDefaults()
	fields := make([]messenger.Header, 0, len(call.Headers)+2)
	for _, h := range call.Headers {
		if h.Name != names.Deadline && h.Name != names.Target {
			fields = append(fields, h)
		}
	}
	remaining := max(0, time.Until(deadline).Milliseconds())
	fields = append(fields, messenger.Header{Name: names.Deadline, Value: strconv.FormatInt(remaining, 10)})
	if x.RunID != nil {
		if id := x.RunID(); id != "" {
			fields = append(fields, messenger.Header{Name: names.Target, Value: id})
		}
	}
	req = &requester.Request{
		Method: call.Method, Target: call.Target, Host: call.Host, Fields: fields, Body: call.Body,
		IsRepeatable: call.Idempotent,
	}
	req.ID, req.IsIDOptional = call.RequestID, !x.EchoesID
	if req.ID == "" && !x.EchoesID {
		req.ID = hex.EncodeToString(call.ID[:])
		req.Fields = append(req.Fields, messenger.Header{Name: names.RequestID, Value: req.ID})
	}
	return req, ""
}

// exchange sends a request to the target.
func (x *Executor) exchange(ctx context.Context, base string, req *requester.Request) (*requester.Response, error) {
	if x.Exchange != nil {
		return x.Exchange(ctx, base, req)
	}
	return x.Requester.Do(ctx, strings.TrimPrefix(base, "http://"), req)
}

// sendToTarget sends the request of a call that has begun, and returns the answer.
func (x *Executor) sendToTarget(ctx context.Context, base string, req *requester.Request, r *run) *messenger.Answer {
	id, run := r.call.ID, x.currentRun()
	if x.Notice().IsLimited {
		x.Counters.SentLimited.Add(1)
	}
	began := time.Now()
	res, err := x.exchange(ctx, base, req)
	var notSent *requester.NotSentError
	if errors.As(err, &notSent) {
		if notSent.IsUnreachable {
			// Other reasons, as a caller that has left or no free connection, say
			// nothing about the target.
			x.reportReached(false)
		}
		if ctx.Err() != nil {
			return messenger.NotRun(id, failureCause(ctx, CauseUnreachable))
		}
		return messenger.NotRun(id, CauseUnreachable)
	}
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The fault that kept this answer from arriving may affect the idle
			// connections, too.
			x.Requester.Reset()
		}
		answer := messenger.Unknown(id, failureCause(ctx, lossCause(err)))
		if !errors.Is(ctx.Err(), context.Canceled) {
			// A call that its caller gave up shows nothing.
			x.observe(r.call, true, time.Since(began))
		}
		x.logger().Info("target-gave-no-answer", zap.String("request-id", r.call.RequestID), zap.String("cause", answer.Cause),
			zap.Stringer("request-digest", r.contentDigest()), zap.Duration("ran", time.Since(began)), zap.Error(err))
		if ctx.Err() == nil {
			x.interrupt(ctx, base, run, interruptedCall{run: r, brokeAt: time.Now()})
			if x.Quarantine != nil {
				answer.Suspicions = x.Quarantine.Find(r.contentDigest())
			}
		}
		return markSent(answer)
	}
	r.releaseBody = res.Release
	x.observeAlive(run, began)
	x.reportReached(res.Status != http.StatusMisdirectedRequest)
	if res.Status != http.StatusMisdirectedRequest {
		x.observeNotice(run, res.Header)
	}
	answer := x.answerFromResponse(r.call, req, res, time.Since(began))
	if answer.Outcome != messenger.OutcomeNotRun {
		x.observe(r.call, answer.Outcome != messenger.OutcomeAnswered || answer.Status >= http.StatusInternalServerError, time.Since(began))
	}
	x.reportCompleted(r, answer)
	return markSent(answer)
}

// observe calls Observe unless it is nil.
func (x *Executor) observe(call *messenger.Call, failed bool, took time.Duration) {
	if x.Observe != nil {
		x.Observe(call, failed, took)
	}
}

// isBarred reports whether the target's version gets no calls.
func (x *Executor) isBarred() bool { return x.IsBarred != nil && x.IsBarred() }

// markSent marks the answer as that of a call that was sent to the target.
func markSent(answer *messenger.Answer) *messenger.Answer {
	answer.Sent = true
	return answer
}

// reportReached calls Reached unless it is nil.
func (x *Executor) reportReached(answered bool) {
	if x.Reached != nil {
		x.Reached(answered)
	}
}

// lossCause returns the cause of an answer that was lost: it was too large, cut
// short or did not arrive at all.
func lossCause(err error) string {
	switch {
	case requester.IsTooLarge(err):
		return CauseTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF):
		return CauseCutShort
	default:
		return CauseTargetFailed
	}
}

// answerFromResponse returns the answer that corresponds to a response that the target gave
// after the time took.
func (x *Executor) answerFromResponse(call *messenger.Call, req *requester.Request, res *requester.Response, took time.Duration) *messenger.Answer {
	id := call.ID
	switch {
	case res.Status == http.StatusMisdirectedRequest:
		x.logger().Info("other-run-answered", refusalFields(call, res, took)...)
		return messenger.NotRun(id, CauseOtherRun)
	case res.Header.Get(x.Headers.WithDefaults().NotRun) != "":
		x.logger().Info("target-shed", refusalFields(call, res, took)...)
		answer := messenger.NotRun(id, CauseShed)
		answer.RetryAfterMS = retryAfter(res.Header)
		return answer
	case !call.Idempotent && x.PromisesNotRun != nil && x.PromisesNotRun(res.Status):
		return messenger.Unknown(id, CauseUnmarkedRefusal)
	case !messenger.MatchesContentDigest(res.Header, res.Body) && req.Method != http.MethodHead:
		return messenger.Unknown(id, CauseDamaged)
	}
	return &messenger.Answer{
		ID: id, Outcome: messenger.OutcomeAnswered, Status: res.Status,
		Headers: messenger.FromHTTP(res.Header), Body: res.Body, BodyDigest: messenger.Digest(res.Body),
	}
}

// refusalFields returns what is logged of a response by which the target says that it has not
// run the call.
func refusalFields(call *messenger.Call, res *requester.Response, took time.Duration) []zap.Field {
	return []zap.Field{
		zap.String("request-id", call.RequestID), zap.Uint16("attempt", call.ID.Attempt()),
		zap.Int("status", res.Status), zap.Duration("took", took), zap.Int("carried", res.Carried),
	}
}

// retryAfter returns the delay of the Retry-After field in milliseconds, or 0 if
// there is none. Dates are ignored, since clocks differ.
func retryAfter(h http.Header) int64 {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds > maxRetryAfterSeconds {
		return 0
	}
	return int64(seconds * 1000)
}

// maxRetryAfterSeconds is the longest delay that is passed on; longer ones are
// ignored.
const maxRetryAfterSeconds = 3600

// failureCause returns the cause of ctx having ended, or cause if it has not.
func failureCause(ctx context.Context, cause string) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CauseDeadline
	case ctx.Err() != nil:
		return CauseCancelled
	default:
		return cause
	}
}

var noLog = zap.NewNop()

// logger returns Log, or a logger that discards everything if Log is nil.
func (x *Executor) logger() *zap.Logger {
	if x.Log == nil {
		return noLog
	}
	return x.Log
}
