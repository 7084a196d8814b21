package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/tracker"
)

// mortalTarget is a fake target whose process may end.
type mortalTarget struct {
	*fakeTarget
	mortalProcess
}

// mortalMesh is a mesh whose targets are mortal and whose daemons keep a quarantine.
type mortalMesh struct {
	*mesh
	mortals map[string]*mortalTarget
}

// newMortalMesh makes the targets of a mesh mortal. Daemons that share a table learn of each
// other's crashes at once, others only by the calls and answers between them.
func newMortalMesh(m *mesh, shareTable bool) *mortalMesh {
	mm := &mortalMesh{mesh: m, mortals: make(map[string]*mortalTarget)}
	m.forwarder.Quarantine = new(quarantiner.Table)
	for name, f := range m.targets {
		mt := &mortalTarget{fakeTarget: f}
		mt.onEnd = func() { f.announce(tracker.StateGone, false) }
		mt.onReturn = func() {
			f.setEpoch(f.currentEpoch() + 1)
			f.announce(tracker.StateReady, false)
		}
		mm.mortals[name] = mt
		f.setEpoch(1)
		f.announce(tracker.StateReady, false)
		f.executor.Quarantine = m.forwarder.Quarantine
		if !shareTable {
			f.executor.Quarantine = new(quarantiner.Table)
		}
		f.executor.Requester.Dial = mt.dial
		f.executor.TrialHolder = (&Forwarder{Picker: &picker.Picker{Table: f.table}}).TrialHolder
		f.handle = func(r *http.Request, body string) (*http.Response, error) {
			answer, err := mt.mortalProcess.run(r.Context(), body)
			if err != nil {
				return nil, err
			}
			return respond(answer), nil
		}
	}
	return mm
}

// ends returns how often targets have ended.
func (m *mortalMesh) ends() int {
	n := 0
	for _, t := range m.mortals {
		n += t.countEnds()
	}
	return n
}

var fiveTargets = []string{"a", "b", "c", "d", "e"}

// A request that ends its targets must not reach more than three of them, under whatever ID
// it comes again and whether it may run twice or not.
func TestRepeatsOfADeadlyRequestEndThreeTargets(t *testing.T) {
	tests := []struct {
		path      string
		header    []string
		shareView bool
	}{
		{path: "/lookups", shareView: true},
		{path: "/lookups"},
		{path: "/postings", shareView: true},
		{path: "/postings"},
		{path: "/postings", header: []string{"Idempotency-Key", "key-%d"}, shareView: true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s %v shared %v", tt.path, tt.header, tt.shareView), func(t *testing.T) {
			runInMesh(t, fiveTargets, func(t *testing.T, m *mesh) {
				mm := newMortalMesh(m, tt.shareView)
				var refused callerResponse
				for n := range 20 {
					var header []string
					for _, h := range tt.header {
						header = append(header, strings.Replace(h, "%d", fmt.Sprint(n), 1))
					}
					refused = m.call(m.ctx, tt.path, "deadly", header...)
					time.Sleep(2 * targetDownTime)
				}
				if got, want := mm.ends(), 3; got != want {
					t.Errorf("ended targets: got %d, want %d", got, want)
				}
				wantResponse(t, refused, "503", "not-run", "request-quarantined")
			})
		})
	}
}

// All targets end before any daemon knows the request: it then ends one more, when it is
// tried, and no other.
func TestDeadlyRequestThatComesEverywhereAtOnce(t *testing.T) {
	for _, shareTable := range []bool{true, false} {
		t.Run(fmt.Sprint("shared ", shareTable), func(t *testing.T) {
			runInMesh(t, fiveTargets, func(t *testing.T, m *mesh) {
				mm := newMortalMesh(m, shareTable)
				for range 50 {
					m.start("/lookups", "deadly")
				}
				time.Sleep(2 * targetDownTime)
				first := mm.ends()
				for range 100 {
					m.start("/lookups", "deadly")
					time.Sleep(50 * time.Millisecond)
				}
				if got, want := mm.ends()-first, 1; got > want {
					t.Errorf("targets that ended after the first %d: got %d, want at most %d", first, got, want)
				}
			})
		})
	}
}

// Targets may all end at once for a reason of their own. The popular lookup that was running
// at each of them is no culprit, and is served as soon as they are back.
func TestPopularLookupIsNotQuarantinedWhenAllTargetsEnd(t *testing.T) {
	runInMesh(t, fiveTargets, func(t *testing.T, m *mesh) {
		mm := newMortalMesh(m, true)
		for round := range 5 {
			for range 40 {
				m.start("/lookups", "popular")
			}
			time.Sleep(normalRunTime / 2)
			for _, target := range mm.mortals {
				target.end(target.present())
			}
			time.Sleep(2 * targetDownTime)
			if got, want := mm.ends(), 5*(round+1); got != want {
				t.Fatalf("ended targets: got %d, want %d", got, want)
			}
			var calls []<-chan callerResponse
			for range 20 {
				calls = append(calls, m.start("/lookups", "popular"))
			}
			for _, c := range calls {
				wantResponse(t, <-c, "200")
			}
		}
		if got := m.forwarder.Quarantine.Counters.Quarantined.Value(); got != 0 {
			t.Errorf("quarantined requests: got %d, want none", got)
		}
	})
}

// The lookups that run beside a deadly request are suspects as much as it is. All are served,
// popular or not, and none is quarantined.
func TestInnocentLookupsBesideADeadlyRequest(t *testing.T) {
	runInMesh(t, fiveTargets, func(t *testing.T, m *mesh) {
		mm := newMortalMesh(m, true)
		ctx, cancel := context.WithCancel(m.ctx)
		go func() {
			for ctx.Err() == nil {
				m.start("/lookups", "deadly")
				time.Sleep(70 * time.Millisecond)
			}
		}()
		var calls []<-chan callerResponse
		for n := range 2000 {
			body := fmt.Sprint("lookup ", n)
			if n%2 == 0 {
				body = "popular"
			}
			calls = append(calls, m.start("/lookups", body))
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
		refused, lost := 0, 0
		for _, c := range calls {
			switch got := <-c; {
			case got.contains("request-quarantined"):
				t.Fatalf("innocent lookup: got %v", got)
			case got.contains("not-run"):
				refused++
			case got.status != http.StatusOK:
				lost++
			}
		}
		if got, want := mm.ends(), 6; got > want {
			t.Errorf("ended targets: got %d, want at most %d", got, want)
		}
		t.Logf("%d targets ended, %d of %d innocent lookups were refused, %d lost", mm.ends(), refused, len(calls), lost)
		if got := m.forwarder.Quarantine.Counters.Quarantined.Value(); got != 1 {
			t.Errorf("quarantined requests: got %d, want 1", got)
		}
	})
}

// The last target of a service is not put at risk for a request that has ended two others.
func TestSuspectIsNotTriedAtTheLastTarget(t *testing.T) {
	runInMesh(t, fiveTargets, func(t *testing.T, m *mesh) {
		mm := newMortalMesh(m, true)
		m.forwarder.MaxUnknownAttempts = 1
		for range 2 {
			wantResponse(t, m.call(m.ctx, "/lookups", "deadly"), "unknown")
		}
		left := 0
		for _, target := range mm.mortals {
			if target.hasEnded() {
				continue
			}
			if left++; left > 1 {
				target.end(target.present())
			}
		}
		synctest.Wait()
		wantResponse(t, m.call(m.ctx, "/lookups", "deadly"), "503", "not-run", "last-target")
	})
}
