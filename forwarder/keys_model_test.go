package forwarder

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/tracker"
)

type keyStepKind int

const (
	stepKey keyStepKind = iota
	stepKeyAgain
	stepCrash
	stepLeave
	stepReturn
	stepBounce
	stepRestart
	stepSync
	stepWait
	keyStepKinds
)

type keyStep struct {
	kind            keyStepKind
	target, key, ms int
}

func drawKeyStep(t *rapid.T) keyStep {
	return keyStep{
		kind:   keyStepKind(rapid.IntRange(0, int(keyStepKinds)-1).Draw(t, "kind")),
		target: rapid.IntRange(0, 2).Draw(t, "target"),
		key:    rapid.IntRange(0, 3).Draw(t, "key"),
		ms:     rapid.SampledFrom([]int{0, 10, 500, 3000, 20_000}).Draw(t, "ms"),
	}
}

// keyAnswer is what the caller of a key was answered.
type keyAnswer struct{ body, got string }

func (m *mesh) doKeyStep(s keyStep, answers chan<- keyAnswer) {
	f := m.targets[three[s.target]]
	switch s.kind {
	case stepKey, stepKeyAgain:
		body := fmt.Sprintf("/postings %d 400", s.key)
		go func() {
			if got := m.post(fmt.Sprint("k", s.key), body); got.status == http.StatusOK {
				answers <- keyAnswer{body: body, got: got.body}
			}
		}()
	case stepCrash:
		if !f.down {
			f.kill()
			if s.ms > 0 {
				f.announce(tracker.StateGone, false)
			}
		}
	case stepLeave:
		if !f.down {
			_ = f.leave(m.ctx)
		}
	case stepReturn:
		if f.down {
			time.Sleep(time.Millisecond)
			f.remembers = 0
			f.start()
		}
	case stepBounce, stepRestart:
		if f.down {
			return
		}
		if s.kind == stepRestart {
			_ = f.leave(m.ctx)
		} else {
			f.kill()
		}
		time.Sleep(time.Millisecond)
		f.remembers = 0
		f.start()
	case stepSync:
		f.table.Merge(m.table.All())
	case stepWait:
		time.Sleep(time.Duration(s.ms) * time.Millisecond)
	}
}

// judgeKeys compares what callers were answered with what ran.
func (m *mesh) judgeKeys(answers <-chan keyAnswer) error {
	runs := make(map[string]int)
	for _, f := range m.targets {
		for _, body := range f.ran() {
			runs[body]++
		}
	}
	for body, n := range runs {
		if n > 1 {
			return fmt.Errorf("%q ran %d times", body, n)
		}
	}
	for a := range answers {
		if want := "ran " + a.body; a.got != want {
			return fmt.Errorf("%q was answered %q, want %q", a.body, a.got, want)
		}
	}
	return nil
}

// Whatever leaves, crashes and comes back within the retention, also where each
// daemon hears of it late: a key runs at most once, and all its answers are those
// of the one run.
func TestKeysStateMachine(t *testing.T) {
	for _, lagging := range []bool{false, true} {
		t.Run(fmt.Sprintf("lagging=%v", lagging), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				steps := rapid.SliceOfN(rapid.Custom(drawKeyStep), 1, 40).Draw(rt, "steps")
				var verdict error
				inMesh(t, three, func(_ *testing.T, m *mesh) { verdict = m.runKeySteps(steps, lagging) })
				if verdict != nil {
					rt.Fatal(verdict)
				}
			})
		})
	}
}

func (m *mesh) runKeySteps(steps []keyStep, lagging bool) error {
	m.lagging = lagging
	m.retention = func() time.Duration { return time.Hour }
	m.forwarder.Picker.Source = nil
	for _, f := range m.targets {
		f.executor.KeyCoordinator.Retention = m.retention
		f.work = work
		if lagging {
			f.table = new(tracker.Table)
			f.table.Merge(m.table.All())
			f.executor.KeyCoordinator.Peers = f.table
		}
	}
	answers := make(chan keyAnswer, len(steps))
	for _, s := range steps {
		m.doKeyStep(s, answers)
		synctest.Wait()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	close(answers)
	return m.judgeKeys(answers)
}
