// Package fakestorer is a stand-in of the platform's key-value service.
//
// It keeps everything in memory, speaks the HTTP protocol that package storer
// expects, and counts each call, a waiting watch as one. It is meant for tests,
// demonstrations and measurements.
package fakestorer

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"bambooweir.example/bambooweir/storer"
)

// Counts is the number of calls that the service answered, by kind.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory key-value service. The zero value works.
type Store struct {
	mu sync.Mutex
	// revision is the newest write's; it only grows.
	revision storer.Revision
	items    map[string]storer.Item
	leases   map[storer.LeaseID]lease
	nextID   storer.LeaseID
	changed  chan struct{}
	counts   Counts
}

var _ storer.Client = (*Store)(nil)

// Counts returns the calls answered so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// lock takes the mutex, prepares the zero value and ends expired leases.
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
			s.end(id)
		}
	}
}

// end removes a lease and its keys. The caller holds mu.
func (s *Store) end(id storer.LeaseID) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			delete(s.items, key)
			s.bump()
		}
	}
}

// bump advances the revision and wakes the watches. The caller holds mu.
func (s *Store) bump() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
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
	items := []storer.Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, nil
}

// CompareAndSwap implements storer.Client.
func (s *Store) CompareAndSwap(_ context.Context, key string, value []byte, expect storer.Revision, id storer.LeaseID) (storer.Revision, error) {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if current := s.items[key].Revision; current != expect {
		return 0, &storer.ConflictError{Key: key, Current: current}
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, &storer.NotFoundError{Key: "lease"}
	}
	s.bump()
	s.items[key] = storer.Item{Key: key, Value: value, Revision: s.revision, Lease: id}
	return s.revision, nil
}

// Delete implements storer.Client.
func (s *Store) Delete(_ context.Context, key string, expect storer.Revision) error {
	s.lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if current := s.items[key].Revision; current != expect {
		return &storer.ConflictError{Key: key, Current: current}
	}
	delete(s.items, key)
	s.bump()
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
	s.end(id)
	return nil
}
