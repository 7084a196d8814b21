// Package caller is a client of daemons that records the outcome of each call
// and of each configuration change it makes.
//
// It acts as the callers and operators in tests, in the demonstration and in the
// soak run.
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
	"bambooweir.example/bambooweir/messenger"
)

// Outcome says what a caller knows about the execution of its call.
type Outcome string

// The outcomes.
const (
	// Answered means that the daemon returned an answer other than a problem
	// document.
	Answered Outcome = "answered"
	// NotRun means that the daemon reported that the call did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the daemon reported that the call may have run.
	Unknown Outcome = "unknown"
	// Lost means that the entry daemon gave no answer or an incomplete one.
	Lost Outcome = "lost"
	// Unreachable means that the connection to the entry daemon could not be
	// opened, so that the call was never sent.
	Unreachable Outcome = "unreachable"
)

// Call describes a call to make.
type Call struct {
	// ID identifies the call in the records of callers and targets.
	ID string
	// Entry is the name of the entry daemon, the one that the call is sent to, and
	// URL is its base URL.
	Entry, URL string
	Method     string
	Path       string
	// Key is the idempotency key; if it is "", the call has none.
	Key string
	// APIKey is the caller's API key, and Tenant the tenant that holds it; if APIKey is "",
	// the call has none. A call with one claims to be of another tenant.
	APIKey, Tenant string
	// Content is the start of the request body; "" means ID. A call that repeats
	// another with the same key has the Content of the first call and an ID that
	// starts with it.
	Content string
	// BodyBytes is the size to which the body is padded if it is shorter.
	BodyBytes int
}

// Result is the record of a completed call.
type Result struct {
	Call    Call
	Outcome Outcome
	Status  int
	// Cause is the cause in the daemon's problem document, or the text of the
	// client's error.
	Cause string
	// BodyComplete reports whether the answer ended with the request body, which
	// the target echoes last.
	BodyComplete bool
	// IDMatches reports whether the answer carried the call's ID or, if the call
	// repeats another, the ID of the first call or of another repetition.
	IDMatches       bool
	Begun, Finished time.Time
}

// Caller makes calls and changes. The zero value is ready to use. A Caller is
// safe for concurrent use.
type Caller struct{ HTTP http.Client }

// New returns a caller that opens a new connection for each call. A call on an
// idle connection that the daemon has closed would be lost.
func New() *Caller {
	return &Caller{HTTP: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Do makes one call and returns its record once the call has ended.
func (c *Caller) Do(ctx context.Context, call Call) (result Result) {
	result = Result{Call: call, Begun: time.Now()}
	defer func() { result.Finished = time.Now() }()
	body := requestBody(call)
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL+call.Path, bytes.NewReader(body))
	if err != nil {
		result.Outcome, result.Cause = Unreachable, err.Error()
		return result
	}
	req.GetBody = nil // without GetBody, net/http cannot send the request again
	req.Header.Set(faketarget.CallIDHeader, call.ID)
	req.Header.Set(messenger.HeaderNames{}.WithDefaults().RequestID, call.ID)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	if call.APIKey != "" {
		req.Header.Set(messenger.HeaderNames{}.WithDefaults().APIKey, call.APIKey)
		req.Header.Set(messenger.HeaderNames{}.WithDefaults().Tenant, "claimed-"+call.Tenant)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		result.Outcome, result.Cause = failureOutcome(err), err.Error()
		return result
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	result.Status = res.StatusCode
	if err != nil {
		result.Outcome, result.Cause = Lost, err.Error()
		return result
	}
	classifyResponse(&result, res.Header, answer, body)
	return result
}

// requestBody returns the call's content, padded to BodyBytes.
func requestBody(call Call) []byte {
	content := cmp.Or(call.Content, call.ID)
	pad := max(0, call.BodyBytes-len(content))
	return append([]byte(content), strings.Repeat("#", pad)...)
}

// failureOutcome returns the outcome of a call that ended with a client error:
// Unreachable if the connection could not be opened, Lost otherwise.
func failureOutcome(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreachable
	}
	return Lost
}

// classifyResponse fills in the outcome of a call whose response was read completely.
func classifyResponse(result *Result, h http.Header, answer, body []byte) {
	if strings.HasPrefix(h.Get("Content-Type"), "application/problem+json") {
		var problem struct{ Outcome, Cause string }
		_ = json.Unmarshal(answer, &problem)
		result.Outcome, result.Cause = Outcome(problem.Outcome), problem.Cause
		return
	}
	result.Outcome = Answered
	ran := h.Get(faketarget.CallIDHeader)
	result.IDMatches = ran == result.Call.ID || result.Call.Content != "" && strings.HasPrefix(ran, result.Call.Content)
	result.BodyComplete = bytes.HasSuffix(answer, body)
}
