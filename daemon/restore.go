package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
)

const (
	// headRestoreTimeout bounds the attempt to write a version that the store has lost.
	headRestoreTimeout = 10 * time.Second
	// recordRestoreTimeout bounds the attempt to write the departures that it has lost.
	recordRestoreTimeout = time.Minute
	// recordRestoreJitter is the longest wait before departures and quarantined requests are
	// written, since all daemons that use the store learn of its return at the same time, and
	// one of them is enough.
	recordRestoreJitter = time.Second
)

// handleRestore logs that the store came back from an older copy of its data, and writes
// what this daemon knows and the store has lost: departures, quarantined requests, and the
// newest version. A configuration of the platform's operators is theirs to write again.
func (d *Daemon) handleRestore(former, era storer.Era) {
	d.log.Warn("store-restored", zap.Uint64("era", uint64(era)), zap.Uint64("former-era", uint64(former)))
	go d.restoreRecords()
	if d.cfg.Load().Platform {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), headRestoreTimeout)
		defer cancel()
		if err := d.operatorAPI.Acceptor.RestoreHead(ctx, d.spreader.Known()); err != nil {
			// Another daemon may have been first; the next change restores the head otherwise.
			d.log.Warn("head-not-restored", zap.Error(err))
		}
	}()
}

// restoreRecords writes what the store has lost of the quarantined requests, and of the
// departures of the targets in this daemon's failure domain.
func (d *Daemon) restoreRecords() {
	ctx, cancel := context.WithTimeout(context.Background(), recordRestoreTimeout)
	defer cancel()
	if sleeper.Sleep(ctx, rand.N(recordRestoreJitter)) != nil {
		return
	}
	d.quarantine.MarkUnsaved()
	d.announcer.RestoreDepartures(ctx, d.table.Domain(d.cfg.Load().FailureDomain))
}
