// Package executor runs calls at the target beside this daemon.
package executor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// MaxBodyBytes bounds the body of an answer that is not streamed.
const MaxBodyBytes = 4 << 20

// Executor runs calls at one target. Target returns the target's base URL, or
// "" when none has announced itself.
type Executor struct {
	Target func() string
	HTTP   http.Client
}

// Serve takes calls from a link until it ends.
func (x *Executor) Serve(ctx context.Context, link *messenger.Link) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		m, err := link.Receive(ctx)
		if err != nil {
			return err
		}
		if call, ok := m.(*messenger.Call); ok {
			go func() { _ = link.Send(ctx, x.Run(ctx, call)) }()
		}
	}
}

// Run runs one call to its end.
func (x *Executor) Run(ctx context.Context, call *messenger.Call) *messenger.Answer {
	base := x.Target()
	if base == "" {
		return &messenger.Answer{ID: call.ID, Outcome: messenger.OutcomeNotRun, Cause: "no-target"}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.RemainingMS)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return &messenger.Answer{ID: call.ID, Outcome: messenger.OutcomeNotRun, Cause: "malformed-request"}
	}
	for _, h := range call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	res, err := x.HTTP.Do(req)
	if err != nil {
		return &messenger.Answer{ID: call.ID, Cause: "target-failed"}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxBodyBytes+1))
	if err != nil || len(body) > MaxBodyBytes {
		return &messenger.Answer{ID: call.ID, Cause: "answer-cut-short"}
	}
	return &messenger.Answer{
		ID: call.ID, Outcome: messenger.OutcomeAnswered, Status: res.StatusCode,
		Headers: messenger.FromHTTP(res.Header), Body: body,
	}
}
