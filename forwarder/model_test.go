package forwarder

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// stepKind is the kind of a random step of TestCallsStateMachine.
type stepKind int

const (
	stepPost stepKind = iota
	stepLookUp
	stepHoldMessages
	stepReleaseMessages
	stepDuplicate
	stepCut
	stepKill
	stepStart
	stepSleep
	stepKinds
)

// step is one random step: a call, or an event at a target or its links.
type step struct {
	kind   stepKind
	target int
	// ms is how long a call runs, or how long stepSleep sleeps, in milliseconds.
	ms int
}

func drawStep(t *rapid.T) step {
	return step{
		kind:   stepKind(rapid.IntRange(0, int(stepKinds)-1).Draw(t, "kind")),
		target: rapid.IntRange(0, 2).Draw(t, "target"),
		ms:     rapid.SampledFrom([]int{0, 1, 300, 1500, 2500, 6000, 12_000}).Draw(t, "ms"),
	}
}

// callHistory holds the calls of a test by their bodies, with the responses to come.
type callHistory struct {
	mesh    *mesh
	names   []string
	callers map[string]<-chan callerResponse
}

// apply performs a step.
func (h *callHistory) apply(s step) {
	f := h.mesh.targets[h.names[s.target]]
	switch s.kind {
	case stepPost, stepLookUp:
		path := "/postings"
		if s.kind == stepLookUp {
			path = "/lookups"
		}
		body := fmt.Sprintf("%s %d %d", path, len(h.callers), s.ms)
		h.callers[body] = h.mesh.start(path, body)
	case stepHoldMessages, stepReleaseMessages:
		for _, p := range f.links() {
			p.hold(s.kind == stepHoldMessages)
		}
	case stepDuplicate:
		for _, p := range f.links() {
			p.near.out.update(func() { p.near.out.isDuplicating = true })
		}
	case stepCut:
		f.cut()
	case stepKill:
		f.kill()
	case stepStart:
		f.kill()
		f.start()
	case stepSleep:
		time.Sleep(time.Duration(s.ms) * time.Millisecond)
	}
}

// handleTimed runs a request for the time that its body states.
func handleTimed(r *http.Request, body string) (*http.Response, error) {
	var path string
	var n, ms int
	if _, err := fmt.Sscanf(body, "%s %d %d", &path, &n, &ms); err != nil {
		return nil, err
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return respond("ran " + body), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// check fails if a posting ran more than once, if a call with outcome not-run ran, or if
// an answer is not that of a run of its call.
func (h *callHistory) check() error {
	for body, caller := range h.callers {
		got := <-caller
		runs := 0
		for _, f := range h.mesh.targets {
			runs += strings.Count(strings.Join(f.ran(), "\n")+"\n", body+"\n")
		}
		switch {
		case strings.HasPrefix(body, "/postings") && runs > 1:
			return fmt.Errorf("posting %q ran %d times", body, runs)
		case got.contains("not-run") && runs > 0:
			return fmt.Errorf("%q ran %d times, but its caller got %s", body, runs, got.body)
		case got.status == http.StatusOK && (got.body != "ran "+body || runs == 0):
			return fmt.Errorf("%q was answered %q after %d runs", body, got.body, runs)
		}
	}
	return nil
}

// While targets are killed and restarted, links are cut, and messages are delayed or
// duplicated, a posting must run at most once, a call with outcome not-run must never
// run, and each caller must get the answer to its own call.
func TestCallsStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		var verdict error
		names := []string{"a", "b", "c"}
		runInMesh(t, names, func(_ *testing.T, m *mesh) {
			h := &callHistory{mesh: m, names: names, callers: make(map[string]<-chan callerResponse)}
			for _, f := range m.targets {
				f.handle = handleTimed
			}
			for _, s := range steps {
				h.apply(s)
				synctest.Wait()
			}
			for _, name := range slices.Clone(names) {
				f := m.targets[name]
				for _, p := range f.links() {
					p.hold(false)
				}
				if f.down {
					f.start()
				}
			}
			time.Sleep(time.Minute)
			verdict = h.check()
		})
		if verdict != nil {
			rt.Fatal(verdict)
		}
	})
}

// A call that the network delivers a second time, after the answer was acknowledged and
// a later call has run, must not run again.
func TestCallDeliveredAgainMuchLater(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		wantResponse(t, m.call(m.ctx, "/postings", "0"), "200")
		p := a.links()[0]
		p.near.out.update(func() { p.near.out.isHolding = true })
		caller := m.start("/postings", "1")
		synctest.Wait()
		var again []byte
		p.near.out.update(func() {
			again = p.near.out.queue[0]
			p.near.out.isHolding = false
		})
		wantResponse(t, <-caller, "200", "ran 1")
		wantResponse(t, m.call(m.ctx, "/postings", "2"), "200", "ran 2")
		p.near.out.put(again)
		synctest.Wait()
		wantRuns(t, a, "0", "1", "2")
	})
}
