package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

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
	for _, overtaken := range []bool{false, true} {
		t.Run(fmt.Sprintf("overtaken=%v", overtaken), func(t *testing.T) {
			inMesh(t, three, func(t *testing.T, m *mesh) { rollingRestart(t, m, overtaken) })
		})
	}
}

func rollingRestart(t *testing.T, m *mesh, overtaken bool) {
	t.Helper()
	for n := range 10 {
		wantTold(t, m.post(fmt.Sprint("k", n), fmt.Sprint(n)), "200")
	}
	for round, name := range three {
		f := m.targets[name]
		f.overtaken = overtaken
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
}

// A service that nobody remembers takes keys only when earlier ones have expired.
func TestServiceWithoutMemoryRefusesKeys(t *testing.T) {
	inMesh(t, three, func(t *testing.T, m *mesh) {
		for _, f := range m.targets {
			f.executor.KeyCoordinator.Joined = time.Now()
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
		k := &home.executor.KeyCoordinator
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
				f.executor.KeyCoordinator.Peers = stale
			}
		}
		home.kill()
		time.Sleep(time.Second)
		home.remembers = 0
		home.start()
		fresh := new(tracker.Table)
		fresh.Merge(m.table.Service("payout-desk"))
		home.executor.KeyCoordinator.Peers = fresh
		wantTold(t, m.post("k", "1"), "502", "unknown", "key-home-lost")
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
			f.executor.KeyCoordinator.Peers = stale
		}
		holder.kill()
		time.Sleep(time.Second)
		holder.remembers = 0
		holder.start()
		wantTold(t, m.post("k", "1"), "502", "unknown", "key-home-lost")
		wantAllRuns(t, m, 1)
	})
}
