package announcer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// This file keeps departures beyond the end of all daemons: what this process knows of a
// departure is saved before its target gets the acknowledgement, and a target does not become
// ready before this process has read what an earlier one saved, or has it from a peer. Both
// waits of the target for its answer are bounded, since it calls another daemon if it gets none
// within a second.

const (
	// recallTimeout bounds the wait of an announcement for the saved departure. A ready
	// target's announcement is then held.
	recallTimeout = 500 * time.Millisecond
	// saveTimeout bounds the wait of an acknowledgement for the departure to be saved.
	saveTimeout = 400 * time.Millisecond
	// initialSaveBackoff and maxSaveBackoff bound the pauses between two attempts at reading
	// or saving a departure.
	initialSaveBackoff = 50 * time.Millisecond
	maxSaveBackoff     = 2 * time.Second
)

// departureState is what the announcer knows of the saved departure. The epochs are 0 if
// there is none.
type departureState struct {
	// recalled is the epoch of the run whose departure an earlier process saved.
	recalled uint64
	// newest is the epoch of the run that departed last, saved the one in the store.
	newest, saved uint64
	// isKnown is closed once the store, or a peer, has said whether an earlier process knew
	// of a departure, isSaved when newest is saved the next time.
	isKnown, isSaved chan struct{}
	// wake holds a token while newest may not be saved.
	wake chan struct{}
}

// setSaved records the epoch of the departure in the store.
func (d *departureState) setSaved(epoch uint64) {
	d.saved = epoch
	if d.newest == epoch {
		close(d.isSaved)
		d.isSaved = make(chan struct{})
	}
}

// departureStateLocked returns the state and makes its channels on the first call. The caller
// holds mu.
func (a *Announcer) departureStateLocked() *departureState {
	d := &a.departure
	if d.wake == nil {
		d.isKnown, d.isSaved, d.wake = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	}
	return d
}

// Receive is like Announce for an announcement that the target sends: it waits until the
// departure that an earlier process saved is known, and until the one that the announcement
// tells of is saved. An announcement that would put the target into use before that is known
// is held.
func (a *Announcer) Receive(ctx context.Context, in Announcement) error {
	a.mu.Lock()
	isKnown := a.departureStateLocked().isKnown
	a.mu.Unlock()
	a.await(ctx, isKnown, recallTimeout)
	if isHeld, err := a.hold(in); isHeld || err != nil {
		return err
	}
	err := a.Announce(in)
	a.awaitSaved(ctx)
	return err
}

// hold keeps the announcement for later if it would put the target into use before it is known
// whether its run is leaving, and reports whether it does.
func (a *Announcer) hold(in Announcement) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	isLeaving := in.state() == tracker.StateDraining || in.state() == tracker.StateGone
	if a.Departures == nil || a.record.Sequence > 0 || isLeaving || in.Epoch == 0 || a.isDepartureKnown() {
		return false, nil
	}
	if err := a.checkOrder(in); err != nil {
		return false, err
	}
	if in.Epoch < a.held.Epoch || in.run() == a.held.run() && in.Sequence < a.held.Sequence {
		return true, nil
	}
	if a.held == (Announcement{}) {
		a.logger().Info("announcement-held", zap.String("run-id", in.RunID), zap.Uint64("epoch", in.Epoch))
	}
	if in.run() != a.held.run() {
		a.heldTimes = 0
	}
	a.held, a.heldAt = in, time.Now()
	a.heldTimes++
	return true, nil
}

// isDepartureKnown reports whether the store, or a peer, has said whether an earlier process
// knew of a departure. The caller holds mu.
func (a *Announcer) isDepartureKnown() bool {
	select {
	case <-a.departureStateLocked().isKnown:
		return true
	default:
		return false
	}
}

// LearnFromPeers records that Predecessor returns the record of an earlier process if any peer
// has one.
func (a *Announcer) LearnFromPeers() { a.applyHeld(true) }

// applyHeld records that the departure is known and applies the announcement that was held for
// it. It drops a heartbeat, so that the next one decides, if the target has been silent since, or
// if the news is not sure and no other one has come: it may be late.
func (a *Announcer) applyHeld(isSure bool) {
	a.mu.Lock()
	if !a.isDepartureKnown() {
		close(a.departure.isKnown)
	}
	held := a.held
	isSilent := time.Since(a.heldAt) > a.HeartbeatTimeout
	isDropped := a.HeartbeatTimeout > 0 && (isSilent || !isSure && a.heldTimes == 1)
	a.held = Announcement{}
	a.mu.Unlock()
	if held == (Announcement{}) || isDropped {
		return
	}
	if err := a.Announce(held); err != nil {
		a.Counters.Overtaken.Add(1)
	}
}

// ReceiveDeparture is like Depart for a departure that the target sends: it waits until it is
// saved.
func (a *Announcer) ReceiveDeparture(ctx context.Context, runID string, epoch uint64) error {
	err := a.Depart(runID, epoch)
	a.awaitSaved(ctx)
	return err
}

// await waits until c is closed, for at most d. It does not wait if no departures are kept.
func (a *Announcer) await(ctx context.Context, c <-chan struct{}, d time.Duration) {
	if a.Departures == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-c:
	case <-ctx.Done():
	}
}

// awaitSaved waits until the newest departure is saved, for at most saveTimeout.
func (a *Announcer) awaitSaved(ctx context.Context) {
	a.mu.Lock()
	d := a.departureStateLocked()
	isSaved, isPending := d.isSaved, d.newest != d.saved
	a.mu.Unlock()
	if isPending {
		a.await(ctx, isSaved, saveTimeout)
	}
}

// setDeparture records the run with the epoch as the one that departed last. The caller
// holds mu.
func (a *Announcer) setDeparture(epoch uint64) {
	d := a.departureStateLocked()
	if epoch == 0 || epoch == d.newest {
		return
	}
	d.newest = epoch
	a.wakeSaver()
}

// wakeSaver makes keepDepartures save the newest departure. The caller holds mu.
func (a *Announcer) wakeSaver() {
	select {
	case a.departureStateLocked().wake <- struct{}{}:
	default:
	}
}

// keepDepartures reads the departure that an earlier process saved, and saves those that
// this one learns of, until ctx ends.
func (a *Announcer) keepDepartures(ctx context.Context) {
	if a.Departures == nil {
		return
	}
	if a.retry(ctx, func() error { return a.recallDeparture(ctx) }) != nil {
		return
	}
	a.mu.Lock()
	wake := a.departureStateLocked().wake
	a.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		if a.retry(ctx, func() error { return a.saveDeparture(ctx) }) != nil {
			return
		}
	}
}

// retry calls f until it succeeds. It fails once ctx has ended.
func (a *Announcer) retry(ctx context.Context, f func() error) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = initialSaveBackoff, maxSaveBackoff
	for {
		err := f()
		if err == nil {
			return nil
		}
		a.Counters.StoreFailures.Add(1)
		if err := sleeper.Sleep(ctx, pauses.NextBackOff()); err != nil {
			return err
		}
	}
}

// recallDeparture reads the departure that an earlier process saved and applies it, and then
// the announcement that was held for it.
func (a *Announcer) recallDeparture(ctx context.Context) error {
	epoch, err := a.Departures.Load(ctx)
	if err != nil {
		return err
	}
	a.applyRecalled(epoch)
	// The store was away when the announcement came, so that it may lack a departure that an
	// earlier process could not save.
	a.applyHeld(false)
	return nil
}

// applyRecalled applies the departure that an earlier process saved, 0 if there is none.
func (a *Announcer) applyRecalled(epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.departureStateLocked()
	d.recalled = epoch
	if d.newest == 0 {
		d.newest = epoch
	}
	d.setSaved(epoch)
	if epoch == 0 {
		return
	}
	a.Counters.DeparturesRecalled.Add(1)
	a.logger().Info("departure-recalled", zap.Uint64("epoch", epoch))
	if a.record.Sequence > 0 && a.current.Epoch == epoch {
		// The run was announced before the store could be read.
		a.leaving, a.hasLeaving = a.current.run(), true
		a.publish()
	}
}

// saveDeparture saves the newest departure unless the store has it.
func (a *Announcer) saveDeparture(ctx context.Context) error {
	a.mu.Lock()
	d := a.departureStateLocked()
	epoch, isSaved := d.newest, d.newest == d.saved
	a.mu.Unlock()
	if isSaved {
		return nil
	}
	err := a.Departures.Save(ctx, epoch)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		// An earlier attempt without an answer took effect, or the store was restored.
		var kept uint64
		if kept, err = a.Departures.Load(ctx); err == nil && kept != epoch {
			err = a.Departures.Save(ctx, epoch)
		}
	}
	if err != nil {
		return err
	}
	a.Counters.DeparturesSaved.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	d.setSaved(epoch)
	if d.newest != epoch {
		a.wakeSaver()
	}
	return nil
}

// wasSaved reports whether an earlier process saved that the run with the epoch is leaving.
// The caller holds mu.
func (a *Announcer) wasSaved(epoch uint64) bool { return epoch != 0 && epoch == a.departure.recalled }

// RestoreDepartures writes the departures that a store that came back from an older copy has
// lost: that of this daemon's target, and those that the records of other daemons show.
func (a *Announcer) RestoreDepartures(ctx context.Context, records []tracker.Record) {
	if a.Departures == nil {
		return
	}
	a.mu.Lock()
	if d := a.departureStateLocked(); d.newest != 0 {
		d.saved = 0
		a.wakeSaver()
	}
	a.mu.Unlock()
	_ = a.retry(ctx, func() error { return a.Departures.Restore(ctx, records) })
}

// ForgetDeparture removes the saved departure if the target's process has ended, so that
// nothing is kept of an instance that is removed.
func (a *Announcer) ForgetDeparture(ctx context.Context) {
	a.mu.Lock()
	isKept, addr := a.departure.newest != 0, a.current.Address
	a.mu.Unlock()
	if a.Departures == nil || !isKept || addr == "" || !errors.Is(a.probe(ctx, addr), syscall.ECONNREFUSED) {
		return
	}
	if err := a.Departures.Delete(ctx); err != nil {
		a.Counters.StoreFailures.Add(1)
	}
}
