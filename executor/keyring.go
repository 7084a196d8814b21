package executor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// Peers is what an Executor knows of the other targets of its service.
type Peers interface {
	// Service, Draining and Departed are those of tracker.Table.
	Service(name string) []tracker.Record
	Draining(name string) []tracker.Record
	Departed(name string) []tracker.Departure
}

// Keyring is an executor's part in the idempotency keys of its service. With
// Peers nil, the daemon answers for its own memory only.
//
// Invariant: a new key runs only if this daemon is its home in its own view and
// in that of the entry daemon, no process that may have run the key was lost
// within the retention, and every other target that may have run it has
// answered that it did not and will not.
type Keyring struct {
	Peers Peers
	// Ask brings a KeyQuery or KeyHandover to another target's daemon.
	Ask func(ctx context.Context, to tracker.Record, id messenger.CallID, m messenger.Message) (*messenger.Answer, error)
	// Retention returns how long keys are remembered; nil means two minutes.
	Retention func() time.Duration
	// Joined is since when other daemons have taken this one for the home of its
	// keys without a break; zero means the first use.
	Joined time.Time
	Keys   fencer.KeyTable

	mu sync.Mutex
	// memory is since when no keys of the service were lost, as others vouch;
	// zero means Joined.
	memory time.Time
	beat   time.Time
	// clean holds the processes that have handed over their keys, and when this
	// daemon learned it.
	clean map[messenger.Process]time.Time
	// seen holds the processes that asked for keys, and when they did last.
	seen map[messenger.Process]time.Time
}

func (k *Keyring) retention() time.Duration {
	if k.Retention == nil {
		return defaultRetention
	}
	return k.Retention()
}

// Run notices when this process was frozen, until ctx ends. What others took
// it to have lost meanwhile it must ask for.
func (k *Keyring) Run(ctx context.Context) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	k.mu.Lock()
	k.beat = time.Now()
	k.mu.Unlock()
	for {
		k.ages()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// update notices a freeze. The caller holds mu.
func (k *Keyring) update(now time.Time) {
	if k.Joined.IsZero() || !k.beat.IsZero() && now.Sub(k.beat) > frozenAfter {
		k.Joined = now
		k.memory = time.Time{}
	}
	if !k.beat.IsZero() {
		k.beat = now
	}
}

// ages returns for how long this daemon has been a home, and how far back it
// knows that no keys of the service were lost.
func (k *Keyring) ages() (joined, memory time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.update(now)
	joined = now.Sub(k.Joined)
	if k.memory.IsZero() {
		return joined, joined
	}
	return joined, max(joined, now.Sub(k.memory))
}

// extend takes in how far back all others know that no keys were lost.
func (k *Keyring) extend(memory time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.update(now)
	if from := now.Add(-memory); k.memory.IsZero() || from.Before(k.memory) {
		k.memory = from
	}
}

// see notes a process that asked for a key, which it may run.
func (k *Keyring) see(p messenger.Process) {
	retention := k.retention()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen == nil {
		k.seen = make(map[messenger.Process]time.Time)
	}
	maps.DeleteFunc(k.seen, func(_ messenger.Process, at time.Time) bool { return time.Since(at) > 2*retention })
	k.seen[p] = time.Now()
}

// seenProcesses returns the processes that asked for keys.
func (k *Keyring) seenProcesses() []messenger.Process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.seen))
}

// isClean says whether the process has handed over its keys.
func (k *Keyring) isClean(r tracker.Record) bool {
	return r.HandedOver || k.hasHandedOver(processOf(r))
}

func processOf(r tracker.Record) messenger.Process {
	return messenger.Process{InstanceID: r.InstanceID, Incarnation: r.Incarnation}
}

func (k *Keyring) hasHandedOver(p messenger.Process) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.clean[p]
	return ok
}

// markClean notes processes that have handed over their keys, and forgets those
// for which that doesn't matter any more.
func (k *Keyring) markClean(processes ...messenger.Process) {
	retention := k.retention()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clean == nil {
		k.clean = make(map[messenger.Process]time.Time)
	}
	maps.DeleteFunc(k.clean, func(_ messenger.Process, at time.Time) bool { return time.Since(at) > 2*retention })
	for _, p := range processes {
		if _, ok := k.clean[p]; !ok {
			k.clean[p] = time.Now()
		}
	}
}

// cleanProcesses returns the processes that have handed over their keys.
func (k *Keyring) cleanProcesses() []messenger.Process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.clean))
}
