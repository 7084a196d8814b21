// Package forwarder takes calls from callers and brings them to a target's daemon.
package forwarder

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	maxBodyBytes   = 4 << 20
	defaultTimeout = 10 * time.Second
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
}

// Forwarder is the HTTP handler that callers reach.
type Forwarder struct {
	Applier *applier.Applier
	Table   *tracker.Table
	// Domain is the failure domain of this daemon.
	Domain string

	mu    sync.Mutex
	links map[string]*callLink
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := f.Applier.Current()
	if snapshot == nil {
		writeProblem(w, http.StatusServiceUnavailable, messenger.OutcomeNotRun, "no-configuration")
		return
	}
	_, route, ok := snapshot.Match(r.Host, r.URL.Path, r.Method)
	if !ok {
		writeProblem(w, http.StatusNotFound, messenger.OutcomeNotRun, "no-route")
		return
	}
	target, ok := picker.Pick(f.Table.Service(route.Service), f.Domain)
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, messenger.OutcomeNotRun, "no-target")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, messenger.OutcomeNotRun, "body-too-large")
		return
	}
	f.forward(w, r, newCall(r, route, body), target)
}

func newCall(r *http.Request, route *versioner.Route, body []byte) *messenger.Call {
	timeout := defaultTimeout
	if route.TimeoutMS > 0 {
		timeout = time.Duration(route.TimeoutMS) * time.Millisecond
	}
	call := &messenger.Call{
		Class: route.Class, Partner: route.Partner, Service: route.Service,
		Method: r.Method, Target: r.URL.RequestURI(), Headers: messenger.FromHTTP(r.Header), Body: body,
		RemainingMS: timeout.Milliseconds(), IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	_, _ = rand.Read(call.ID[:])
	return call
}

func (f *Forwarder) forward(w http.ResponseWriter, r *http.Request, call *messenger.Call, target tracker.Record) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(call.RemainingMS)*time.Millisecond)
	defer cancel()
	link, err := f.link(ctx, target.PeerAddress)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, messenger.OutcomeNotRun, "target-unreachable")
		return
	}
	answer, err := link.do(ctx, call)
	if err != nil {
		writeProblem(w, http.StatusBadGateway, messenger.OutcomeUnknown, "link-lost")
		return
	}
	if answer.Outcome != messenger.OutcomeAnswered {
		writeProblem(w, http.StatusServiceUnavailable, answer.Outcome, answer.Cause)
		return
	}
	for _, h := range answer.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func writeProblem(w http.ResponseWriter, status int, outcome messenger.Outcome, cause string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Outcome: outcome.String(), Cause: cause,
	})
}
