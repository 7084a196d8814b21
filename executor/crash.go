package executor

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quarantiner"
)

const (
	// crashCheckTimeout bounds the connection attempt that tests whether the target's
	// process still listens.
	crashCheckTimeout = 250 * time.Millisecond
	// maxInterrupted bounds the calls that are kept until it is known whether the run that
	// interrupted them has crashed.
	maxInterrupted = 256
	// interruptionLifetime is how long after its connection broke a call is held responsible
	// for the end of the run. A target that is started again announces itself sooner.
	interruptionLifetime = 30 * time.Second
	// maxLoggedDigests bounds the digests in one line of the log.
	maxLoggedDigests = 32
)

// interruptedCall is a call whose connection broke while the target was running it.
type interruptedCall struct {
	*run
	// brokeAt is when the connection broke.
	brokeAt time.Time
}

// crashDetector tells targets that crashed from connections that broke. A run has crashed if
// it interrupted calls without having said that it leaves, and then refuses connections,
// vanishes, or is replaced by another run.
type crashDetector struct {
	mu sync.Mutex
	// run is the run that interrupted the calls, crashedAt when it was found to have crashed;
	// zero means that it was not.
	run         messenger.TargetRun
	crashedAt   time.Time
	interrupted []interruptedCall
	// crashes counts the crashes that were found.
	crashes uint64
	// checkMu admits one connection attempt at a time.
	checkMu sync.Mutex
}

// interrupt records that the target's run broke the connection of a call that it was
// running, and reports the crash if there was one.
func (x *Executor) interrupt(ctx context.Context, base string, run messenger.TargetRun, c interruptedCall) {
	if x.isDraining() {
		return
	}
	d := &x.crash
	d.mu.Lock()
	if d.run != run {
		d.run, d.crashedAt, d.interrupted = run, time.Time{}, nil
	}
	if len(d.interrupted) < maxInterrupted {
		d.interrupted = append(d.interrupted, c)
	}
	d.mu.Unlock()
	switch {
	case x.refusesConnections(ctx, base, run):
		x.reportReached(false)
		x.confirmCrash(run)
	case x.OnInterrupt != nil:
		x.OnInterrupt()
	}
}

// refusesConnections reports whether the run is known to have crashed, or nothing listens at
// the target's address. Any other failure proves nothing: a live target may have no room for
// a further connection.
func (x *Executor) refusesConnections(ctx context.Context, base string, run messenger.TargetRun) bool {
	d := &x.crash
	d.checkMu.Lock()
	defer d.checkMu.Unlock()
	d.mu.Lock()
	known := d.run == run && !d.crashedAt.IsZero()
	d.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	return errors.Is(x.Requester.Check(ctx, strings.TrimPrefix(base, "http://")), syscall.ECONNREFUSED)
}

// ObserveTarget confirms the crash of the run that interrupted calls, if another run has
// replaced it or the target has vanished. It is called when the target's record changes.
func (x *Executor) ObserveTarget(hasVanished bool) {
	x.crash.mu.Lock()
	run := x.crash.run
	x.crash.mu.Unlock()
	if run != x.currentRun() || hasVanished && !x.isDraining() {
		x.confirmCrash(run)
	}
}

// confirmCrash takes the calls that the run interrupted and holds the crash against their
// requests.
func (x *Executor) confirmCrash(run messenger.TargetRun) {
	d := &x.crash
	d.mu.Lock()
	d.interrupted = slices.DeleteFunc(d.interrupted, func(c interruptedCall) bool { return time.Since(c.brokeAt) > interruptionLifetime })
	if d.run != run || len(d.interrupted) == 0 {
		d.mu.Unlock()
		return
	}
	if d.crashedAt.IsZero() {
		d.crashedAt = time.Now()
		d.crashes++
		x.Counters.Crashes.Add(1)
	}
	interrupted, number := d.interrupted, d.crashes
	d.interrupted = nil
	d.mu.Unlock()
	digests := make([]string, min(len(interrupted), maxLoggedDigests))
	for i := range digests {
		digests[i] = interrupted[i].contentDigest().String()
	}
	x.logger().Warn("target-crashed", zap.String("run-id", run.ID), zap.Uint64("epoch", run.Epoch),
		zap.Int("interrupted", len(interrupted)), zap.Strings("request-digests", digests))
	if x.Quarantine == nil {
		return
	}
	for _, c := range interrupted {
		partner := cmp.Or(c.call.CallingPartner, c.call.Partner)
		x.Quarantine.ReportCrash(c.contentDigest(), c.call.Service, partner, quarantiner.Crash{Run: x.crashID(number), IsTrial: c.isTrial})
	}
}

// crashID returns an ID of this process's crash with the number, which no other crash has.
func (x *Executor) crashID(number uint64) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(x.InstanceID)
	_, _ = h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, x.Incarnation), number))
	return h.Sum64()
}

// observeAlive drops the calls that the run interrupted, since it has answered one that began
// later: its connections broke, not its process.
func (x *Executor) observeAlive(run messenger.TargetRun, began time.Time) {
	d := &x.crash
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.run != run {
		return
	}
	if began.After(d.crashedAt) {
		// Runs without an identity can't be told apart; this one is a later run.
		d.crashedAt = time.Time{}
	}
	d.interrupted = slices.DeleteFunc(d.interrupted, func(c interruptedCall) bool { return began.After(c.brokeAt) })
}
