package forwarder

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// maxDepartureMessages is the number of messages between daemons that one departure
// without keys may cost: a history and its completion to each of a few successors.
const maxDepartureMessages = 6

// countMessages makes the daemons of all targets count the queries and handovers that
// they send.
func (m *mesh) countMessages() *atomic.Int64 {
	n := new(atomic.Int64)
	for _, f := range m.targets {
		f.executor.KeyCoordinator.Ask = func(ctx context.Context, to tracker.Record, id messenger.CallID, message messenger.Message) (*messenger.Answer, error) {
			n.Add(1)
			return m.forwarder.Ask(ctx, to, id, message)
		}
	}
	return n
}

// namesOfTargets returns n names.
func namesOfTargets(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("t%03d", i)
	}
	return names
}

// The departure of a target whose daemon holds no keys must cost the same number of
// messages in a large service as in a small one. Each daemon that was told of the
// departure used to query all others, which told it all processes that they know.
func TestDepartureMessagesDoNotGrowWithTheService(t *testing.T) {
	for _, size := range []int{5, 124} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			names := namesOfTargets(size)
			runInMesh(t, names, func(t *testing.T, m *mesh) {
				for _, f := range m.targets {
					f.executor.KeyCoordinator.Joined = time.Now()
				}
				sent := m.countMessages()
				if err := m.targets[names[0]].leave(m.ctx); err != nil {
					t.Fatal(err)
				}
				if got := sent.Load(); got > maxDepartureMessages {
					t.Errorf("messages of one departure among %d targets: got %d, want at most %d", size, got, maxDepartureMessages)
				}
			})
		})
	}
}

// When every target of a service that is larger than the number of a daemon's successors
// is restarted in turn within the retention, repeats of old keys must get the answers
// that were handed over, and new keys must run.
func TestRollingRestartOfALargerServiceKeepsKeys(t *testing.T) {
	names := namesOfTargets(9)
	runInMesh(t, names, func(t *testing.T, m *mesh) { rollingRestart(t, m, names, false) })
}

// When every target of a service is restarted in turn while nobody uses keys, the
// knowledge that no keys were lost must outlive the daemons that had it: a first key
// runs at once.
func TestRollingRestartWithoutKeysKeepsTheHistory(t *testing.T) {
	names := namesOfTargets(9)
	runInMesh(t, names, func(t *testing.T, m *mesh) {
		for _, name := range names {
			f := m.targets[name]
			if err := f.leave(m.ctx); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			f.knowsKeysFor = 0
			f.start()
		}
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		wantAllRuns(t, m, 1)
	})
}

// A daemon that leaves without knowing that a process was lost with its keys must not
// pass its history to one that doesn't know that process: a key that the lost process
// ran would run again.
func TestHistoryThatDependsOnALostProcessIsNotAdopted(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		owner := m.keyOwner()
		wantResponse(t, m.post("k", "1"), "200", "ran 1")
		var others []*fakeTarget
		for _, f := range m.targets {
			if f != owner {
				others = append(others, f)
			}
		}
		stays, leaves := others[0], others[1]
		stays.kill()
		stays.knowsKeysFor = 0
		stays.start()
		// The daemon that leaves still knows the owner; the one that stays never did.
		stale, fresh := new(tracker.Table), new(tracker.Table)
		stale.Merge(m.table.All())
		leaves.executor.KeyCoordinator.Peers = stale
		owner.kill()
		for _, f := range []*fakeTarget{stays, leaves} {
			r, _ := m.table.Find(f.name)
			fresh.Merge([]tracker.Record{r})
		}
		stays.executor.KeyCoordinator.Peers = fresh
		if err := leaves.leave(m.ctx); err != nil {
			t.Fatal(err)
		}
		gone, _ := m.table.Find(leaves.name)
		fresh.Merge([]tracker.Record{gone})
		m.table.Merge([]tracker.Record{{
			InstanceID: owner.name, Incarnation: owner.executor.Incarnation, Sequence: 99,
			Service: "payout-desk", State: tracker.StateGone,
		}})
		wantResponse(t, m.post("k", "1"), "502", "unknown", "key-memory-young")
		wantAllRuns(t, m, 1)
	})
}

// While a target drains, its service's owners query all others before they run a key.
// Where all daemons know the same processes, the answers must not list them: the bytes of
// one call would grow with the square of the service.
func TestKeyQueriesDoNotListKnownProcesses(t *testing.T) {
	names := namesOfTargets(40)
	runInMesh(t, names, func(t *testing.T, m *mesh) {
		listed := new(atomic.Int64)
		for _, f := range m.targets {
			f.executor.KeyCoordinator.Ask = func(ctx context.Context, to tracker.Record, id messenger.CallID, message messenger.Message) (*messenger.Answer, error) {
				answer, err := m.forwarder.Ask(ctx, to, id, message)
				if err == nil && answer.Coverage != nil {
					listed.Add(int64(len(answer.Coverage.Known) + len(answer.Coverage.HandedOver)))
				}
				return answer, err
			}
		}
		if err := m.targets[names[0]].leave(m.ctx); err != nil {
			t.Fatal(err)
		}
		m.targets[names[1]].announce(tracker.StateDraining, false)
		for n := range 5 {
			wantResponse(t, m.post(fmt.Sprint("k", n), "1"), "200", "ran 1")
		}
		if got := listed.Load(); got != 0 {
			t.Errorf("processes listed in answers: got %d, want none", got)
		}
	})
}
