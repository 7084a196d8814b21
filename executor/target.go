package executor

import (
	"context"
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

// newRequest returns the request to the target, or the cause for which there is none.
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
	left := max(0, time.Until(deadline).Milliseconds())
	fields = append(fields, messenger.Header{Name: names.Deadline, Value: strconv.FormatInt(left, 10)})
	if x.RunID != nil {
		if id := x.RunID(); id != "" {
			fields = append(fields, messenger.Header{Name: names.Target, Value: id})
		}
	}
	req = &requester.Request{
		Method: call.Method, Target: call.Target, Host: call.Host, Fields: fields, Body: call.Body,
		IsRepeatable: call.Idempotent,
	}
	if x.EchoesID {
		req.ID = call.RequestID
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

// ask sends a request that has begun and reads the answer.
func (x *Executor) ask(ctx context.Context, base string, req *requester.Request, r *run) *messenger.Answer {
	id := r.call.ID
	res, err := x.exchange(ctx, base, req)
	var unsent *requester.NotSentError
	if errors.As(err, &unsent) {
		x.reached(!unsent.IsUnreachable)
		if ctx.Err() != nil {
			return messenger.NotRun(id, failureCause(ctx, CauseUnreachable))
		}
		return messenger.NotRun(id, CauseUnreachable)
	}
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// What made this answer stay out may have silenced the idle connections, too.
			x.Requester.Reset()
		}
		answer := messenger.Unknown(id, failureCause(ctx, lossCause(err)))
		x.logger().Info("target-gave-no-answer", zap.String("request-id", r.call.RequestID), zap.String("cause", answer.Cause), zap.Error(err))
		return sent(answer)
	}
	x.reached(true)
	return sent(x.answerOf(id, r.call.RequestID, req, res))
}

func sent(answer *messenger.Answer) *messenger.Answer {
	answer.Sent = true
	return answer
}

func (x *Executor) reached(answered bool) {
	if x.Reached != nil {
		x.Reached(answered)
	}
}

// lossCause tells an answer that was cut from none at all.
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

// answerOf returns the answer that a response makes.
func (x *Executor) answerOf(id messenger.CallID, requestID string, req *requester.Request, res *requester.Response) *messenger.Answer {
	switch {
	case res.Status == http.StatusMisdirectedRequest:
		x.logger().Info("other-run-answered", zap.String("request-id", requestID))
		x.reached(false)
		return messenger.NotRun(id, CauseOtherRun)
	case res.Header.Get(x.Headers.WithDefaults().NotRun) != "":
		x.logger().Info("target-shed", zap.String("request-id", requestID), zap.Int("status", res.Status))
		answer := messenger.NotRun(id, CauseShed)
		answer.RetryAfterMS = retryAfter(res.Header)
		return answer
	case !messenger.MatchesContentDigest(res.Header, res.Body) && req.Method != http.MethodHead:
		return messenger.Unknown(id, CauseDamaged)
	}
	return &messenger.Answer{
		ID: id, Outcome: messenger.OutcomeAnswered, Status: res.Status,
		Headers: messenger.FromHTTP(res.Header), Body: res.Body, BodyDigest: messenger.Digest(res.Body),
	}
}

// retryAfter returns the target's advice in milliseconds, 0 for none. Dates are
// passed over, since clocks differ.
func retryAfter(h http.Header) int64 {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds > maxRetryAfterSeconds {
		return 0
	}
	return int64(seconds * 1000)
}

// maxRetryAfterSeconds bounds the advice that is passed on.
const maxRetryAfterSeconds = 3600

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

func (x *Executor) logger() *zap.Logger {
	if x.Log == nil {
		return noLog
	}
	return x.Log
}
