package spreader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/recoverer"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// revokeTimeout bounds the call that revokes a lease.
	revokeTimeout = time.Second
	// flushPollInterval is the time between two checks of Flush for unsent
	// records.
	flushPollInterval = 10 * time.Millisecond
)

// slotKey returns the store key of the nth relay slot of a failure domain.
func slotKey(domain string, n int) string { return fmt.Sprintf("%s%s/%d", relayPrefix, domain, n) }

// slotDomain returns the failure domain in the key of a relay slot, and whether
// the key has one.
func slotDomain(key string) (string, bool) {
	domain, _, ok := strings.Cut(strings.TrimPrefix(key, relayPrefix), "/")
	return domain, ok
}

// ownSlots returns all relay slots of this failure domain: those found in
// slots, and vacant ones for the rest.
func (s *Spreader) ownSlots(slots []slot) []slot {
	own := make([]slot, s.cfg.Slots)
	for n := range own {
		own[n] = slot{key: slotKey(s.Domain, n), domain: s.Domain}
		for _, o := range slots {
			if o.key == own[n].key {
				own[n] = o
			}
		}
	}
	return own
}

// claimSlot claims a relay slot under a new lease and serves as its relay until
// another daemon holds it. It returns false when another daemon claimed it
// first, and true also when the store failed.
func (s *Spreader) claimSlot(ctx context.Context, free slot) bool {
	lease, err := s.Store.Grant(ctx, s.cfg.LeaseTTL)
	if err != nil {
		s.Counters.StoreFailures.Add(1)
		return true
	}
	if _, err := s.Store.CompareAndSwap(ctx, free.key, []byte(s.PeerAddress), free.revision, lease); err != nil {
		var conflict *storer.ConflictError
		if errors.As(err, &conflict) {
			s.revokeLease(ctx, lease)
			return false
		}
		s.Counters.StoreFailures.Add(1)
		return true
	}
	s.Counters.LeasesTaken.Add(1)
	s.Log.Info("relay-begun", zap.String("slot", free.key))
	s.runRelay(ctx, free.key, lease)
	s.Log.Info("relay-ended", zap.String("slot", free.key))
	return true
}

// revokeLease revokes the lease, so that its slot is vacant before it expires.
// It does so even after ctx has ended.
func (s *Spreader) revokeLease(ctx context.Context, lease storer.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = s.Store.Revoke(ctx, lease)
}

// runRelay watches the head and keeps links to other relays while this daemon
// holds the slot. It goes on while the store is unreachable.
func (s *Spreader) runRelay(ctx context.Context, key string, lease storer.LeaseID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setSlot(key)
	defer s.setSlot("")
	var wg sync.WaitGroup
	if s.External == nil {
		wg.Go(func() { s.watchHead(ctx, watchPace{}) })
	}
	wg.Go(func() { s.keepNeighbors(ctx, key) })
	wg.Go(func() { s.maintainRosters(ctx, key) })
	s.keepLease(ctx, key, lease)
	cancel()
	wg.Wait()
}

// setSlot records the key of the relay slot that this daemon holds, "" for
// none.
func (s *Spreader) setSlot(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relaySlot = key
}

// keepLease renews the lease, and returns once another daemon holds the slot.
func (s *Spreader) keepLease(ctx context.Context, key string, lease storer.LeaseID) {
	isLost := false
	for sleeper.Sleep(ctx, s.cfg.LeaseTTL/3) == nil {
		var err error
		if !isLost {
			err = s.Store.Renew(ctx, lease)
			var missing *storer.NotFoundError
			if isLost = errors.As(err, &missing); isLost {
				s.Counters.LeasesLost.Add(1)
			}
		}
		if isLost {
			lease, err = s.reclaimSlot(ctx, key)
			if errors.Is(err, errSlotTaken) {
				return
			}
			isLost = err != nil
		}
		if err != nil {
			s.Counters.StoreFailures.Add(1)
			continue
		}
		if s.isHeldByOther(key) {
			break
		}
	}
	if !isLost {
		s.revokeLease(ctx, lease)
	}
}

var errSlotTaken = errors.New("another daemon holds the relay slot")

// reclaimSlot claims the slot again under a new lease. It fails with
// errSlotTaken if another daemon holds it.
func (s *Spreader) reclaimSlot(ctx context.Context, key string) (storer.LeaseID, error) {
	slots, err := s.readSlots(ctx)
	if err != nil {
		return 0, err
	}
	free := slot{key: key}
	for _, o := range slots {
		if o.key == key {
			free = o
		}
	}
	if free.addr != "" && free.addr != s.PeerAddress {
		return 0, errSlotTaken
	}
	lease, err := s.Store.Grant(ctx, s.cfg.LeaseTTL)
	if err != nil {
		return 0, err
	}
	if _, err := s.Store.CompareAndSwap(ctx, key, []byte(s.PeerAddress), free.revision, lease); err != nil {
		s.revokeLease(ctx, lease)
		var conflict *storer.ConflictError
		if errors.As(err, &conflict) {
			return 0, errSlotTaken
		}
		return 0, err
	}
	s.Counters.LeasesTaken.Add(1)
	return lease, nil
}

// isHeldByOther reports whether another daemon held the slot when the slots
// were last read.
func (s *Spreader) isHeldByOther(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.slots {
		if o.key == key {
			return o.addr != s.PeerAddress
		}
	}
	return false
}

// watchPace limits the calls of a watch.
type watchPace struct {
	// firstPause is the shortest time from the first answer to the next call.
	firstPause time.Duration
	// maxBackoff bounds the mean pause after a failed call; 0 means LeaseTTL/6.
	maxBackoff time.Duration
}

// watchHead watches the head, or the external configuration, and applies each
// new version until ctx ends.
func (s *Spreader) watchHead(ctx context.Context, pace watchPace) {
	var after storer.Revision
	var version versioner.Version
	failures := 0
	defer s.setStoreAnswering(false)
	for ctx.Err() == nil {
		began := time.Now()
		item, err := s.Store.Watch(ctx, s.headKey(), after, s.cfg.WatchWait)
		var unchanged *storer.NotFoundError
		if errors.As(err, &unchanged) {
			failures = s.resetFailures(failures)
			s.setStoreAnswering(true)
			s.recordConfirmation(version, began)
			if time.Since(began) < s.cfg.WatchWait/2 {
				// The store did not wait: there is no head yet, or nothing to wait for.
				_ = sleeper.Sleep(ctx, max(pace.firstPause, around(s.cfg.WatchWait/16)))
			}
			pace.firstPause = 0
			continue
		}
		if err == nil {
			version, err = s.handleHeadItem(ctx, item, began)
		}
		if err != nil && ctx.Err() != nil {
			return
		}
		s.setStoreAnswering(err == nil)
		if err != nil {
			s.Counters.StoreFailures.Add(1)
			if failures == 0 {
				s.Log.Warn("store-lost", zap.Error(err), zap.Duration("silent", time.Since(began)))
			}
			failures++
			_ = sleeper.Sleep(ctx, around(min(cmp.Or(pace.maxBackoff, s.cfg.LeaseTTL/6), storeBackoffBase<<min(failures, maxBackoffDoublings))))
			continue
		}
		failures = s.resetFailures(failures)
		after = item.Revision
		pause := pace.firstPause
		if s.External != nil {
			pause = max(pause, s.cfg.Heartbeat*watchPausePercent/100)
		}
		_ = sleeper.Sleep(ctx, pause)
		pace.firstPause = 0
	}
}

// resetFailures logs that the store answers again if calls of it have failed,
// and returns the new number of failures, 0.
func (s *Spreader) resetFailures(failures int) int {
	if failures > 0 {
		s.Log.Info("store-regained", zap.Int("failures", failures))
	}
	return 0
}

const (
	// storeBackoffBase is the base of the pause after failed calls of a watch:
	// after the nth failure in a row its mean is storeBackoffBase<<n, at most
	// watchPace.maxBackoff.
	storeBackoffBase = 50 * time.Millisecond
	// maxBackoffDoublings bounds n.
	maxBackoffDoublings = 10
)

// pollHead reads the head at intervals until ctx ends.
func (s *Spreader) pollHead(ctx context.Context) {
	wait := jitter(s.cfg.PollInterval)
	for sleeper.Sleep(ctx, wait) == nil {
		began := time.Now()
		item, err := s.Store.Get(ctx, s.headKey())
		if err == nil {
			_, err = s.handleHeadItem(ctx, item, began)
		}
		if err != nil {
			s.Counters.StoreFailures.Add(1)
		}
		wait = s.cfg.PollInterval
	}
}

// headKey returns the store key that names the newest version: that of the head
// or of the external configuration.
func (s *Spreader) headKey() string {
	if s.External != nil {
		return s.External.Key
	}
	return acceptor.HeadKey
}

// handleHeadItem applies the head, or the external configuration, that a call
// of the store returned, and returns the version that it names. began is when
// the call began.
func (s *Spreader) handleHeadItem(ctx context.Context, item storer.Item, began time.Time) (versioner.Version, error) {
	if s.External != nil {
		return s.handleExternalItem(item, began), nil
	}
	head, err := s.decodeHead(item.Value)
	if err != nil {
		s.Counters.Malformed.Add(1)
		return 0, err
	}
	if err := s.syncToHead(ctx, head); err != nil {
		return 0, err
	}
	s.recordConfirmation(head.Version, began)
	return head.Version, nil
}

// decodeHead returns the head that the value holds. A panic is an error.
func (s *Spreader) decodeHead(value []byte) (head acceptor.Head, err error) {
	defer recoverer.Recover(s.Log, "head", func() { err = errDecodePanic })
	return acceptor.DecodeHead(value)
}

// handleAppointment ends the session with the parent that appointed this
// daemon, in order to claim the vacant relay slot key.
func (s *Spreader) handleAppointment(sess *session, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess != s.parent {
		return
	}
	s.appointedSlot = key
	sess.endedLocally = true
	sess.close()
}

// consumeAppointment returns and clears the key of the appointed slot, "" for
// none.
func (s *Spreader) consumeAppointment() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := s.appointedSlot
	s.appointedSlot = ""
	return key
}

// appointChild asks the child of this failure domain with the widest link to
// claim a vacant slot.
func (s *Spreader) appointChild(own []slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range own {
		if o.addr != "" {
			continue
		}
		var best *session
		for _, sess := range s.sessions {
			if sess.role == roleChild && sess.domain == s.Domain && (best == nil || s.linkKbps(sess) > s.linkKbps(best)) {
				best = sess
			}
		}
		if best != nil {
			best.appendMessage(&messenger.Appoint{Slot: o.key})
			return
		}
	}
}

// Flush waits until no session has records left to send, or ctx ends. A daemon
// that leaves calls it after its last announcement.
func (s *Spreader) Flush(ctx context.Context) {
	s.init()
	for s.hasUnsent() && sleeper.Sleep(ctx, flushPollInterval) == nil {
	}
}

// hasUnsent reports whether a session still has records to send.
func (s *Spreader) hasUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if records, _, ok := s.Table.Since(sess.cursor, sess.id, 1); ok && len(records) > 0 {
			return true
		}
	}
	return false
}

// linkKbps returns the bandwidth of the link of a session's peer in kbit/s. An
// unknown bandwidth counts as unlimited.
func (s *Spreader) linkKbps(sess *session) int {
	r, ok := s.Table.Find(sess.node.InstanceID)
	if !ok || r.LinkKbps == 0 {
		return math.MaxInt
	}
	return r.LinkKbps
}
