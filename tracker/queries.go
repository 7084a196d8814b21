package tracker

import (
	"maps"
	"slices"
	"time"
)

// Service returns the ready targets of a service, sorted by instance id. The
// caller must not modify the slice.
func (t *Table) Service(name string) []Record {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.ready[name]
}

// ReadySince returns when the ready targets of a service, or their runs, last changed. It is
// zero if the service never had one.
func (t *Table) ReadySince(service string) time.Time {
	v := t.view.Load()
	if v == nil {
		return time.Time{}
	}
	return v.readySince[service]
}

// Draining returns the targets of a service in StateDraining, which accept no new
// calls and are not gone, sorted by instance id. The caller must not modify the
// slice.
func (t *Table) Draining(service string) []Record {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.draining[service]
}

// Departed returns a service's departures whose At is within departureRetention,
// sorted by instance id. It includes processes that were replaced without a
// hand-over of their keys, and those that returned. An expired departure stays
// until a change or Purge rebuilds the service's view. The caller must not modify
// the slice.
func (t *Table) Departed(service string) []Departure {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.departed[service]
}

// All returns a copy of all records, sorted by instance id.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.record)
	}
	slices.SortFunc(all, compareID)
	return all
}

// LiveCount returns the number of instances that are not gone.
func (t *Table) LiveCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.record.State != StateGone {
			n++
		}
	}
	return n
}

// Find returns the record of an instance and whether there is one.
func (t *Table) Find(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// Domain returns all records of a failure domain, including departed targets.
func (t *Table) Domain(name string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, e := range t.entries {
		if e.record.Domain == name {
			records = append(records, e.record)
		}
	}
	return records
}

// GoneSince returns the records of the targets that this daemon learned to be
// gone at or after the given time.
func (t *Table) GoneSince(since time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, e := range t.entries {
		if e.record.State == StateGone && !e.goneAt.Before(since) {
			records = append(records, e.record)
		}
	}
	return records
}

// Digest returns the digest of the whole table. Departed targets do not
// contribute.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, d := range t.digests {
		sum ^= d
	}
	return sum
}

// Digests returns the digest of each failure domain's records. Departed targets
// do not contribute: a domain that has only tombstones has the digest 0 or none.
func (t *Table) Digests() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.digests)
}
