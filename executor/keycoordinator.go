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

// Peers provides the records of the targets of a service. tracker.Table implements
// it.
type Peers interface {
	// Service returns the ready targets, Draining those that take no new calls but
	// have not left, and Departed those that left recently; see tracker.Table.
	Service(name string) []tracker.Record
	Draining(name string) []tracker.Record
	Departed(name string) []tracker.Departure
}

// KeyCoordinator coordinates the idempotency keys of an executor's service with the
// daemons of the other targets. The target with the highest messenger.Rank owns a
// key: its daemon runs the calls with the key. If Peers is nil, the daemon uses only
// its own table of keys.
//
// Invariant: a new key runs only if this daemon owns it in its own view and in that
// of the entry daemon, no process that may have run the key was lost within the
// retention, and every other target that may have run it has answered that it did
// not and will not.
type KeyCoordinator struct {
	Peers Peers
	// Ask sends a KeyQuery or KeyHandover to another target's daemon and returns
	// its answer.
	Ask func(ctx context.Context, to tracker.Record, id messenger.CallID, m messenger.Message) (*messenger.Answer, error)
	// Retention returns how long keys are kept; nil means two minutes.
	Retention func() time.Duration
	// Joined is the time since which other daemons have considered this one the
	// owner of its keys without interruption; zero means the time of first use.
	Joined time.Time
	Keys   fencer.KeyTable

	mu sync.Mutex
	// lossFreeSince is the time since which no keys of the service were lost,
	// according to the peers; zero means Joined.
	lossFreeSince time.Time
	// lastTick is the time of the last check for a freeze; zero before Run.
	lastTick time.Time
	// handedOver maps the processes that have handed over their keys to the time
	// when this daemon learned it.
	handedOver map[messenger.Process]time.Time
	// introducedAt is when all peers last answered a query of this process; zero means
	// never.
	introducedAt time.Time
	// askers maps the processes that queried keys to the time of their last query.
	askers map[messenger.Process]time.Time
}

// retention returns how long keys are kept.
func (k *KeyCoordinator) retention() time.Duration {
	if k.Retention == nil {
		return defaultRetention
	}
	return k.Retention()
}

// Run detects, until ctx ends, that this process was frozen. Other daemons may have
// considered it gone meanwhile and its keys lost, so that it must query them
// afterwards as a new daemon does.
func (k *KeyCoordinator) Run(ctx context.Context) {
	tick := time.NewTicker(freezeCheckInterval)
	defer tick.Stop()
	k.mu.Lock()
	k.lastTick = time.Now()
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

// detectFreeze restarts the ownership and the loss-free history of keys if the
// process was frozen, and sets Joined on first use. The caller holds mu.
func (k *KeyCoordinator) detectFreeze(now time.Time) {
	if k.Joined.IsZero() || !k.lastTick.IsZero() && now.Sub(k.lastTick) > freezeThreshold {
		k.Joined = now
		k.lossFreeSince = time.Time{}
	}
	if !k.lastTick.IsZero() {
		k.lastTick = now
	}
}

// ages returns for how long this daemon has owned its keys, and for how long no
// keys of the service were lost, as far as it knows.
func (k *KeyCoordinator) ages() (joined, lossFree time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.detectFreeze(now)
	joined = now.Sub(k.Joined)
	if k.lossFreeSince.IsZero() {
		return joined, joined
	}
	return joined, max(joined, now.Sub(k.lossFreeSince))
}

// extendLossFree extends the loss-free history with that of a peer, which knows
// that no keys of the service were lost within lossFree.
func (k *KeyCoordinator) extendLossFree(lossFree time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.detectFreeze(now)
	if from := now.Add(-lossFree); k.lossFreeSince.IsZero() || from.Before(k.lossFreeSince) {
		k.lossFreeSince = from
	}
}

// noteAsker records a process that queried a key, which it may then run.
func (k *KeyCoordinator) noteAsker(p messenger.Process) {
	retention := k.retention()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.askers == nil {
		k.askers = make(map[messenger.Process]time.Time)
	}
	maps.DeleteFunc(k.askers, func(_ messenger.Process, at time.Time) bool { return time.Since(at) > 2*retention })
	k.askers[p] = time.Now()
}

// isIntroduced reports whether all peers have answered a query of this process within
// the retention.
func (k *KeyCoordinator) isIntroduced() bool {
	retention := k.retention()
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.introducedAt.IsZero() && time.Since(k.introducedAt) < retention
}

// setIntroduced records that all peers have answered a query of this process.
func (k *KeyCoordinator) setIntroduced() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.introducedAt = time.Now()
}

// recentAskers returns the processes that have queried keys.
func (k *KeyCoordinator) recentAskers() []messenger.Process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.askers))
}

// isHandedOver reports whether the process that the record describes has handed
// over its keys, according to the record itself or to what this daemon knows.
func (k *KeyCoordinator) isHandedOver(r tracker.Record) bool {
	return r.HandedOver || k.hasHandedOver(processOf(r))
}

// processOf returns the process that a record describes.
func processOf(r tracker.Record) messenger.Process {
	return messenger.Process{InstanceID: r.InstanceID, Incarnation: r.Incarnation}
}

// hasHandedOver reports whether the process is known to have handed over its keys.
func (k *KeyCoordinator) hasHandedOver(p messenger.Process) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.handedOver[p]
	return ok
}

// markHandedOver records processes that have handed over their keys, and deletes
// those recorded more than two retentions ago, which no longer matter.
func (k *KeyCoordinator) markHandedOver(processes ...messenger.Process) {
	retention := k.retention()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handedOver == nil {
		k.handedOver = make(map[messenger.Process]time.Time)
	}
	maps.DeleteFunc(k.handedOver, func(_ messenger.Process, at time.Time) bool { return time.Since(at) > 2*retention })
	for _, p := range processes {
		if _, ok := k.handedOver[p]; !ok {
			k.handedOver[p] = time.Now()
		}
	}
}

// handedOverProcesses returns the processes that have handed over their keys.
func (k *KeyCoordinator) handedOverProcesses() []messenger.Process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.handedOver))
}
