package spreader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// waitingStore is a store whose watches wait until their callers end them, and fail then, as
// calls over a network do.
type waitingStore struct{ storer.Client }

func (waitingStore) Watch(ctx context.Context, _ string, _ storer.Revision, _ time.Duration) (storer.Item, error) {
	<-ctx.Done()
	return storer.Item{}, &storer.UnavailableError{Cause: ctx.Err()}
}

// TestEndedWatchIsNoLostStore guards against a daemon that leaves watching to others reporting
// that it lost the store.
func TestEndedWatchIsNoLostStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Spreader{
			Store: waitingStore{}, Applier: new(applier.Applier), Table: new(tracker.Table), Log: zap.NewNop(),
			External: &External{Key: externalKey, Decode: decodeNumber},
		}
		s.init()
		ctx, cancel := context.WithCancel(t.Context())
		go s.watchHead(ctx, 0)
		synctest.Wait()
		cancel()
		synctest.Wait()
		if got := s.Counters.StoreFailures.Value(); got != 0 {
			t.Errorf("failed calls of the store: got %d, want 0", got)
		}
	})
}
