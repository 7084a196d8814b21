package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

var three = []string{"a", "b", "c"}

func (m *mesh) post(key, body string) told {
	return m.call(m.ctx, "/postings", body, messenger.HeaderIdempotencyKey, key)
}

// home returns the target that is the home of the key "k" while all are ready.
func (m *mesh) home() *fakeTarget {
	call := &messenger.Call{Service: "payout-desk", Partner: "magnolia", IdempotencyKey: "k"}
	home, _ := m.forwarder.home(m.table.Service("payout-desk"), call.KeyOf())
	return m.targets[home.InstanceID]
}

func (m *mesh) allRuns() int {
	n := 0
	for _, f := range m.targets {
		n += len(f.ran())
	}
	return n
}

func wantAllRuns(t *testing.T, m *mesh, want int) {
	t.Helper()
	if got := m.allRuns(); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		wantTold(t, m.post("k", "2"), "422", "not-run", "key-reused")
		wantAllRuns(t, m, 1)
	})
}

func TestRepeatWaitsForTheFirst(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		m.home().work = func(_ *http.Request, body string) (*http.Response, error) {
			time.Sleep(time.Second)
			return respond("ran " + body), nil
		}
		ctx, hangUp := context.WithCancel(m.ctx)
		go func() { _ = m.call(ctx, "/postings", "1", messenger.HeaderIdempotencyKey, "k") }()
		time.Sleep(100 * time.Millisecond)
		hangUp()
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

func TestRepeatOfUndecidedStaysUnknown(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		m.home().work = func(*http.Request, string) (*http.Response, error) { return nil, errors.New("reset") }
		wantTold(t, m.post("k", "1"), "502", "unknown", "target-failed")
		wantTold(t, m.post("k", "1"), "502", "unknown", "key-undecided")
		wantAllRuns(t, m, 1)
	})
}

func TestLostHomeLeavesUnknown(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarts=%v", restarts), func(t *testing.T) {
			inMesh(t, three, func(t *testing.T, m *mesh) {
				home := m.home()
				wantTold(t, m.post("k", "1"), "200", "ran 1")
				home.kill()
				wantTold(t, m.post("k", "1"), "502", "unknown")
				if restarts {
					home.remembers = 0
					time.Sleep(time.Second)
					home.start()
				} else {
					home.announce(tracker.StateGone, false)
				}
				wantTold(t, m.post("k", "1"), "502", "unknown", "key-home-lost")
				wantAllRuns(t, m, 1)
				time.Sleep(5 * time.Minute)
				wantTold(t, m.post("k", "1"), "200", "ran 1")
				wantAllRuns(t, m, 2)
			})
		})
	}
}

func TestPlannedStopHandsKeysOver(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		if err := m.home().leave(m.ctx); err != nil {
			t.Fatal(err)
		}
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		wantTold(t, m.post("new", "2"), "200", "ran 2")
		wantAllRuns(t, m, 2)
	})
}

// Every target is replaced within the retention: keys are answered from memory,
// and new ones run.
func TestRollingRestartKeepsKeys(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		for n := range 10 {
			wantTold(t, m.post(fmt.Sprint("k", n), fmt.Sprint(n)), "200")
		}
		for round, name := range three {
			f := m.targets[name]
			if err := f.leave(m.ctx); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			f.remembers = 0
			f.start()
			for n := range 10 {
				wantTold(t, m.post(fmt.Sprint("k", n), fmt.Sprint(n)), "200", fmt.Sprint("ran ", n))
			}
			wantTold(t, m.post(fmt.Sprint("new", round), "new"), "200", "ran new")
		}
		wantAllRuns(t, m, 13)
	})
}

// A service that nobody remembers takes keys only when earlier ones have expired.
func TestServiceWithoutMemoryRefusesKeys(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		for _, f := range m.targets {
			f.executor.Keyring.Joined = time.Now()
		}
		wantTold(t, m.post("k", "1"), "502", "unknown", "key-memory-young")
		time.Sleep(3 * time.Minute)
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A home that was held to be gone while others took its place asks them.
func TestReturnedHomeAsks(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		home := m.home()
		home.announce(tracker.StateGone, false)
		time.Sleep(5 * time.Minute)
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		home.announce(tracker.StateReady, false)
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A home that was frozen meanwhile, and hasn't heard that it was held to be
// gone, notices the freeze itself.
func TestFrozenHomeAsks(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		home := m.home()
		stale := new(tracker.Table)
		stale.Merge(m.table.All())
		k := &home.executor.Keyring
		k.Peers = stale
		ctx, freeze := context.WithCancel(m.ctx)
		go k.Run(ctx)
		time.Sleep(2 * time.Second)
		freeze()
		home.announce(tracker.StateGone, false)
		time.Sleep(5 * time.Minute)
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		home.announce(tracker.StateReady, false)
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A home that was restarted asks others that haven't heard of it yet: they see
// by its query that its predecessor was lost.
func TestRestartThatNobodyHasSeen(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		home := m.home()
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		stale := new(tracker.Table)
		stale.Merge(m.table.All())
		for _, f := range m.targets {
			if f != home {
				f.executor.Keyring.Peers = stale
			}
		}
		home.kill()
		time.Sleep(time.Second)
		home.remembers = 0
		home.start()
		fresh := new(tracker.Table)
		fresh.Merge(m.table.Service("payout-desk"))
		home.executor.Keyring.Peers = fresh
		wantTold(t, m.post("k", "1"), "502", "unknown", "key-memory-young")
		wantAllRuns(t, m, 1)
	})
}

// A daemon that holds the key of a home that left is lost, and the home, which is
// back, has not heard of it: the holder's successor answers its query.
func TestLostHolderIsFoundOutByItsSuccessor(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		home := m.home()
		wantTold(t, m.post("k", "1"), "200", "ran 1")
		if err := home.leave(m.ctx); err != nil {
			t.Fatal(err)
		}
		holder := m.home()
		time.Sleep(time.Second)
		home.remembers = 0
		home.start()
		for _, f := range m.targets {
			stale := new(tracker.Table)
			stale.Merge(m.table.All())
			f.executor.Keyring.Peers = stale
		}
		holder.kill()
		time.Sleep(time.Second)
		holder.remembers = 0
		holder.start()
		wantTold(t, m.post("k", "1"), "502", "unknown", "key-home-lost")
		wantAllRuns(t, m, 1)
	})
}

type keyStep struct {
	kind, target, key, ms int
}

func drawKeyStep(t *rapid.T) keyStep {
	return keyStep{
		kind:   rapid.IntRange(0, 9).Draw(t, "kind"),
		target: rapid.IntRange(0, 2).Draw(t, "target"),
		key:    rapid.IntRange(0, 9).Draw(t, "key"),
		ms:     rapid.SampledFrom([]int{0, 10, 500, 3000, 20_000}).Draw(t, "ms"),
	}
}

func (m *mesh) doKeyStep(s keyStep, answers chan<- [2]string) {
	f := m.targets[three[s.target]]
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	switch s.kind {
	case 0, 1, 2, 7, 8, 9:
		key := fmt.Sprint("k", s.key)
		go func() {
			got := m.post(key, "/postings "+fmt.Sprint(s.key)+" 400")
			if got.status == http.StatusOK {
				answers <- [2]string{key, got.body}
			}
		}()
	case 3:
		if !down {
			f.kill()
			f.announce(tracker.StateGone, false)
		}
	case 4:
		if !down {
			_ = f.leave(m.ctx)
		}
	case 5:
		if down {
			time.Sleep(time.Millisecond)
			f.remembers = 0
			f.start()
		}
	case 6:
		time.Sleep(time.Duration(s.ms) * time.Millisecond)
	}
}

// Whatever leaves, crashes and comes back within the retention: a key runs at
// most once, and all its answers are those of the one run.
func TestKeysStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawKeyStep), 1, 40).Draw(rt, "steps")
		verdict := ""
		inMesh(t, three, func(_ *testing.T, m *mesh) {
			m.forwarder.Picker.Source = nil
			answers := make(chan [2]string, len(steps))
			for _, f := range m.targets {
				f.executor.Keyring.Retention = func() time.Duration { return time.Hour }
				f.work = work
			}
			for _, s := range steps {
				m.doKeyStep(s, answers)
				for _, f := range m.targets {
					f.executor.Keyring.Retention = func() time.Duration { return time.Hour }
				}
				synctest.Wait()
			}
			time.Sleep(time.Minute)
			runs := make(map[string]int)
			for _, f := range m.targets {
				for _, body := range f.ran() {
					runs[body]++
					if runs[body] > 1 {
						verdict = fmt.Sprintf("%q ran %d times", body, runs[body])
					}
				}
			}
			close(answers)
			for a := range answers {
				if want := "ran /postings " + a[0][1:] + " 400"; a[1] != want {
					verdict = fmt.Sprintf("key %s was answered %q, want %q", a[0], a[1], want)
				}
			}
		})
		if verdict != "" {
			rt.Fatal(verdict)
		}
	})
}
