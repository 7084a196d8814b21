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

// keyStepKind is the kind of a random step of TestKeysStateMachine.
type keyStepKind int

const (
	stepPostKey keyStepKind = iota
	stepRepeatKey
	stepCrash
	stepPlannedStop
	stepComeBack
	stepCrashRestart
	stepPlannedRestart
	stepSyncTable
	stepWait
	keyStepKinds
)

// keyStep is one random step: a call with a key, or an event at a target.
type keyStep struct {
	kind keyStepKind
	// ms is how long stepWait waits; with 0, stepCrash is not announced to the tables.
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

// keyAnswer is the body that a keyed call sent, and the one that it was answered with.
type keyAnswer struct{ body, got string }

// applyKeyStep performs a step; the answers of calls go to the channel.
func (m *mesh) applyKeyStep(s keyStep, answers chan<- keyAnswer) {
	f := m.targets[threeTargets[s.target]]
	switch s.kind {
	case stepPostKey, stepRepeatKey:
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
	case stepPlannedStop:
		if !f.down {
			_ = f.leave(m.ctx)
		}
	case stepComeBack:
		if f.down {
			time.Sleep(time.Millisecond)
			f.knowsKeysFor = 0
			f.start()
		}
	case stepCrashRestart, stepPlannedRestart:
		if f.down {
			return
		}
		if s.kind == stepPlannedRestart {
			_ = f.leave(m.ctx)
		} else {
			f.kill()
		}
		time.Sleep(time.Millisecond)
		f.knowsKeysFor = 0
		f.start()
	case stepSyncTable:
		f.table.Merge(m.table.All())
	case stepWait:
		time.Sleep(time.Duration(s.ms) * time.Millisecond)
	}
}

// checkKeys fails if a key ran more than once, or if a caller got another answer than
// that of the key's run.
func (m *mesh) checkKeys(answers <-chan keyAnswer) error {
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

// While targets stop, crash and come back within the retention, a key must run at most
// once, and all its answers must be that of the one run. With lagging tables, each
// daemon learns of the changes late.
func TestKeysStateMachine(t *testing.T) {
	for _, lagging := range []bool{false, true} {
		t.Run(fmt.Sprintf("lagging=%v", lagging), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				steps := rapid.SliceOfN(rapid.Custom(drawKeyStep), 1, 40).Draw(rt, "steps")
				var verdict error
				runInMesh(t, threeTargets, func(_ *testing.T, m *mesh) { verdict = m.runKeySteps(steps, lagging) })
				if verdict != nil {
					rt.Fatal(verdict)
				}
			})
		})
	}
}

// runKeySteps performs the steps, lets all calls end and checks the keys.
func (m *mesh) runKeySteps(steps []keyStep, lagging bool) error {
	m.hasOwnTables = lagging
	m.retention = func() time.Duration { return time.Hour }
	m.forwarder.Picker.Source = nil
	for _, f := range m.targets {
		f.executor.KeyCoordinator.Retention = m.retention
		f.handle = handleTimed
		if lagging {
			f.table = new(tracker.Table)
			f.table.Merge(m.table.All())
			f.executor.KeyCoordinator.Peers = f.table
		}
	}
	answers := make(chan keyAnswer, len(steps))
	for _, s := range steps {
		m.applyKeyStep(s, answers)
		synctest.Wait()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	close(answers)
	return m.checkKeys(answers)
}

// Random steps that once led to a second run of a key must not do so again.
func TestKeyStepsThatFailed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		steps []keyStep
	}{
		// A daemon that had just restarted got the only copy of a key from one that stopped,
		// and crashed before any other daemon knew its process.
		{"keys handed to an unknown process", []keyStep{
			{kind: stepPostKey}, {kind: stepPlannedRestart}, {kind: stepPlannedStop, target: 2},
			{kind: stepCrashRestart}, {kind: stepPostKey}, {kind: stepSyncTable},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
				if err := m.runKeySteps(tt.steps, true); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
