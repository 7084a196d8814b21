package announcer

import (
	"context"
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// departurePrefix begins the store's keys of departures; an instance ID follows.
const departurePrefix = "departures/"

// DepartureLog keeps the newest departure of an instance's target in the store, one key an
// instance. Store and InstanceID must be set. The methods must not be called concurrently,
// except Restore.
type DepartureLog struct {
	Store      storer.Client
	InstanceID string

	// revision is that of the key when it was last read or written, 0 if it does not exist.
	revision storer.Revision
}

// savedDeparture is the value of a key.
type savedDeparture struct {
	// Epoch is that of the run that is leaving or has left.
	Epoch uint64 `cbor:"1,keyasint"`
}

// Load returns the epoch of the run that departed last, or 0 if none is known.
func (l *DepartureLog) Load(ctx context.Context) (epoch uint64, err error) {
	item, err := l.Store.Get(ctx, departurePrefix+l.InstanceID)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		l.revision = 0
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	l.revision = item.Revision
	var saved savedDeparture
	if err := cbor.Unmarshal(item.Value, &saved); err != nil {
		// The next departure replaces a value that can't be read.
		return 0, nil
	}
	return saved.Epoch, nil
}

// Save writes that the run with the epoch departed. It fails with a *storer.ConflictError if
// the key has changed since it was last read or written; Load then makes the next attempt
// possible.
func (l *DepartureLog) Save(ctx context.Context, epoch uint64) error {
	revision, err := writeDeparture(ctx, l.Store, l.InstanceID, epoch, l.revision)
	if err == nil {
		l.revision = revision
	}
	return err
}

// Delete removes the departure.
func (l *DepartureLog) Delete(ctx context.Context) error {
	item, err := l.Store.Get(ctx, departurePrefix+l.InstanceID)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	return l.Store.Delete(ctx, item.Key, item.Revision)
}

// Restore writes the departures that the records of other instances show and the store has
// lost.
func (l *DepartureLog) Restore(ctx context.Context, records []tracker.Record) error {
	var departed []tracker.Record
	for _, r := range records {
		if r.TargetLeaving && r.Epoch != 0 && r.InstanceID != l.InstanceID {
			departed = append(departed, r)
		}
	}
	if len(departed) == 0 {
		return nil
	}
	items, err := l.Store.List(ctx, departurePrefix)
	if err != nil {
		return err
	}
	kept := make(map[string]bool, len(items))
	for _, item := range items {
		kept[strings.TrimPrefix(item.Key, departurePrefix)] = true
	}
	var failed error
	for _, r := range departed {
		if kept[r.InstanceID] {
			continue
		}
		_, err := writeDeparture(ctx, l.Store, r.InstanceID, r.Epoch, 0)
		var conflict *storer.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			failed = err
		}
	}
	return failed
}

// writeDeparture writes an instance's departure if its key is at the given revision.
func writeDeparture(ctx context.Context, store storer.Client, instanceID string, epoch uint64, expect storer.Revision) (storer.Revision, error) {
	value, err := cbor.Marshal(savedDeparture{Epoch: epoch})
	if err != nil {
		return 0, errorx.Decorate(err, "encoding the departure of %s", instanceID)
	}
	return store.CompareAndSwap(ctx, departurePrefix+instanceID, value, expect, 0)
}
