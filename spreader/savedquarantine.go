package spreader

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
)

const (
	// quarantineKey is the store's key for the requests that have ended several targets. It is
	// read together with the relay slots, of which it is none.
	quarantineKey = relayPrefix + "quarantine"
	// maxSaved bounds the records in the store.
	maxSaved = 64
	// initialSaveBackoff is the first wait between two attempts to save the quarantine.
	initialSaveBackoff = 200 * time.Millisecond
)

// savedQuarantine is the value of quarantineKey.
type savedQuarantine struct {
	// SavedAtMS is when the ages of the records were true, in milliseconds of Unix time.
	SavedAtMS int64                `cbor:"1,keyasint"`
	Records   []quarantiner.Record `cbor:"2,keyasint"`
}

// saveQuarantine writes requests that this daemon found to have ended several targets to the
// store until ctx ends, so that they outlive the end of all daemons.
func (s *Spreader) saveQuarantine(ctx context.Context) {
	if s.Quarantine == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Quarantine.Unsaved():
		}
		retry := backoff.NewExponentialBackOff()
		retry.InitialInterval, retry.MaxInterval = initialSaveBackoff, s.cfg.LeaseTTL
		for {
			err := s.trySave(ctx)
			if err == nil {
				break
			}
			var conflict *storer.ConflictError
			if !errors.As(err, &conflict) {
				s.Counters.StoreFailures.Add(1)
			}
			if sleeper.Sleep(ctx, retry.NextBackOff()) != nil {
				return
			}
		}
	}
}

// trySave adds the convicted requests of this daemon's table to those in the store, unless these
// are the same.
func (s *Spreader) trySave(ctx context.Context) error {
	item, err := s.Store.Get(ctx, quarantineKey)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	saved := s.loadQuarantine(item)
	records := s.Quarantine.ConvictedShare(maxSaved)
	if containsRecords(saved, records) {
		return nil
	}
	value, err := cbor.Marshal(savedQuarantine{SavedAtMS: time.Now().UnixMilli(), Records: records})
	if err != nil {
		return err
	}
	_, err = s.Store.CompareAndSwap(ctx, quarantineKey, value, item.Revision, 0)
	return err
}

// containsRecords reports whether the saved records hold all crashes of the others.
func containsRecords(saved, others []quarantiner.Record) bool {
	return !slices.ContainsFunc(others, func(r quarantiner.Record) bool {
		return !slices.ContainsFunc(saved, func(s quarantiner.Record) bool {
			return s.Request == r.Request && s.Service == r.Service && s.Cleared == r.Cleared && slices.Equal(s.Crashes, r.Crashes)
		})
	})
}

// loadQuarantine merges the requests of a store item into this daemon's table,
// and returns them. An item that can't be read holds none, and the next save replaces it.
func (s *Spreader) loadQuarantine(item storer.Item) []quarantiner.Record {
	if s.Quarantine == nil || len(item.Value) == 0 {
		return nil
	}
	var saved savedQuarantine
	if err := cbor.Unmarshal(item.Value, &saved); err != nil {
		s.Log.Warn("quarantine-malformed", zap.Error(err))
		return nil
	}
	// Clocks of two machines may differ.
	since := max(0, time.Now().UnixMilli()-saved.SavedAtMS)
	for i := range saved.Records {
		saved.Records[i].AgeMS += since
	}
	records := saved.Records[:min(len(saved.Records), maxSaved)]
	s.Quarantine.Merge(records, 0)
	return records
}
