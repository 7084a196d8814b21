// Package faketarget is a stand-in of a target: an HTTP server that announces
// itself to the daemon beside it, records what it ran and misbehaves on request.
//
// Under ControlPrefix it takes orders and shows its records; every other path
// is a call.
package faketarget

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bambooweir.example/bambooweir/tracker"
)

// CallIDHeader carries the caller's own name of a call. Records and answers
// repeat it, so that a test can match them.
const CallIDHeader = "Test-Call-Id"

// Run is the record of one call that the target ran.
type Run struct {
	CallID         string    `json:"call-id,omitempty"`
	IdempotencyKey string    `json:"idempotency-key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Begun          time.Time `json:"begun"`
	// Finished is zero while the call runs.
	Finished time.Time `json:"finished,omitzero"`
}

// Behavior is how the stand-in treats its calls. The zero value serves at once.
type Behavior struct {
	// DelayMS is the time that a call runs, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// ShedPercent is the share of calls that are refused with 503 and do not run.
	ShedPercent int `json:"shed-percent"`
	// FailPercent is the share of calls that run and are answered with 500.
	FailPercent int `json:"fail-percent"`
	// CutAnswers ends each answer after half of its bytes.
	CutAnswers bool `json:"cut-answers"`
	// CrashOnCall ends the process when a call has begun to run.
	CrashOnCall bool `json:"crash-on-call"`
	// Unhealthy makes the health resource say 503 whatever the calls show.
	Unhealthy bool `json:"unhealthy"`
	// AnswerBytes pads each answer to this length.
	AnswerBytes int `json:"answer-bytes"`
}

// Target is one stand-in. Address, Service and DaemonURL must be set.
type Target struct {
	Address string
	// AnnouncedAddress is where the daemon reaches the target; "" means Address.
	AnnouncedAddress string
	Service          string
	DaemonURL        string
	// Exit ends the process on a call with CrashOnCall; nil only drops the call.
	Exit func()
	// Journal takes a line for each event; nil keeps none.
	Journal io.Writer

	mu       sync.Mutex
	behavior Behavior
	state    tracker.State
	runs     []Run
	inFlight int
	drained  time.Time
}

// SetBehavior changes how calls that come from now on are treated.
func (t *Target) SetBehavior(b Behavior) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = b
}

// Runs returns the calls that ran, in the order in which they began.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run{}, t.runs...)
}

// Status returns the counts of the target.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{Service: t.Service, State: t.stateLocked().String(), Runs: len(t.runs), InFlight: t.inFlight, Drained: t.drained}
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.control(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b := t.currentBehavior()
	if rand.IntN(100) < b.ShedPercent {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	i := t.begin(r)
	defer t.finish(i)
	if b.CrashOnCall {
		t.crash()
	}
	if b.DelayMS > 0 {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(b.DelayMS) * time.Millisecond):
		}
	}
	t.answer(w, r, b, body)
}

func (t *Target) currentBehavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behavior
}

func (t *Target) begin(r *http.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	run := Run{
		CallID: r.Header.Get(CallIDHeader), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Begun: time.Now(),
	}
	t.runs = append(t.runs, run)
	t.log(Event{Kind: EventRun, At: run.Begun, Run: &run})
	return len(t.runs) - 1
}

func (t *Target) finish(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.runs[i].Finished = time.Now()
}

func (t *Target) crash() {
	if t.Exit != nil {
		t.Exit()
	}
	panic(http.ErrAbortHandler)
}

// answer repeats the call: service, address, path, padding and body. The body
// comes last, so that an answer cut short doesn't end with it.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, b Behavior, body []byte) {
	text := fmt.Appendf(nil, "%s %s %s ", t.Service, t.Address, r.URL.Path)
	for len(text)+len(body) < b.AnswerBytes {
		text = append(text, '.')
	}
	text = append(text, body...)
	w.Header().Set(CallIDHeader, r.Header.Get(CallIDHeader))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if rand.IntN(100) < b.FailPercent {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if b.CutAnswers {
		_, _ = w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}
