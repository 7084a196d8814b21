package spreader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/storer"
)

// leaseFaults is a store whose Grant and CompareAndSwap fail with the set errors.
type leaseFaults struct {
	*fakestorer.Store
	grant, swap error
	renewals    int
}

func (s *leaseFaults) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if s.grant != nil {
		return 0, s.grant
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *leaseFaults) CompareAndSwap(ctx context.Context, key string, value []byte, expect storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	if s.swap != nil {
		return 0, s.swap
	}
	return s.Store.CompareAndSwap(ctx, key, value, expect, lease)
}

func (s *leaseFaults) Renew(ctx context.Context, lease storer.LeaseID) error {
	s.renewals++
	return s.Store.Renew(ctx, lease)
}

// A relay whose lease has expired must claim its slot again, count the loss once however
// often the store fails meanwhile, and end at once if another daemon was faster.
func TestRelayWithExpiredLease(t *testing.T) {
	const key = "relay/mobile-bay/0"
	tests := []struct {
		name  string
		fault func(*leaseFaults)
		// wantEnd says that the relay ends; otherwise it holds the slot in the end.
		wantEnd bool
	}{
		{"no fault", func(*leaseFaults) {}, false},
		{"no lease can be had for a while", func(s *leaseFaults) { s.grant = &storer.UnavailableError{} }, false},
		{"the claim fails for a while", func(s *leaseFaults) { s.swap = &storer.UnavailableError{} }, false},
		{"another daemon claims the slot first", func(s *leaseFaults) { s.swap = &storer.ConflictError{} }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &leaseFaults{Store: new(fakestorer.Store)}
				s := &Spreader{Domain: "mobile-bay", PeerAddress: "10.0.0.1:1", Store: store, Log: zap.NewNop()}
				s.cfg = Settings{LeaseTTL: 3 * time.Second}
				ctx, cancel := context.WithCancel(t.Context())
				lease, err := store.Grant(ctx, s.cfg.LeaseTTL)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := store.CompareAndSwap(ctx, key, []byte(s.PeerAddress), 0, lease); err != nil {
					t.Fatal(err)
				}
				ended := false
				go func() {
					s.keepLease(ctx, key, lease)
					ended = true
				}()
				tt.fault(store)
				store.EndLeases()
				time.Sleep(5500 * time.Millisecond)
				synctest.Wait()
				if ended != tt.wantEnd {
					t.Errorf("relay ended: got %v, want %v", ended, tt.wantEnd)
				}
				if got := s.Counters.LeasesLost.Value(); got != 1 {
					t.Errorf("leases lost: got %d, want 1", got)
				}
				store.grant, store.swap = nil, nil
				time.Sleep(s.cfg.LeaseTTL)
				synctest.Wait()
				item, err := store.Get(ctx, key)
				if holds := err == nil && string(item.Value) == s.PeerAddress; holds == tt.wantEnd {
					t.Errorf("holds the slot in the end: got %v (%v), want %v", holds, err, !tt.wantEnd)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A daemon with a narrow link that starts beside others must join a relay that the store names
// with a read that may be old.
func TestNarrowDaemonJoinsWithACheapRead(t *testing.T) {
	f := newFleet(t)
	f.acceptVersion()
	f.startMembers(2, "mobile-bay")
	f.waitConverged()
	f.waitRelays()
	f.settings.HasNarrowLink = true
	before := f.store.Counts()
	late := f.start("mobile-bay-9", "mobile-bay", f.ip+":0")
	f.waitConverged(late)
	after := f.store.Counts()
	if got := after.StaleReads - before.StaleReads; got != 1 {
		t.Errorf("reads that may be old: got %d, want 1", got)
	}
}
