// Package faketarget implements a fake target for tests: an HTTP server that
// announces itself to its daemon, records the calls that it ran and misbehaves on
// request.
//
// Tests control the target and read its records under ControlPrefix; a request
// for any other path is a call.
package faketarget

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// CallIDHeader carries an id that the caller chooses for a call. Records and
// answers repeat it, so that a test can match them with the call.
const CallIDHeader = "Test-Call-Id"

// DeadlySuffix ends the paths of the calls that crash every target that runs them.
const DeadlySuffix = "/deadly"

// Run is the record of one call that the target ran.
type Run struct {
	CallID         string `json:"call-id,omitempty"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	// Tenant and APIKey hold all values of these header fields, separated by commas.
	Tenant string    `json:"tenant,omitempty"`
	APIKey string    `json:"api-key,omitempty"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Begun  time.Time `json:"begun"`
	// Finished is zero while the call is in flight.
	Finished time.Time `json:"finished,omitzero"`
}

// Behavior configures how the target handles calls. With the zero value it answers
// each call immediately.
type Behavior struct {
	// DelayMS is the duration of each call, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// ShedPercent is the percentage of calls that are refused with 503 and do not
	// run.
	ShedPercent int `json:"shed-percent"`
	// RefusePercent is the percentage of calls that do not run and are answered with the
	// statement that they never will.
	RefusePercent int `json:"refuse-percent"`
	// RepeatRefusals writes each such answer once more on its connection, before the answer
	// to the next call.
	RepeatRefusals bool `json:"repeat-refusals"`
	// FailPercent is the percentage of calls that run and are answered with 500.
	FailPercent int `json:"fail-percent"`
	// RawStatus answers calls, once they have run, with this text in place of a status.
	RawStatus string `json:"raw-status"`
	// ResetUploads answers each call at once, without a length and before its body is read,
	// and then resets the connection.
	ResetUploads bool `json:"reset-uploads"`
	// EndlessPercent is the percentage of calls that run and are answered with a body that has
	// no end, until the daemon closes the connection. By turns it is in chunks and without a
	// length.
	EndlessPercent int `json:"endless-percent"`
	// CutAnswers aborts the connection after half of the bytes of each answer.
	CutAnswers bool `json:"cut-answers"`
	// CrashOnCall ends the process when a call has begun and was recorded.
	CrashOnCall bool `json:"crash-on-call"`
	// Unhealthy makes the health resource answer 503, however calls are answered.
	Unhealthy bool `json:"unhealthy"`
	// AnswerBytes is the length to which each answer is padded.
	AnswerBytes int `json:"answer-bytes"`
	// CallsPerSecond is the rate limit that answers name; 0 names none.
	CallsPerSecond float64 `json:"calls-per-second"`
	// IsLeaving makes answers say that the target is leaving.
	IsLeaving bool `json:"leaving"`
}

// nameNotice sets the header fields by which the answers restrict later calls.
func (b Behavior) nameNotice(h http.Header) {
	names := messenger.HeaderNames{}.WithDefaults()
	if b.CallsPerSecond > 0 {
		h.Set(names.RateLimit, strconv.FormatFloat(b.CallsPerSecond, 'f', -1, 64))
	}
	if b.IsLeaving {
		h.Set(names.Leaving, "1")
	}
}

// Target is a fake target. Address, Service and DaemonURL must be set.
type Target struct {
	Address string
	// AnnouncedAddress is where the daemon reaches the target; "" means Address.
	AnnouncedAddress string
	Service          string
	DaemonURL        string
	// Exit ends the process for CrashOnCall; if nil, only the connection of the call
	// is aborted.
	Exit func()
	// Journal receives a line of JSON for each event; nil means no journal.
	Journal io.Writer

	mu       sync.Mutex
	behavior Behavior
	state    tracker.State
	runs     []Run
	inFlight int
	drained  time.Time
}

// SetBehavior replaces the behavior for later calls.
func (t *Target) SetBehavior(b Behavior) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = b
}

// Runs returns the records of the calls that began, in that order.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run{}, t.runs...)
}

// Status returns the state and the counts of the target.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{Service: t.Service, State: t.stateLocked().String(), Runs: len(t.runs), InFlight: t.inFlight, Drained: t.drained}
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.serveControl(w, r) {
		return
	}
	b := t.currentBehavior()
	if b.ResetUploads {
		t.answerAndReset(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.nameNotice(w.Header())
	if rand.IntN(100) < b.ShedPercent {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if rand.IntN(100) < b.RefusePercent {
		refuse(w, r, b)
		return
	}
	if id := r.Header.Get(messenger.HeaderNames{}.WithDefaults().RequestID); id != "" {
		w.Header().Set(messenger.HeaderNames{}.WithDefaults().RequestID, id)
	}
	i := t.beginRun(r)
	defer t.finishRun(i)
	if b.CrashOnCall || strings.HasSuffix(r.URL.Path, DeadlySuffix) {
		t.crash()
	}
	if b.DelayMS > 0 {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(b.DelayMS) * time.Millisecond):
		}
	}
	if b.RawStatus != "" {
		writeRaw(w, r, b.RawStatus, "Content-Length: 2\r\n\r\nok", false)
		return
	}
	if rand.IntN(100) < b.EndlessPercent {
		writeEndlessly(w, r, i%2 == 0)
		return
	}
	t.writeAnswer(w, r, b, body)
}

func (t *Target) currentBehavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behavior
}

// beginRun records that a call has begun and returns its index in runs.
func (t *Target) beginRun(r *http.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	names := messenger.HeaderNames{}.WithDefaults()
	run := Run{
		Tenant: strings.Join(r.Header.Values(names.Tenant), ","), APIKey: strings.Join(r.Header.Values(names.APIKey), ","),
		CallID: r.Header.Get(CallIDHeader), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Begun: time.Now(),
	}
	t.runs = append(t.runs, run)
	t.appendEvent(Event{Kind: EventRun, At: run.Begun, Run: &run})
	return len(t.runs) - 1
}

// finishRun records the end of the run with index i in runs.
func (t *Target) finishRun(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.runs[i].Finished = time.Now()
}

// crash ends the process with Exit, or aborts the connection of the call.
func (t *Target) crash() {
	if t.Exit != nil {
		t.Exit()
	}
	panic(http.ErrAbortHandler)
}

// writeAnswer writes the service, address, path, padding and request body. The body
// comes last, so that a truncated answer doesn't end with it.
func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, b Behavior, body []byte) {
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
