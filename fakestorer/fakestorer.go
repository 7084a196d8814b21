// Package fakestorer is an in-memory fake of the platform's key-value service for
// tests, demonstrations and measurements.
//
// A Store counts the calls; a watch counts as one call however long it waits. Package
// platform serves a Store over the platform's protocol.
package fakestorer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bambooweir.example/bambooweir/storer"
)

// Counts holds the number of calls that the service received, by kind.
type Counts struct {
	Reads      int64 `json:"reads"`
	StaleReads int64 `json:"stale-reads"`
	Writes     int64 `json:"writes"`
	Watches    int64 `json:"watches"`
}

// lease is a lease that ends at expires unless it is renewed for another ttl.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// defaultPageItems is the default of Store.PageItems.
const defaultPageItems = 500

// Store is an in-memory key-value service. The zero value is ready to use.
type Store struct {
	// PageItems is the maximum number of items that Page returns; 0 means 500.
	PageItems int

	mu sync.Mutex
	// revision is the revision of the newest write. Only Restore decreases it.
	revision storer.Revision
	items    map[string]storer.Item
	// history holds the changes after revision compacted, oldest first.
	history   []storer.Event
	compacted storer.Revision
	leases    map[storer.LeaseID]lease
	nextID    storer.LeaseID
	// restores is the number of times that Restore was called.
	restores storer.Era
	// changed is closed and replaced on each write.
	changed chan struct{}
	counts  Counts
}

// Copy holds the data of a Store at one time.
type Copy struct {
	revision storer.Revision
	items    map[string]storer.Item
	leases   map[storer.LeaseID]lease
	nextID   storer.LeaseID
}

// Copy returns a copy of the data.
func (s *Store) Copy() Copy {
	s.lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases), nextID: s.nextID}
}

// Restore replaces the data by an older copy, as after a loss of the service's storage:
// what was written since is gone, and revisions and lease IDs are given out again. The
// history is empty then.
func (s *Store) Restore(c Copy) {
	s.lock()
	defer s.mu.Unlock()
	s.restores++
	rebase := func(r storer.Revision) storer.Revision { return storer.NewRevision(s.restores+1, r.Number()) }
	s.revision, s.nextID = rebase(c.revision), c.nextID
	s.items, s.leases = maps.Clone(c.items), maps.Clone(c.leases)
	for key, item := range s.items {
		item.Revision, item.Created = rebase(item.Revision), rebase(item.Created)
		s.items[key] = item
	}
	s.history, s.compacted = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the era of the data, which rises with each Restore. The first is 1.
func (s *Store) Era() storer.Era {
	s.lock()
	defer s.mu.Unlock()
	return s.restores + 1
}

var _ storer.PrefixWatcher = (*Store)(nil)

// Counts returns the number of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// lock locks mu, initializes the zero value and ends expired leases.
func (s *Store) lock() {
	s.mu.Lock()
	if s.items == nil {
		s.items = make(map[string]storer.Item)
		s.leases = make(map[storer.LeaseID]lease)
		s.changed = make(chan struct{})
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys, each at a new revision. The caller holds
// mu.
func (s *Store) endLease(id storer.LeaseID) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.advanceRevision()
			s.removeItem(key)
		}
	}
}

// removeItem deletes a key at the current revision. The caller holds mu.
func (s *Store) removeItem(key string) {
	delete(s.items, key)
	s.history = append(s.history, storer.Event{Item: storer.Item{Key: key, Revision: s.revision}, IsDeleted: true})
}

// advanceRevision advances the revision and wakes the watches. The caller holds mu.
func (s *Store) advanceRevision() {
	s.revision = storer.NewRevision(s.restores+1, s.revision.Number()+1)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history of changes, as the real service may at any time.
func (s *Store) Compact() {
	s.lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// EndLeases ends every lease, as after an outage in which they could not be renewed.
func (s *Store) EndLeases() {
	s.lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Get implements storer.Client.
func (s *Store) Get(_ context.Context, key string) (storer.Item, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	item, ok := s.items[key]
	if !ok {
		return storer.Item{}, &storer.NotFoundError{Key: key}
	}
	return item, nil
}

// List implements storer.Client.
func (s *Store) List(_ context.Context, prefix string) ([]storer.Item, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.list(prefix, ""), nil
}

// ListAt implements storer.PrefixWatcher.
func (s *Store) ListAt(_ context.Context, prefix string) ([]storer.Item, storer.Revision, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.list(prefix, ""), s.revision, nil
}

// AwaitChange implements storer.PrefixWatcher.
func (s *Store) AwaitChange(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) (storer.Revision, error) {
	events, at, err := s.Changes(ctx, prefix, after, wait)
	if err == nil && len(events) == 0 {
		err = &storer.NotFoundError{Key: prefix}
	}
	return at, err
}

// ListStale implements storer.Client. The items are not stale.
func (s *Store) ListStale(_ context.Context, prefix string) ([]storer.Item, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.StaleReads++
	return s.list(prefix, ""), nil
}

// list returns the items whose keys have the prefix and are greater than after,
// sorted by key. The caller holds mu.
func (s *Store) list(prefix, after string) []storer.Item {
	items := []storer.Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b storer.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// Page returns at most PageItems items whose keys have the prefix and are greater
// than after, sorted by key, whether there are more, and the newest revision.
func (s *Store) Page(_ context.Context, prefix, after string) ([]storer.Item, bool, storer.Revision, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	items := s.list(prefix, after)
	limit := cmp.Or(s.PageItems, defaultPageItems)
	return items[:min(limit, len(items))], len(items) > limit, s.revision, nil
}

// CompareAndSwap implements storer.Client.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expect storer.Revision, id storer.LeaseID) (storer.Revision, error) {
	return s.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Revision: expect}},
		Puts:       []storer.Put{{Key: key, Value: value, Lease: id}},
	})
}

// Delete implements storer.Client.
func (s *Store) Delete(ctx context.Context, key string, expect storer.Revision) error {
	_, err := s.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Revision: expect}}, Deletes: []string{key},
	})
	return err
}

// Commit applies a transaction at one new revision if its conditions hold, and
// fails with a *storer.ConflictError otherwise.
func (s *Store) Commit(_ context.Context, t storer.Transaction) (storer.Revision, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if err := s.check(t); err != nil {
		return 0, err
	}
	s.advanceRevision()
	for _, p := range t.Puts {
		item := storer.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			item.Created = old.Created
		}
		s.items[p.Key] = item
		s.history = append(s.history, storer.Event{Item: item})
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.removeItem(key)
		}
	}
	return s.revision, nil
}

// check returns a *storer.ConflictError if a condition of the transaction does not
// hold, and a *storer.NotFoundError if a lease does not exist. The caller holds mu.
func (s *Store) check(t storer.Transaction) error {
	var conflict *storer.ConflictError
	var present []storer.Item
	for _, c := range t.Conditions {
		item, ok := s.items[c.Key]
		if ok {
			present = append(present, item)
		}
		if item.Revision != c.Revision && conflict == nil {
			conflict = &storer.ConflictError{Key: c.Key, Current: item.Revision}
		}
	}
	if conflict != nil {
		conflict.Items = present
		return conflict
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return &storer.NotFoundError{Key: "lease"}
		}
	}
	return nil
}

// Watch implements storer.Client.
func (s *Store) Watch(ctx context.Context, key string, after storer.Revision, wait time.Duration) (storer.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.lock()
	s.counts.Watches++
	for {
		item, ok := s.items[key]
		changed := s.changed
		s.mu.Unlock()
		if ok && item.Revision > after {
			return item, nil
		}
		select {
		case <-ctx.Done():
			return storer.Item{}, &storer.NotFoundError{Key: key}
		case <-changed:
		}
		s.lock()
	}
}

// Changes waits until there are changes of keys with the prefix after the given
// revision, or until wait has passed, and returns the changes and the newest
// revision. It fails with a *storer.CompactedError if Compact may have discarded
// some of the changes, or if there is no such revision.
func (s *Store) Changes(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.lock()
	s.counts.Watches++
	for {
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			return nil, 0, &storer.CompactedError{After: after}
		}
		var events []storer.Event
		for _, e := range s.history {
			if e.Item.Revision > after && strings.HasPrefix(e.Item.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			return events, at, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
		s.lock()
	}
}

// Grant implements storer.Client.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (storer.LeaseID, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.nextID, nil
}

// Renew implements storer.Client.
func (s *Store) Renew(_ context.Context, id storer.LeaseID) error {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	l, ok := s.leases[id]
	if !ok {
		return &storer.NotFoundError{Key: "lease"}
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke implements storer.Client.
func (s *Store) Revoke(_ context.Context, id storer.LeaseID) error {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.endLease(id)
	return nil
}
