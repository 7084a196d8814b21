package executor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdleConns    = 128
	maxHeaderBytes  = 64 << 10
	readBufferBytes = 16 << 10
)

// NewTransport returns the transport to the target. It follows no redirect,
// adds no header, and asks for no compression of its own.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

func (x *Executor) roundTripper() http.RoundTripper {
	if x.HTTP != nil {
		return x.HTTP
	}
	x.transportOnce.Do(func() { x.transport = NewTransport() })
	return x.transport
}

// onceReader hides the kind of its reader, so that net/http can't send the body again.
type onceReader struct{ io.Reader }

// respelled holds the header names that net/http takes, in their canonical
// spelling, as leave to send a request again.
var respelled = map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"}

// newRequest returns the request to the target, or the cause for which there is none.
//
// Invariant: net/http never sends the request twice. It does so on a broken
// idle connection when the method is GET, HEAD, OPTIONS or TRACE, or when the
// request has an idempotency key, unless there is a body that can't be rewound.
func newRequest(ctx context.Context, base string, call *messenger.Call, deadline time.Time) (req *http.Request, cause string) {
	switch call.Method {
	case http.MethodTrace, http.MethodConnect:
		return nil, CauseMethod
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Target, http.NoBody)
	if err != nil {
		return nil, CauseMalformed
	}
	if len(call.Body) > 0 || !call.Idempotent && isResent(call.Method) {
		req.Body = io.NopCloser(onceReader{bytes.NewReader(call.Body)})
		req.ContentLength = int64(len(call.Body))
	} else {
		req.Body = nil
	}
	req.GetBody = nil
	req.Host = call.Host
	for _, h := range call.Headers {
		name := h.Name
		if other, ok := respelled[name]; ok {
			name = other
		}
		req.Header[name] = append(req.Header[name], h.Value)
	}
	req.Header[messenger.HeaderDeadline] = []string{strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10)}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	return req, ""
}

func isResent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// ask sends a request that has begun and reads the answer.
func (x *Executor) ask(req *http.Request, r *run) *messenger.Answer {
	id := r.call.ID
	res, err := x.roundTripper().RoundTrip(req)
	if x.Reached != nil && (err == nil || req.Context().Err() == nil) {
		x.Reached(err == nil)
	}
	if err != nil {
		if neverDialed(err) {
			return messenger.NotRun(id, CauseUnreachable)
		}
		return messenger.Unknown(id, failureCause(req.Context(), CauseTargetFailed))
	}
	defer res.Body.Close()
	if res.StatusCode < http.StatusOK {
		return messenger.Unknown(id, CauseTargetFailed)
	}
	body, cause := readBody(req, res)
	if cause != "" {
		return messenger.Unknown(id, failureCause(req.Context(), cause))
	}
	return &messenger.Answer{
		ID: id, Outcome: messenger.OutcomeAnswered, Status: res.StatusCode,
		Headers: messenger.FromHTTP(res.Header), Body: body, BodyDigest: messenger.Digest(body),
	}
}

// neverDialed says that no connection was made, so that nothing was sent.
func neverDialed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

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

// readBody reads the whole body, or returns the cause for which it isn't whole.
func readBody(req *http.Request, res *http.Response) (body []byte, cause string) {
	if !hasBody(req, res) {
		return nil, ""
	}
	chunked := len(res.TransferEncoding) > 0
	switch {
	case res.ContentLength > messenger.MaxBodyBytes:
		return nil, CauseTooLarge
	case res.ContentLength >= 0:
		body = make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return nil, CauseCutShort
		}
	case !chunked:
		// The end of the connection ends the body, so a cut can't be told from the end.
		return nil, CauseUnbounded
	default:
		read, err := io.ReadAll(io.LimitReader(res.Body, messenger.MaxBodyBytes+1))
		if err != nil {
			return nil, CauseCutShort
		}
		if len(read) > messenger.MaxBodyBytes {
			return nil, CauseTooLarge
		}
		body = read
	}
	if !messenger.MatchesContentDigest(res.Header, body) {
		return nil, CauseDamaged
	}
	return body, ""
}

func hasBody(req *http.Request, res *http.Response) bool {
	return req.Method != http.MethodHead && res.StatusCode != http.StatusNoContent && res.StatusCode != http.StatusNotModified
}
