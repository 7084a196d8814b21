package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/retrier"
	"bambooweir.example/bambooweir/tracker"
)

// runInMesh runs a test with a new mesh on synctest's fake clock, and cuts all links and
// ends the mesh's context afterwards.
func runInMesh(t *testing.T, names []string, test func(t *testing.T, m *mesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := newMesh(ctx, t, names...)
		test(t, m)
		cancel()
		for _, f := range m.targets {
			f.cut()
		}
		synctest.Wait()
	})
}

func wantResponse(t *testing.T, got callerResponse, words ...string) {
	t.Helper()
	if !got.contains(words...) {
		t.Errorf("response: got %d %s, want it to contain %q", got.status, got.body, words)
	}
}

func wantRuns(t *testing.T, f *fakeTarget, want ...string) {
	t.Helper()
	if got := f.ran(); !slices.Equal(got, want) {
		t.Errorf("runs at target %s: got %q, want %q", f.name, got, want)
	}
}

func TestAnswerReachesItsCaller(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		wantResponse(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		wantRuns(t, m.targets["a"], "1")
	})
}

// A posting whose link is lost while it runs must get its answer over a new link, and
// must not run again.
func TestReattachAfterLostLink(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.handle = func(_ *http.Request, body string) (*http.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return respond("ran " + body), nil
		}
		caller := m.start("/postings", "1")
		time.Sleep(50 * time.Millisecond)
		a.cut()
		wantResponse(t, <-caller, "200", "ran 1")
		wantRuns(t, a, "1")
	})
}

// A posting whose answer the network holds back must get it over a new link, once the
// silent link is noticed and closed.
func TestReattachAfterSilentLink(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.handle = func(_ *http.Request, body string) (*http.Response, error) {
			a.links()[0].hold(true)
			return respond("ran " + body), nil
		}
		wantResponse(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		wantRuns(t, a, "1")
		if got := m.forwarder.Counters.LinksSilent.Value(); got != 1 {
			t.Errorf("silent links: got %d, want 1", got)
		}
	})
}

// A lookup whose target's daemon falls silent while the target runs it must not be given up
// when no retry is allowed: the daemon may only be too busy to reply. Its answer is fetched
// over another link.
func TestSilentLinkDoesNotGiveUpALookup(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		m.forwarder.Retrier.SetSharedBudget(retrier.SharedBudget{Ratio: 0.0001, Window: time.Second})
		a := m.targets["a"]
		a.handle = func(_ *http.Request, body string) (*http.Response, error) {
			a.links()[0].hold(true)
			time.Sleep(3 * time.Second)
			return respond("ran " + body), nil
		}
		wantResponse(t, m.call(m.ctx, "/lookups", "1"), "200", "ran 1")
		wantRuns(t, a, "1")
		if got := a.executor.Calls.Len(); got > 1 {
			t.Errorf("calls kept: got %d, want at most the one that is not acknowledged yet", got)
		}
	})
}

// Lookups that arrive while the only target's daemon is silent for a while must be answered
// once it replies again.
func TestCallsDuringShortSilence(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		wantResponse(t, m.call(m.ctx, "/lookups", "0"), "200", "ran 0")
		for _, link := range a.links() {
			link.hold(true)
		}
		inFlight := m.start("/lookups", "1")
		time.Sleep(probeAfter + 2*probeReplyWait)
		lookup := m.start("/lookups", "2")
		synctest.Wait()
		time.AfterFunc(20*time.Millisecond, func() {
			for _, link := range a.links() {
				link.hold(false)
			}
		})
		wantResponse(t, <-lookup, "200", "ran 2")
		wantResponse(t, <-inFlight, "200", "ran 1")
	})
}

// A lookup whose target's daemon is gone must be given up at once when no retry is allowed,
// not at its deadline: its caller may try again itself.
func TestLookupOfAGoneDaemonIsGivenUpAtOnce(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		m.forwarder.Retrier.SetSharedBudget(retrier.SharedBudget{Ratio: 0.0001, Window: time.Second})
		a := m.targets["a"]
		a.handle = func(*http.Request, string) (*http.Response, error) {
			a.kill()
			time.Sleep(time.Millisecond)
			return respond("too late"), nil
		}
		start := time.Now()
		wantResponse(t, m.call(m.ctx, "/lookups", "1"), "502", "unknown", "link-lost")
		if got, want := time.Since(start), silentLimit; got > want {
			t.Errorf("answered after %v, want at most %v", got, want)
		}
		time.Sleep(time.Second) // The target's run ends.
	})
}

// A call that the network holds back is fenced and sent again. When the network delivers
// the first copy in the end, it must not run as well.
func TestUndeliveredCallRunsOnce(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		wantResponse(t, m.call(m.ctx, "/postings", "0"), "200")
		first := a.links()[0]
		first.hold(true)
		start := time.Now()
		wantResponse(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		if got, want := time.Since(start), silentLimit+time.Second/2; got > want {
			t.Errorf("call on a silent link: answered after %v, want at most %v", got, want)
		}
		first.hold(false)
		synctest.Wait()
		wantRuns(t, a, "0", "1")
	})
}

// Calls that the network holds back on the way to one target, and that run elsewhere, must
// not run again when they are delivered in the end.
func TestUndeliveredCallRunsElsewhereOnce(t *testing.T) {
	runInMesh(t, []string{"a", "b"}, func(t *testing.T, m *mesh) {
		for _, f := range m.targets {
			m.forwarder.pool(tracker.Record{InstanceID: f.name, PeerAddress: f.name}, laneSmall)
		}
		caller := make([]<-chan callerResponse, 8)
		for i := range caller {
			caller[i] = m.start("/postings", string(rune('0'+i)))
		}
		synctest.Wait()
		for _, c := range caller {
			wantResponse(t, <-c, "200")
		}
		held := m.targets["a"].links()
		for _, p := range held {
			p.hold(true)
		}
		for i := range caller {
			caller[i] = m.start("/postings", string(rune('a'+i)))
		}
		for _, c := range caller {
			wantResponse(t, <-c, "200")
		}
		for _, p := range held {
			p.hold(false)
		}
		synctest.Wait()
		all := append(m.targets["a"].ran(), m.targets["b"].ran()...)
		slices.Sort(all)
		if got, want := len(all), len(slices.Compact(slices.Clone(all))); got != want {
			t.Errorf("runs %q: got %d, want %d", all, got, want)
		}
	})
}

// A posting whose target's daemon restarts meanwhile must end as unknown, not run again:
// the new process does not know whether it ran.
func TestRestartedDaemonLeavesUnknown(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.handle = func(r *http.Request, _ string) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		caller := m.start("/postings", "1")
		time.Sleep(50 * time.Millisecond)
		a.kill()
		time.Sleep(50 * time.Millisecond)
		a.start()
		wantResponse(t, <-caller, "502", "unknown", "target-daemon-restarted")
		wantRuns(t, a, "1")
	})
}

// A posting whose target's daemon crashes and stays down must end as unknown.
func TestDeadDaemonLeavesUnknown(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.handle = func(r *http.Request, _ string) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		caller := m.start("/postings", "1")
		time.Sleep(50 * time.Millisecond)
		a.kill()
		wantResponse(t, <-caller, "502", "unknown", "target-daemon-lost")
	})
}

// A call that the network delivers twice must run once, and the second copy of an answer
// must reach no call.
func TestDuplicatedMessagesRunOnce(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		wantResponse(t, m.call(m.ctx, "/postings", "0"), "200")
		p := a.links()[0]
		for _, f := range []*flow{p.near.in, p.near.out} {
			f.update(func() { f.isDuplicating = true })
		}
		wantResponse(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		wantResponse(t, m.call(m.ctx, "/postings", "2"), "200", "ran 2")
		synctest.Wait()
		wantRuns(t, a, "0", "1", "2")
		if got := m.forwarder.Counters.StrayAnswers.Value(); got != 2 {
			t.Errorf("stray answers: got %d, want 2", got)
		}
	})
}

// An answer that arrives on another link than the call with its ID must be dropped: a
// caller would get the response of another target.
func TestCrossedAnswerIsDropped(t *testing.T) {
	runInMesh(t, []string{"a", "b"}, func(t *testing.T, m *mesh) {
		for _, f := range m.targets {
			f.handle = func(_ *http.Request, body string) (*http.Response, error) {
				time.Sleep(time.Second / 2)
				return respond("ran " + body), nil
			}
		}
		var callers []<-chan callerResponse
		for range 8 {
			callers = append(callers, m.start("/postings", "1"))
		}
		synctest.Wait()
		crossed := 0
		for _, from := range m.targets {
			for _, to := range m.targets {
				if from != to {
					crossed += sendCrossedAnswers(t, m, from, to)
				}
			}
		}
		for _, c := range callers {
			wantResponse(t, <-c, "200", "ran 1")
		}
		if got := m.forwarder.Counters.StrayAnswers.Value(); got != int64(crossed) {
			t.Errorf("stray answers: got %d, want %d", got, crossed)
		}
	})
}

// sendCrossedAnswers sends a wrong answer over a link of the target from for every call
// that waits on the links to the target to, and returns the number sent.
func sendCrossedAnswers(t *testing.T, m *mesh, from, to *fakeTarget) int {
	t.Helper()
	p := m.forwarder.pool(tracker.Record{InstanceID: to.name, PeerAddress: to.name}, laneSmall)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.links {
		l.mu.Lock()
		for id := range l.waiting {
			wrong := &messenger.Answer{ID: id, Outcome: messenger.OutcomeAnswered, Status: 200, Body: []byte("foreign")}
			wrong.BodyDigest = messenger.Digest(wrong.Body)
			if len(from.links()) > 0 {
				_ = from.links()[0].far.Send(t.Context(), wrong)
				n++
			}
		}
		l.mu.Unlock()
	}
	return n
}

// The target must get the time that is left, and a call that reaches the target's daemon
// after its deadline must not run.
func TestDeadlineIsCountedDown(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		var left string
		a.handle = func(r *http.Request, body string) (*http.Response, error) {
			left = r.Header.Get(messenger.HeaderDeadline)
			return respond(body), nil
		}
		wantResponse(t, m.call(m.ctx, "/postings", "1", messenger.HeaderDeadline, "700"), "200")
		if left != "700" {
			t.Errorf("deadline at the target: got %q ms, want 700", left)
		}
		a.links()[0].hold(true)
		caller := make(chan callerResponse, 1)
		go func() { caller <- m.call(m.ctx, "/postings", "2", messenger.HeaderDeadline, "700") }()
		time.Sleep(800 * time.Millisecond)
		a.links()[0].hold(false)
		wantResponse(t, <-caller, "503", "not-run")
		wantRuns(t, a, "1")
	})
}

func TestCallerDisconnectCancelsTheRequest(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		cancelled := make(chan struct{})
		a.handle = func(r *http.Request, _ string) (*http.Response, error) {
			<-r.Context().Done()
			close(cancelled)
			return nil, r.Context().Err()
		}
		ctx, hangUp := context.WithCancel(m.ctx)
		go func() {
			time.Sleep(100 * time.Millisecond)
			hangUp()
		}()
		start := time.Now()
		m.call(ctx, "/postings", "1")
		<-cancelled
		if got, want := time.Since(start), 200*time.Millisecond; got > want {
			t.Errorf("request cancelled after %v, want at most %v", got, want)
		}
	})
}

// An answer that is shorter than its Content-Length must not reach the caller.
func TestTruncatedAnswerIsNotPassedOn(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.handle = func(_ *http.Request, body string) (*http.Response, error) {
			res := respond(body)
			res.ContentLength++
			return res, nil
		}
		wantResponse(t, m.call(m.ctx, "/postings", "1"), "502", "unknown", "answer-cut-short")
	})
}

// A call with a large body must use a link of its own: on a shared link, small calls would
// wait behind it.
func TestLargeBodiesUseTheirOwnLinks(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		large := strings.Repeat("x", smallBodyBytes+1)
		wantResponse(t, m.call(m.ctx, "/postings", large), "200")
		bulk := a.links()[0]
		bulk.hold(true)
		caller := m.start("/postings", large+"y")
		start := time.Now()
		wantResponse(t, m.call(m.ctx, "/postings", "small"), "200", "ran small")
		if got := time.Since(start); got != 0 {
			t.Errorf("small call waited for %v behind a large one, want 0s", got)
		}
		if got, want := len(a.links()), 2; got != want {
			t.Errorf("links: got %d, want %d", got, want)
		}
		bulk.hold(false)
		wantResponse(t, <-caller, "200")
	})
}

// A request whose body is too large or cut short must not run, and must not stay counted
// in the buffered bytes.
func TestOversizedAndTruncatedBodiesAreNotRun(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		tests := []struct {
			name   string
			length int64
			words  []string
		}{
			{"too large", maxBodyBytes + 1, []string{"413", "not-run", "body-too-large"}},
			{"cut", 10, []string{"400", "not-run", "body-cut-short"}},
		}
		for _, tt := range tests {
			r := httptest.NewRequestWithContext(m.ctx, http.MethodPost, "/postings", strings.NewReader("short"))
			r.ContentLength = tt.length
			w := httptest.NewRecorder()
			m.forwarder.ServeHTTP(w, r)
			wantResponse(t, callerResponse{status: w.Code, body: w.Body.String()}, tt.words...)
		}
		if got := m.forwarder.buffered.Load(); got != 0 {
			t.Errorf("buffered bytes: got %d, want 0", got)
		}
		wantRuns(t, m.targets["a"])
	})
}

// A link must be closed only after it has had no calls for idleLimit, and a later call must
// open a new one.
func TestIdleLinkIsClosed(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		wantResponse(t, m.call(m.ctx, "/postings", "1"), "200")
		time.Sleep(idleLimit / 2)
		wantResponse(t, m.call(m.ctx, "/postings", "2"), "200")
		time.Sleep(idleLimit - time.Second)
		if got := m.forwarder.Counters.LinksLost.Value(); got != 0 {
			t.Errorf("links closed while in use: got %d, want 0", got)
		}
		time.Sleep(idleLimit)
		synctest.Wait()
		if got := m.forwarder.Counters.LinksLost.Value(); got != 1 {
			t.Errorf("links closed when idle: got %d, want 1", got)
		}
		wantResponse(t, m.call(m.ctx, "/postings", "3"), "200", "ran 3")
	})
}
