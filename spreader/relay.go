package spreader

import (
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
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// revokeTimeout bounds the handing back of a lease.
	revokeTimeout = time.Second
	// flushPoll is the time between two looks at what is still to be sent.
	flushPoll = 10 * time.Millisecond
)

func slotKey(domain string, n int) string { return fmt.Sprintf("%s%s/%d", relayPrefix, domain, n) }

func slotDomain(key string) (string, bool) {
	domain, _, ok := strings.Cut(strings.TrimPrefix(key, relayPrefix), "/")
	return domain, ok
}

// ownSlots returns all slots of the own failure domain, vacant ones included.
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

// takeSlot takes a relay slot and serves it until another daemon has it. It
// returns false when another daemon took it first.
func (s *Spreader) takeSlot(ctx context.Context, free slot) bool {
	lease, err := s.Store.Grant(ctx, s.cfg.LeaseTTL)
	if err != nil {
		s.Counters.StoreFailures.Add(1)
		return true
	}
	if _, err := s.Store.CompareAndSwap(ctx, free.key, []byte(s.PeerAddress), free.revision, lease); err != nil {
		var conflict *storer.ConflictError
		if errors.As(err, &conflict) {
			s.revoke(ctx, lease)
			return false
		}
		s.Counters.StoreFailures.Add(1)
		return true
	}
	s.Counters.LeasesTaken.Add(1)
	s.Log.Info("relay-begun", zap.String("slot", free.key))
	s.relay(ctx, free.key, lease)
	s.Log.Info("relay-ended", zap.String("slot", free.key))
	return true
}

func (s *Spreader) revoke(ctx context.Context, lease storer.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = s.Store.Revoke(ctx, lease)
}

// relay watches the head and keeps the links to other relays while this daemon
// holds the slot. An unreachable store does not end the duty.
func (s *Spreader) relay(ctx context.Context, key string, lease storer.LeaseID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setSlot(key)
	defer s.setSlot("")
	var wg sync.WaitGroup
	if s.External == nil {
		wg.Go(func() { s.watchHead(ctx) })
	}
	wg.Go(func() { s.keepNeighbors(ctx, key) })
	s.keepLease(ctx, key, lease)
	cancel()
	wg.Wait()
}

func (s *Spreader) setSlot(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relaySlot = key
}

// keepLease renews the lease, and returns once another daemon holds the slot.
func (s *Spreader) keepLease(ctx context.Context, key string, lease storer.LeaseID) {
	for sleeper.Sleep(ctx, s.cfg.LeaseTTL/3) == nil {
		err := s.Store.Renew(ctx, lease)
		var missing *storer.NotFoundError
		if errors.As(err, &missing) {
			s.Counters.LeasesLost.Add(1)
			if lease, err = s.retake(ctx, key); errors.Is(err, errSlotTaken) {
				return
			}
		}
		if err != nil {
			s.Counters.StoreFailures.Add(1)
			continue
		}
		if s.isTaken(key) {
			break
		}
	}
	s.revoke(ctx, lease)
}

var errSlotTaken = errors.New("another daemon holds the relay slot")

// retake takes the slot again under a new lease, if nobody else has it.
func (s *Spreader) retake(ctx context.Context, key string) (storer.LeaseID, error) {
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
		return lease, err
	}
	s.Counters.LeasesTaken.Add(1)
	return lease, nil
}

// isTaken says whether another daemon held the slot when the slots were last
// read.
func (s *Spreader) isTaken(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.slots {
		if o.key == key {
			return o.addr != s.PeerAddress
		}
	}
	return false
}

// watchHead follows the head until ctx ends.
func (s *Spreader) watchHead(ctx context.Context) {
	var after storer.Revision
	var version versioner.Version
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		item, err := s.Store.Watch(ctx, s.headKey(), after, s.cfg.WatchWait)
		var unchanged *storer.NotFoundError
		if errors.As(err, &unchanged) {
			failures = s.storeRegained(failures)
			s.confirm(version, began)
			if time.Since(began) < s.cfg.WatchWait/2 {
				// There is no head yet, or nothing to wait on.
				_ = sleeper.Sleep(ctx, around(s.cfg.WatchWait/16))
			}
			continue
		}
		if err == nil {
			version, err = s.takeItem(ctx, item, began)
		}
		if err != nil {
			s.Counters.StoreFailures.Add(1)
			if failures == 0 {
				s.Log.Warn("store-lost", zap.Error(err), zap.Duration("silent", time.Since(began)))
			}
			failures++
			_ = sleeper.Sleep(ctx, around(min(s.cfg.LeaseTTL/6, firstStorePause<<min(failures, maxPauseDoublings))))
			continue
		}
		failures = s.storeRegained(failures)
		after = item.Revision
		if s.External != nil {
			_ = sleeper.Sleep(ctx, s.cfg.Heartbeat*externalPause/100)
		}
	}
}

// storeRegained notes that the store answers again after failures, and returns
// the new number of failures.
func (s *Spreader) storeRegained(failures int) int {
	if failures > 0 {
		s.Log.Info("store-regained", zap.Int("failures", failures))
	}
	return 0
}

const (
	// firstStorePause is the mean pause after the first failed call of a watch; it
	// doubles with each further one.
	firstStorePause   = 50 * time.Millisecond
	maxPauseDoublings = 10
)

// pollHead reads the head at intervals until ctx ends.
func (s *Spreader) pollHead(ctx context.Context) {
	wait := jitter(s.cfg.PollInterval)
	for sleeper.Sleep(ctx, wait) == nil {
		began := time.Now()
		item, err := s.Store.Get(ctx, s.headKey())
		if err == nil {
			_, err = s.takeItem(ctx, item, began)
		}
		if err != nil {
			s.Counters.StoreFailures.Add(1)
		}
		wait = s.cfg.PollInterval
	}
}

// headKey is where the store holds what names the newest version.
func (s *Spreader) headKey() string {
	if s.External != nil {
		return s.External.Key
	}
	return acceptor.HeadKey
}

// takeItem takes in the head as the store answered it to a call that began at
// the time, and returns the version that it names.
func (s *Spreader) takeItem(ctx context.Context, item storer.Item, began time.Time) (versioner.Version, error) {
	if s.External != nil {
		return s.takeExternal(item, began), nil
	}
	head, err := acceptor.DecodeHead(item.Value)
	if err != nil {
		s.Counters.Malformed.Add(1)
		return 0, err
	}
	if err := s.takeHead(ctx, head); err != nil {
		return 0, err
	}
	s.confirm(head.Version, began)
	return head.Version, nil
}

// takeAppointment leaves the parent in order to take a vacant relay slot.
func (s *Spreader) takeAppointment(sess *session, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess != s.parent {
		return
	}
	s.appointed = key
	sess.left = true
	sess.close()
}

func (s *Spreader) takeAppointed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := s.appointed
	s.appointed = ""
	return key
}

// appoint asks a child of the own failure domain to take a vacant slot.
func (s *Spreader) appoint(own []slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range own {
		if o.addr != "" {
			continue
		}
		var best *session
		for _, sess := range s.sessions {
			if sess.role == roleChild && sess.domain == s.Domain && (best == nil || s.width(sess) > s.width(best)) {
				best = sess
			}
		}
		if best != nil {
			best.add(&messenger.Appoint{Slot: o.key})
			return
		}
	}
}

// Flush waits until the sessions have sent the records that they have, or ctx
// ends. A daemon that leaves calls it after its last announcement.
func (s *Spreader) Flush(ctx context.Context) {
	s.init()
	for s.hasUnsent() && sleeper.Sleep(ctx, flushPoll) == nil {
	}
}

// hasUnsent says whether a session still has records to send.
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

// width returns the bandwidth of the link of a session's daemon; one that is not
// known counts as wide.
func (s *Spreader) width(sess *session) int {
	r, ok := s.Table.Find(sess.node.InstanceID)
	if !ok || r.LinkKbps == 0 {
		return math.MaxInt
	}
	return r.LinkKbps
}
