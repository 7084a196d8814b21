// Package caller makes calls to daemons and records what it was told of each.
//
// It stands for the callers of tests, of the demonstration and of the soak run.
package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"bambooweir.example/bambooweir/faketarget"
)

// Outcome is what a caller learned of its call.
type Outcome string

// The outcomes. The first three are those that daemons tell.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	// Lost means that the entry daemon gave no answer or a part of one.
	Lost Outcome = "lost"
	// Unreachable means that no connection to the entry daemon was made.
	Unreachable Outcome = "unreachable"
)

// Call is one call to make.
type Call struct {
	// ID is the caller's own name of the call.
	ID string
	// Entry is the name of the daemon that takes the call, URL its base URL.
	Entry, URL string
	Method     string
	Path       string
	// Key is the call's Idempotency-Key; "" sends none.
	Key string
	// Content is what the body starts with; "" means ID. A call that is repeated
	// with its key keeps the Content of the first, and has an ID that starts with it.
	Content string
	// BodyBytes pads the body.
	BodyBytes int
}

// Result is the record of one call that came to its end.
type Result struct {
	Call    Call
	Outcome Outcome
	Status  int
	// Cause is the cause that a problem document named, or the error.
	Cause string
	// Whole says that the answer ended with what the call sent.
	Whole bool
	// Own says that the answer carried the call's ID, or that of the first call
	// with its key.
	Own             bool
	Begun, Finished time.Time
}

// Caller makes calls. The zero value works; it is safe for concurrent use.
type Caller struct{ HTTP http.Client }

// New returns a caller that opens a connection for each call, so that no call
// is lost with an idle connection that the daemon closed.
func New() *Caller {
	return &Caller{HTTP: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Do makes one call and waits for its end.
func (c *Caller) Do(ctx context.Context, call Call) (told Result) {
	told = Result{Call: call, Begun: time.Now()}
	defer func() { told.Finished = time.Now() }()
	body := requestBody(call)
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL+call.Path, bytes.NewReader(body))
	if err != nil {
		told.Outcome, told.Cause = Unreachable, err.Error()
		return told
	}
	req.GetBody = nil // keeps the client from sending a call twice
	req.Header.Set(faketarget.CallIDHeader, call.ID)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		told.Outcome, told.Cause = failure(err), err.Error()
		return told
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	told.Status = res.StatusCode
	if err != nil {
		told.Outcome, told.Cause = Lost, err.Error()
		return told
	}
	judge(&told, res.Header, answer, body)
	return told
}

func requestBody(call Call) []byte {
	content := cmp.Or(call.Content, call.ID)
	pad := max(0, call.BodyBytes-len(content))
	return append([]byte(content), strings.Repeat("#", pad)...)
}

func failure(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreachable
	}
	return Lost
}

func judge(told *Result, h http.Header, answer, body []byte) {
	if strings.HasPrefix(h.Get("Content-Type"), "application/problem+json") {
		var problem struct{ Outcome, Cause string }
		_ = json.Unmarshal(answer, &problem)
		told.Outcome, told.Cause = Outcome(problem.Outcome), problem.Cause
		return
	}
	told.Outcome = Answered
	ran := h.Get(faketarget.CallIDHeader)
	told.Own = ran == told.Call.ID || told.Call.Content != "" && strings.HasPrefix(ran, told.Call.Content)
	told.Whole = bytes.HasSuffix(answer, body)
}
