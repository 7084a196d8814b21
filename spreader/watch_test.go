package spreader

import (
	"context"
	"math/bits"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/fakestorer"
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
		go s.watchHead(ctx, watchPace{})
		synctest.Wait()
		cancel()
		synctest.Wait()
		if got := s.Counters.StoreFailures.Value(); got != 0 {
			t.Errorf("failed calls of the store: got %d, want 0", got)
		}
	})
}

// TestWatchBacksOffFromAStoreThatIsDown guards against all daemons without a source of versions
// calling a store that is down as often as the few that watch it by duty.
func TestWatchBacksOffFromAStoreThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(fakestorer.FaultInjector)
		store.Set(fakestorer.Fault{IsDown: true})
		s := &Spreader{
			Store: store, Applier: new(applier.Applier), Table: new(tracker.Table), Log: zap.NewNop(),
			External: &External{Key: externalKey, Decode: decodeNumber},
		}
		s.init()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s.watchHead(ctx, watchPace{maxBackoff: s.cfg.LeaseTTL})
		// A pause is at least half of its mean, and its mean doubles up to LeaseTTL.
		doublings := int64(bits.Len64(uint64(s.cfg.LeaseTTL / storeBackoffBase)))
		if got, most := s.Counters.StoreFailures.Value(), int64(time.Minute/(s.cfg.LeaseTTL/2))+doublings; got > most {
			t.Errorf("failed calls in a minute: got %d, want at most %d", got, most)
		}
	})
}
