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

type stepKind int

const (
	stepPost stepKind = iota
	stepLookUp
	stepHold
	stepRelease
	stepDouble
	stepCut
	stepKill
	stepStart
	stepSleep
	stepKinds
)

// step is one thing that happens to a mesh.
type step struct {
	kind   stepKind
	target int
	// ms is a call's running time, or the length of a sleep.
	ms int
}

func drawStep(t *rapid.T) step {
	return step{
		kind:   stepKind(rapid.IntRange(0, int(stepKinds)-1).Draw(t, "kind")),
		target: rapid.IntRange(0, 2).Draw(t, "target"),
		ms:     rapid.SampledFrom([]int{0, 1, 300, 1500, 2500, 6000, 12_000}).Draw(t, "ms"),
	}
}

// history is what happened to the calls of a test.
type history struct {
	mesh    *mesh
	names   []string
	callers map[string]<-chan told
}

func (h *history) do(s step) {
	f := h.mesh.targets[h.names[s.target]]
	switch s.kind {
	case stepPost, stepLookUp:
		path := "/postings"
		if s.kind == stepLookUp {
			path = "/lookups"
		}
		body := fmt.Sprintf("%s %d %d", path, len(h.callers), s.ms)
		h.callers[body] = h.mesh.start(path, body)
	case stepHold, stepRelease:
		for _, p := range f.links() {
			p.hold(s.kind == stepHold)
		}
	case stepDouble:
		for _, p := range f.links() {
			p.near.out.update(func() { p.near.out.doubling = true })
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

// work runs for as long as the request says.
func work(r *http.Request, body string) (*http.Response, error) {
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

// judge compares what callers were told with what ran.
func (h *history) judge() error {
	for body, caller := range h.callers {
		got := <-caller
		runs := 0
		for _, f := range h.mesh.targets {
			runs += strings.Count(strings.Join(f.ran(), "\n")+"\n", body+"\n")
		}
		switch {
		case strings.HasPrefix(body, "/postings") && runs > 1:
			return fmt.Errorf("posting %q ran %d times", body, runs)
		case got.is("not-run") && runs > 0:
			return fmt.Errorf("%q ran %d times, its caller was told %s", body, runs, got.body)
		case got.status == http.StatusOK && (got.body != "ran "+body || runs == 0):
			return fmt.Errorf("%q was answered %q after %d runs", body, got.body, runs)
		}
	}
	return nil
}

// Whatever is killed, held, cut or doubled: a posting runs at most once, what
// was told not to have run never runs, and an answer belongs to its call.
func TestCallsStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		var verdict error
		names := []string{"a", "b", "c"}
		inMesh(t, names, func(_ *testing.T, m *mesh) {
			h := &history{mesh: m, names: names, callers: make(map[string]<-chan told)}
			for _, f := range m.targets {
				f.work = work
			}
			for _, s := range steps {
				h.do(s)
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
			verdict = h.judge()
		})
		if verdict != nil {
			rt.Fatal(verdict)
		}
	})
}

// A call that the network delivers again, long after it was answered, doesn't
// run again.
func TestCallDeliveredAgainMuchLater(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		wantTold(t, m.call(m.ctx, "/postings", "0"), "200")
		p := a.links()[0]
		p.near.out.update(func() { p.near.out.holding = true })
		caller := m.start("/postings", "1")
		synctest.Wait()
		var again []byte
		p.near.out.update(func() {
			again = p.near.out.queue[0]
			p.near.out.holding = false
		})
		wantTold(t, <-caller, "200", "ran 1")
		wantTold(t, m.call(m.ctx, "/postings", "2"), "200", "ran 2")
		p.near.out.put(again)
		synctest.Wait()
		wantRuns(t, a, "0", "1", "2")
	})
}
