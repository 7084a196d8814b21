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

var threeTargets = []string{"a", "b", "c"}

// post sends a posting with an idempotency key.
func (m *mesh) post(key, body string) callerResponse {
	return m.call(m.ctx, "/postings", body, messenger.HeaderIdempotencyKey, key)
}

// keyOwner returns the target that owns the key "k" while no target drains.
func (m *mesh) keyOwner() *fakeTarget {
	call := &messenger.Call{Service: "payout-desk", Partner: "magnolia", IdempotencyKey: "k"}
	owner, _ := m.forwarder.keyOwner(m.table.Service("payout-desk"), call.KeyID())
	return m.targets[owner.InstanceID]
}

// allRuns returns the number of requests that ran at any target.
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

// A repeated key must get the first answer without a second run, and a different request
// with the same key must be refused.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantResponse(t, m.post("k", "2"), "422", "not-run", "key-reused")
		wantAllRuns(t, m, 1)
	})
}

// A key that is repeated while its first call still runs, and whose first caller has
// disconnected, must wait for that run instead of starting a second one.
func TestRepeatWaitsForTheFirstRun(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		m.keyOwner().handle = func(_ *http.Request, body string) (*http.Response, error) {
			time.Sleep(time.Second)
			return respond("ran " + body), nil
		}
		ctx, hangUp := context.WithCancel(m.ctx)
		go func() { _ = m.call(ctx, "/postings", "1", messenger.HeaderIdempotencyKey, "k") }()
		time.Sleep(100 * time.Millisecond)
		hangUp()
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A key whose only run had an unknown outcome must not run again when it is repeated.
func TestRepeatOfUnknownStaysUnknown(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		m.keyOwner().handle = func(*http.Request, string) (*http.Response, error) { return nil, errors.New("reset") }
		wantResponse(t, m.post("k", "1"), "502", "unknown", "target-failed")
		wantResponse(t, m.post("k", "1"), "502", "unknown", "key-undecided")
		wantAllRuns(t, m, 1)
	})
}

// When the owner of a key crashes, the key must not run elsewhere until the retention has
// passed, since no daemon knows any more what the owner has run. That also holds when
// the owner restarts without its keys.
func TestLostKeyOwnerLeavesUnknown(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarts=%v", restarts), func(t *testing.T) {
			runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
				owner := m.keyOwner()
				wantResponse(t, m.post("k", "1"), "200", "ran 1")
				owner.kill()
				wantResponse(t, m.post("k", "1"), "502", "unknown")
				if restarts {
					owner.knowsKeysFor = 0
					time.Sleep(time.Second)
					owner.start()
				} else {
					owner.announce(tracker.StateGone, false)
				}
				wantResponse(t, m.post("k", "1"), "502", "unknown", "key-home-lost")
				wantAllRuns(t, m, 1)
				time.Sleep(5 * time.Minute)
				wantResponse(t, m.post("k", "1"), "200", "ran 1")
				wantAllRuns(t, m, 2)
			})
		})
	}
}

// A target that is stopped as planned must hand its keys over, so that repeats get their
// first answer and new keys run at once.
func TestPlannedStopHandsKeysOver(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		if err := m.keyOwner().leave(m.ctx); err != nil {
			t.Fatal(err)
		}
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantResponse(t, m.post("new", "2"), "200", "ran 2")
		wantAllRuns(t, m, 2)
	})
}

// When every target is restarted in turn within the retention, repeats of old keys must
// get the answers that were handed over, and new keys must run.
func TestRollingRestartKeepsKeys(t *testing.T) {
	for _, losesGoneRecord := range []bool{false, true} {
		t.Run(fmt.Sprintf("losesGoneRecord=%v", losesGoneRecord), func(t *testing.T) {
			runInMesh(t, threeTargets, func(t *testing.T, m *mesh) { rollingRestart(t, m, threeTargets, losesGoneRecord) })
		})
	}
}

// rollingRestart restarts the named targets as planned. With losesGoneRecord, the other daemons
// never get the last record of the old process.
func rollingRestart(t *testing.T, m *mesh, names []string, losesGoneRecord bool) {
	t.Helper()
	for n := range 10 {
		wantResponse(t, m.post(fmt.Sprint("k", n), fmt.Sprint(n)), "200")
	}
	for round, name := range names {
		f := m.targets[name]
		f.losesGoneRecord = losesGoneRecord
		if err := f.leave(m.ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.knowsKeysFor = 0
		f.start()
		for n := range 10 {
			wantResponse(t, m.post(fmt.Sprint("k", n), fmt.Sprint(n)), "200", fmt.Sprint("ran ", n))
		}
		wantResponse(t, m.post(fmt.Sprint("new", round), "new"), "200", "ran new")
	}
	wantAllRuns(t, m, 10+len(names))
}

// In a service all of whose daemons are new, keys must be refused until the retention has
// passed: processes before them may have run the same keys.
func TestNewServiceRefusesKeysForRetention(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		for _, f := range m.targets {
			f.executor.KeyCoordinator.Joined = time.Now()
		}
		wantResponse(t, m.post("k", "1"), "502", "unknown", "key-memory-young")
		time.Sleep(3 * time.Minute)
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A key's owner that the others considered gone for a while must query them before it runs
// the key, since another target has owned the key meanwhile and may have run it.
func TestReturnedKeyOwnerQueriesOthers(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		owner := m.keyOwner()
		owner.announce(tracker.StateGone, false)
		time.Sleep(5 * time.Minute)
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		owner.announce(tracker.StateReady, false)
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A key's owner that was frozen, and whose table does not show that the others considered
// it gone, must notice the freeze by its own clock and query them before it runs the key.
func TestFrozenKeyOwnerQueriesOthers(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		owner := m.keyOwner()
		stale := new(tracker.Table)
		stale.Merge(m.table.All())
		k := &owner.executor.KeyCoordinator
		k.Peers = stale
		ctx, freeze := context.WithCancel(m.ctx)
		go k.Run(ctx)
		time.Sleep(2 * time.Second)
		freeze()
		owner.announce(tracker.StateGone, false)
		time.Sleep(5 * time.Minute)
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		owner.announce(tracker.StateReady, false)
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A key's owner that crashed and restarted queries others whose tables still show its old
// process. They must see by the incarnation in the query that the old process was lost,
// and the key must not run again.
func TestKeyOwnerRestartUnknownToOthers(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		owner := m.keyOwner()
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		stale := new(tracker.Table)
		stale.Merge(m.table.All())
		for _, f := range m.targets {
			if f != owner {
				f.executor.KeyCoordinator.Peers = stale
			}
		}
		owner.kill()
		time.Sleep(time.Second)
		owner.knowsKeysFor = 0
		owner.start()
		fresh := new(tracker.Table)
		fresh.Merge(m.table.Service("payout-desk"))
		owner.executor.KeyCoordinator.Peers = fresh
		wantResponse(t, m.post("k", "1"), "502", "unknown", "key-home-lost")
		wantAllRuns(t, m, 1)
	})
}

// A key's owner stops as planned and hands the key to a holder; the owner comes back, and
// the holder crashes and restarts without the owner's table showing it. The holder's new
// process must reveal the loss when the owner queries it, and the key must not run again.
func TestLostKeyHolderIsReportedByItsSuccessor(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		owner := m.keyOwner()
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		if err := owner.leave(m.ctx); err != nil {
			t.Fatal(err)
		}
		holder := m.keyOwner()
		time.Sleep(time.Second)
		owner.knowsKeysFor = 0
		owner.start()
		for _, f := range m.targets {
			stale := new(tracker.Table)
			stale.Merge(m.table.All())
			f.executor.KeyCoordinator.Peers = stale
		}
		holder.kill()
		time.Sleep(time.Second)
		holder.knowsKeysFor = 0
		holder.start()
		wantResponse(t, m.post("k", "1"), "502", "unknown", "key-home-lost")
		wantAllRuns(t, m, 1)
	})
}

// A key's owner whose table of calls is full refuses a call before it has looked up the
// key. If an earlier call with the key has run, the repeat must not be told that it has
// not: its caller might post again under another key.
func TestRefusalBeforeTheKeyIsLookedUpIsUnknown(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		m.keyOwner().executor.Calls.MaxCalls = -1
		wantResponse(t, m.post("k", "1"), "502", "unknown", "call-table-full")
		wantAllRuns(t, m, 1)
	})
}
