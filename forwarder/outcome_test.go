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
	"bambooweir.example/bambooweir/tracker"
)

// inMesh runs a test on a paused clock and ends everything that it started.
func inMesh(t *testing.T, names []string, test func(t *testing.T, m *mesh)) {
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

func wantTold(t *testing.T, got told, words ...string) {
	t.Helper()
	if !got.is(words...) {
		t.Errorf("caller was told %d %s, want %q", got.status, got.body, words)
	}
}

func wantRuns(t *testing.T, f *fakeTarget, want ...string) {
	t.Helper()
	if got := f.ran(); !slices.Equal(got, want) {
		t.Errorf("target %s ran %q, want %q", f.name, got, want)
	}
}

func TestAnswerReachesItsCaller(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		wantTold(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		wantRuns(t, m.targets["a"], "1")
	})
}

func TestLostLinkFindsTheAnswer(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.work = func(_ *http.Request, body string) (*http.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return respond("ran " + body), nil
		}
		caller := m.start("/postings", "1")
		time.Sleep(50 * time.Millisecond)
		a.cut()
		wantTold(t, <-caller, "200", "ran 1")
		wantRuns(t, a, "1")
	})
}

func TestLostAnswerIsFetched(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.work = func(_ *http.Request, body string) (*http.Response, error) {
			a.links()[0].hold(true)
			return respond("ran " + body), nil
		}
		wantTold(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		wantRuns(t, a, "1")
		if got := m.forwarder.Counters.LinksSilent.Value(); got != 1 {
			t.Errorf("silent links: got %d, want 1", got)
		}
	})
}

// A call that the network held back is fenced and dispatched again, and doesn't
// run a second time when the network delivers it in the end.
func TestUndeliveredCallRunsOnce(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		wantTold(t, m.call(m.ctx, "/postings", "0"), "200")
		first := a.links()[0]
		first.hold(true)
		start := time.Now()
		wantTold(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		if got, want := time.Since(start), giveUpAfter+time.Second/2; got > want {
			t.Errorf("silent link was noticed after %v, want at most %v", got, want)
		}
		first.hold(false)
		synctest.Wait()
		wantRuns(t, a, "0", "1")
	})
}

func TestUndeliveredCallRunsElsewhereOnce(t *testing.T) {
	inMesh(t, []string{"a", "b"}, func(t *testing.T, m *mesh) {
		for _, f := range m.targets {
			m.forwarder.peer(tracker.Record{InstanceID: f.name, PeerAddress: f.name}, laneSmall)
		}
		caller := make([]<-chan told, 8)
		for i := range caller {
			caller[i] = m.start("/postings", string(rune('0'+i)))
		}
		synctest.Wait()
		for _, c := range caller {
			wantTold(t, <-c, "200")
		}
		held := m.targets["a"].links()
		for _, p := range held {
			p.hold(true)
		}
		for i := range caller {
			caller[i] = m.start("/postings", string(rune('a'+i)))
		}
		for _, c := range caller {
			wantTold(t, <-c, "200")
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

func TestRestartedDaemonLeavesUnknown(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.work = func(r *http.Request, _ string) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		caller := m.start("/postings", "1")
		time.Sleep(50 * time.Millisecond)
		a.kill()
		time.Sleep(50 * time.Millisecond)
		a.start()
		wantTold(t, <-caller, "502", "unknown", "target-daemon-restarted")
		wantRuns(t, a, "1")
	})
}

func TestDeadDaemonLeavesUnknown(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.work = func(r *http.Request, _ string) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		caller := m.start("/postings", "1")
		time.Sleep(50 * time.Millisecond)
		a.kill()
		wantTold(t, <-caller, "502", "unknown", "target-daemon-lost")
	})
}

func TestDoubledMessagesRunOnce(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		wantTold(t, m.call(m.ctx, "/postings", "0"), "200")
		p := a.links()[0]
		for _, f := range []*flow{p.near.in, p.near.out} {
			f.update(func() { f.doubling = true })
		}
		wantTold(t, m.call(m.ctx, "/postings", "1"), "200", "ran 1")
		wantTold(t, m.call(m.ctx, "/postings", "2"), "200", "ran 2")
		synctest.Wait()
		wantRuns(t, a, "0", "1", "2")
		if got := m.forwarder.Counters.StrayAnswers.Value(); got != 2 {
			t.Errorf("stray answers: got %d, want 2", got)
		}
	})
}

// An answer whose id belongs to a call on another link reaches nobody.
func TestCrossedAnswerReachesNobody(t *testing.T) {
	inMesh(t, []string{"a", "b"}, func(t *testing.T, m *mesh) {
		for _, f := range m.targets {
			f.work = func(_ *http.Request, body string) (*http.Response, error) {
				time.Sleep(time.Second / 2)
				return respond("ran " + body), nil
			}
		}
		var callers []<-chan told
		for range 8 {
			callers = append(callers, m.start("/postings", "1"))
		}
		synctest.Wait()
		crossed := 0
		for _, from := range m.targets {
			for _, to := range m.targets {
				if from != to {
					crossed += cross(t, m, from, to)
				}
			}
		}
		for _, c := range callers {
			wantTold(t, <-c, "200", "ran 1")
		}
		if got := m.forwarder.Counters.StrayAnswers.Value(); got != int64(crossed) {
			t.Errorf("stray answers: got %d, want %d", got, crossed)
		}
	})
}

// cross answers the calls that wait on one target's links over the links of another.
func cross(t *testing.T, m *mesh, from, to *fakeTarget) int {
	t.Helper()
	p := m.forwarder.peer(tracker.Record{InstanceID: to.name, PeerAddress: to.name}, laneSmall)
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

func TestDeadlineIsCountedDown(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		var left string
		a.work = func(r *http.Request, body string) (*http.Response, error) {
			left = r.Header.Get(messenger.HeaderDeadline)
			return respond(body), nil
		}
		wantTold(t, m.call(m.ctx, "/postings", "1", messenger.HeaderDeadline, "700"), "200")
		if left != "700" {
			t.Errorf("deadline at the target: got %q ms, want 700", left)
		}
		a.links()[0].hold(true)
		caller := make(chan told, 1)
		go func() { caller <- m.call(m.ctx, "/postings", "2", messenger.HeaderDeadline, "700") }()
		time.Sleep(800 * time.Millisecond)
		a.links()[0].hold(false)
		wantTold(t, <-caller, "503", "not-run")
		wantRuns(t, a, "1")
	})
}

func TestCallersDisconnectReachesTheTarget(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		cancelled := make(chan struct{})
		a.work = func(r *http.Request, _ string) (*http.Response, error) {
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
			t.Errorf("target heard of it after %v, want at most %v", got, want)
		}
	})
}

func TestDamagedAnswerIsNotPassedOn(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.work = func(_ *http.Request, body string) (*http.Response, error) {
			res := respond(body)
			res.ContentLength++
			return res, nil
		}
		wantTold(t, m.call(m.ctx, "/postings", "1"), "502", "unknown", "answer-cut-short")
	})
}

// Large bodies and scans cross on links of their own.
func TestLargeBodiesKeepOffTheSmallLinks(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		large := strings.Repeat("x", smallBodyBytes+1)
		wantTold(t, m.call(m.ctx, "/postings", large), "200")
		bulk := a.links()[0]
		bulk.hold(true)
		caller := m.start("/postings", large+"y")
		start := time.Now()
		wantTold(t, m.call(m.ctx, "/postings", "small"), "200", "ran small")
		if got := time.Since(start); got != 0 {
			t.Errorf("small call waited for %v behind a large one, want 0s", got)
		}
		if got, want := len(a.links()), 2; got != want {
			t.Errorf("links: got %d, want %d", got, want)
		}
		bulk.hold(false)
		wantTold(t, <-caller, "200")
	})
}

func TestOversizedAndCutBodiesAreNotRun(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
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
			wantTold(t, told{status: w.Code, body: w.Body.String()}, tt.words...)
		}
		if got := m.forwarder.buffered.Load(); got != 0 {
			t.Errorf("buffered bytes: got %d, want 0", got)
		}
		wantRuns(t, m.targets["a"])
	})
}

func TestIdleLinkIsClosed(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		wantTold(t, m.call(m.ctx, "/postings", "1"), "200")
		time.Sleep(idleAfter / 2)
		wantTold(t, m.call(m.ctx, "/postings", "2"), "200")
		time.Sleep(idleAfter - time.Second)
		if got := m.forwarder.Counters.LinksLost.Value(); got != 0 {
			t.Errorf("links closed while in use: got %d, want 0", got)
		}
		time.Sleep(idleAfter)
		synctest.Wait()
		if got := m.forwarder.Counters.LinksLost.Value(); got != 1 {
			t.Errorf("links closed when idle: got %d, want 1", got)
		}
		wantTold(t, m.call(m.ctx, "/postings", "3"), "200", "ran 3")
	})
}
