package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/storer"
)

// headRestoreTimeout bounds the attempt to write a version that the store has lost.
const headRestoreTimeout = 10 * time.Second

// handleRestore logs that the store came back from an older copy of its data, and writes
// the newest version that this daemon knows if the store has lost it. A configuration of
// the platform's operators is theirs to write again.
func (d *Daemon) handleRestore(former, era storer.Era) {
	d.log.Warn("store-restored", zap.Uint64("era", uint64(era)), zap.Uint64("former-era", uint64(former)))
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
