package spreader

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// A daemon that has just started knows a part of the fleet at first, or for as long as a cut
// lasts. The relays keep a roster of the instances of each failure domain in the store, by
// which such a daemon tells a part of the fleet from the whole.

const (
	// rosterPrefix starts the store keys of the rosters, which end with the failure domain. A
	// roster is read together with the relay slots, of which it is none.
	rosterPrefix = relayPrefix + "roster-"
	// rosterRounds is the number of heartbeats for which a roster differs from the table
	// before a relay replaces it.
	rosterRounds = 2
	// rosterTurn is how many lease TTLs a relay of the next slot waits longer. It has then read
	// what the relay of the slot before wrote.
	rosterTurn = 5
	// departureRounds is the number of heartbeats after which an instance that left as planned
	// is taken off the roster. A planned restart is over by then.
	departureRounds = 20
	// maxRosterInstances bounds the instances of a stored roster.
	maxRosterInstances = tracker.DefaultMaxRecords
)

// savedRoster is the value of a roster's key.
type savedRoster struct {
	// Instances holds the hashes of the instance IDs, sorted.
	Instances []uint32 `cbor:"1,keyasint"`
}

// roster is a roster as last read from the store or written there.
type roster struct {
	instances []uint32
	revision  storer.Revision
}

// instanceHash returns the hash by which a roster names an instance.
func instanceHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Strangers returns the number of instances that belong to the fleet by the rosters in the
// store, and of which this daemon has no record. isCounted is false until this daemon has read
// the store, where a fleet that starts for the first time has no roster yet.
func (s *Spreader) Strangers() (n int, isCounted bool) {
	s.init()
	if s.hasMetAll.Load() {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countStrangers(), s.areSlotsRead
}

// KnowsFleet reports whether this daemon has a record of every instance of the rosters.
func (s *Spreader) KnowsFleet() bool {
	n, _ := s.Strangers()
	s.mu.Lock()
	defer s.mu.Unlock()
	_, hasOwn := s.rosters[s.Domain]
	return n == 0 && hasOwn
}

// countStrangers implements Strangers. It counts anew only after a change. The caller holds mu.
func (s *Spreader) countStrangers() int {
	at := s.Table.Now()
	switch {
	case time.Since(s.began) > s.cfg.TombstoneRetention:
		return 0
	case s.areStrangersCounted && s.strangersAt == at:
		return s.strangers
	}
	known := make(map[uint32]struct{})
	for _, r := range s.Table.All() {
		known[instanceHash(r.InstanceID)] = struct{}{}
	}
	n := 0
	for _, r := range s.rosters {
		for _, h := range r.instances {
			if _, ok := known[h]; !ok {
				n++
			}
		}
	}
	s.strangers, s.strangersAt, s.areStrangersCounted = n, at, true
	// The table keeps the records of lost instances, so that it never knows less again.
	_, hasOwn := s.rosters[s.Domain]
	s.hasMetAll.Store(n == 0 && hasOwn)
	return n
}

// keepRoster keeps the roster that an item of the store holds. The caller holds mu.
func (s *Spreader) keepRoster(item storer.Item) {
	var saved savedRoster
	if err := cbor.Unmarshal(item.Value, &saved); err != nil || len(saved.Instances) > maxRosterInstances {
		// The relays replace it.
		s.Counters.Malformed.Add(1)
		s.Log.Warn("roster-malformed", zap.String("key", item.Key), zap.Error(err))
		saved = savedRoster{}
	}
	if s.rosters == nil {
		s.rosters = make(map[string]roster)
	}
	slices.Sort(saved.Instances)
	s.areStrangersCounted = false
	s.rosters[strings.TrimPrefix(item.Key, rosterPrefix)] = roster{instances: slices.Compact(saved.Instances), revision: item.Revision}
}

// maintainRosters keeps the roster of this failure domain like the table while this daemon
// holds the slot with the key.
func (s *Spreader) maintainRosters(ctx context.Context, key string) {
	turn := time.Duration(0)
	for i, o := range s.ownSlots(nil) {
		if o.key == key {
			turn = time.Duration(i) * rosterTurn * s.cfg.LeaseTTL
		}
	}
	var since, pruned time.Time
	for sleeper.Sleep(ctx, around(s.cfg.Heartbeat/2)) == nil {
		if time.Since(pruned) > s.cfg.LeaseTTL {
			pruned = time.Now()
			s.pruneRosters(ctx)
		}
		s.mu.Lock()
		present := s.rosters[s.Domain]
		s.mu.Unlock()
		next := s.nextRoster(s.Domain, present.instances)
		switch {
		case slices.Equal(next, present.instances):
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= rosterRounds*s.cfg.Heartbeat+turn:
			since = time.Time{}
			s.writeRoster(ctx, s.Domain, next, present.revision)
		}
	}
}

// pruneRosters takes departed instances off the rosters of other failure domains, which may
// have no relay any more. Of all relays one does so on average.
func (s *Spreader) pruneRosters(ctx context.Context) {
	s.mu.Lock()
	rosters := make(map[string]roster)
	if rand.N(max(1, len(s.slots))) == 0 {
		for domain, r := range s.rosters {
			if domain != s.Domain {
				rosters[domain] = r
			}
		}
	}
	s.mu.Unlock()
	for domain, r := range rosters {
		if next := s.nextRoster(domain, r.instances); len(next) < len(r.instances) {
			s.writeRoster(ctx, domain, next, r.revision)
		}
	}
}

// nextRoster returns the roster of a failure domain that follows from the present one and the
// table. Instances leave it if they left as planned, or if nothing was heard of them for
// TombstoneRetention: until then an instance that was lost may still run behind a cut.
func (s *Spreader) nextRoster(domain string, present []uint32) []uint32 {
	listed := make(map[uint32]bool)
	keepsStrangers := time.Since(s.began) < s.cfg.TombstoneRetention
	for _, h := range present {
		listed[h] = keepsStrangers
	}
	recent := make(map[string]bool)
	for _, r := range s.Table.GoneSince(time.Now().Add(-departureRounds * s.cfg.Heartbeat)) {
		recent[r.InstanceID] = true
	}
	for _, r := range s.Table.Domain(domain) {
		h := instanceHash(r.InstanceID)
		switch {
		case !r.HasLeft():
			listed[h] = true
		case !recent[r.InstanceID]:
			listed[h] = false
		}
	}
	var next []uint32
	for h, isListed := range listed {
		if isListed {
			next = append(next, h)
		}
	}
	slices.Sort(next)
	return next
}

// writeRoster replaces the roster of a failure domain, if it has the revision. Otherwise it
// reads the roster that another relay wrote, or that a restored store has.
func (s *Spreader) writeRoster(ctx context.Context, domain string, instances []uint32, expect storer.Revision) {
	value, err := cbor.Marshal(savedRoster{Instances: instances})
	if err != nil {
		return
	}
	key := rosterPrefix + domain
	revision, err := s.Store.CompareAndSwap(ctx, key, value, expect, 0)
	item := storer.Item{Key: key, Value: value, Revision: revision}
	var conflict *storer.ConflictError
	var missing *storer.NotFoundError
	if err == nil {
		s.Counters.RostersWritten.Add(1)
	} else if errors.As(err, &conflict) {
		item, err = s.Store.Get(ctx, key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.As(err, &missing):
		delete(s.rosters, domain)
		s.areStrangersCounted = false
	case err != nil:
		s.Counters.StoreFailures.Add(1)
	default:
		s.keepRoster(item)
	}
}
