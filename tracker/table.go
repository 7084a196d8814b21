package tracker

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// journalLength bounds the changes that Since can look back on.
	journalLength = 16_384
	// departureRetention is how long Departed names a target that left.
	departureRetention = time.Hour
)

// Source names the session that a record came from. 0 means this daemon.
type Source uint64

// Cursor is a position in the order in which a table changed.
type Cursor uint64

// Departure is a target that left, and when this daemon learned it.
type Departure struct {
	Record Record
	At     time.Time
	// Returned says that the process was only thought to have left, and came back at At.
	Returned bool
}

type entry struct {
	record Record
	// at is the position in the journal of the newest change.
	at     Cursor
	source Source
	goneAt time.Time
}

// view is what readers see. A view is never changed once it is stored.
type view struct {
	byService map[string][]Record
	draining  map[string][]Record
	departed  map[string][]Departure
}

// Table is the set of known targets. The zero value is empty and works.
//
// Service and Departed take no lock. The other methods may be used by any
// goroutine.
type Table struct {
	mu        sync.Mutex
	entries   map[string]*entry
	byService map[string]map[string]*entry
	// lost holds, by service, the processes that were replaced or came back.
	lost    map[string][]Departure
	digests map[string]uint64
	// journal holds the instances in the order of their changes; journal[0] is
	// at position first.
	journal []string
	first   Cursor
	view    atomic.Pointer[view]
}

// Merge takes in the records that are newer than those known, and returns them.
func (t *Table) Merge(records []Record) []Record { return t.MergeFrom(records, 0) }

// MergeFrom is Merge for records that a session brought.
func (t *Table) MergeFrom(records []Record, from Source) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	var changed []Record
	touched := make(map[string]struct{})
	for _, r := range records {
		old, ok := t.entries[r.InstanceID]
		if ok && !r.Newer(old.record) {
			continue
		}
		if ok {
			touched[old.record.Service] = struct{}{}
			t.noteLost(old.record, r)
		}
		touched[r.Service] = struct{}{}
		t.put(r, from)
		changed = append(changed, r)
	}
	if len(changed) > 0 {
		t.publish(touched)
	}
	return changed
}

// noteLost notes a process whose place another one has taken, and one that
// comes back after it was held to be gone. The caller holds mu.
func (t *Table) noteLost(old, next Record) {
	replaced := next.Incarnation > old.Incarnation && !old.HandedOver
	returned := next.Incarnation == old.Incarnation && old.State == StateGone && next.State != StateGone
	if !replaced && !returned {
		return
	}
	oldest := time.Now().Add(-departureRetention)
	kept := slices.DeleteFunc(slices.Clone(t.lost[old.Service]), func(d Departure) bool { return d.At.Before(oldest) })
	t.lost[old.Service] = append(kept, Departure{Record: old, At: time.Now(), Returned: returned})
}

func (t *Table) prepare() {
	if t.entries != nil {
		return
	}
	t.entries = make(map[string]*entry)
	t.byService = make(map[string]map[string]*entry)
	t.digests = make(map[string]uint64)
	t.lost = make(map[string][]Departure)
}

// put replaces one record. The caller holds mu.
func (t *Table) put(r Record, from Source) {
	t.remove(r.InstanceID)
	e := &entry{record: r, source: from, at: t.first + Cursor(len(t.journal))}
	if r.State == StateGone {
		e.goneAt = time.Now()
	}
	t.entries[r.InstanceID] = e
	members := t.byService[r.Service]
	if members == nil {
		members = make(map[string]*entry)
		t.byService[r.Service] = members
	}
	members[r.InstanceID] = e
	t.digests[r.Domain] ^= fingerprint(r)
	t.journal = append(t.journal, r.InstanceID)
	if len(t.journal) >= 2*journalLength {
		t.journal = slices.Clone(t.journal[journalLength:])
		t.first += journalLength
	}
}

// remove forgets one record. The caller holds mu.
func (t *Table) remove(id string) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	delete(t.entries, id)
	delete(t.byService[e.record.Service], id)
	if len(t.byService[e.record.Service]) == 0 {
		delete(t.byService, e.record.Service)
	}
	t.digests[e.record.Domain] ^= fingerprint(e.record)
	if t.digests[e.record.Domain] == 0 {
		delete(t.digests, e.record.Domain)
	}
}

// fingerprint is 0 for departed targets, so that tables that purged them and
// tables that did not have equal digests.
func fingerprint(r Record) uint64 {
	if r.State == StateGone {
		return 0
	}
	var b [17]byte
	for i := range 8 {
		b[i] = byte(r.Incarnation >> (8 * i))
		b[8+i] = byte(r.Sequence >> (8 * i))
	}
	b[16] = byte(r.State)
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(r.InstanceID)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// publish builds the views of the touched services and swaps the view. All
// other services keep their slices. The caller holds mu.
func (t *Table) publish(touched map[string]struct{}) {
	next := &view{
		byService: make(map[string][]Record), draining: make(map[string][]Record), departed: make(map[string][]Departure),
	}
	if old := t.view.Load(); old != nil {
		next.byService = maps.Clone(old.byService)
		next.draining = maps.Clone(old.draining)
		next.departed = maps.Clone(old.departed)
	}
	for service := range touched {
		ready, draining, departed := t.split(service)
		setOrDelete(next.byService, service, ready)
		setOrDelete(next.draining, service, draining)
		setOrDelete(next.departed, service, departed)
	}
	t.view.Store(next)
}

func setOrDelete[V any](m map[string][]V, key string, values []V) {
	if len(values) == 0 {
		delete(m, key)
		return
	}
	m[key] = values
}

// split returns a service's ready and recently departed targets, each sorted
// by instance. The caller holds mu.
func (t *Table) split(service string) (ready, draining []Record, departed []Departure) {
	oldest := time.Now().Add(-departureRetention)
	for _, d := range t.lost[service] {
		if d.At.After(oldest) {
			departed = append(departed, d)
		}
	}
	for _, e := range t.byService[service] {
		switch {
		case e.record.State == StateReady:
			ready = append(ready, e.record)
		case e.record.State == StateDraining:
			draining = append(draining, e.record)
		case e.record.State == StateGone && e.goneAt.After(oldest):
			departed = append(departed, Departure{Record: e.record, At: e.goneAt})
		}
	}
	slices.SortFunc(ready, compareID)
	slices.SortFunc(departed, func(a, b Departure) int { return compareID(a.Record, b.Record) })
	slices.SortFunc(draining, compareID)
	return ready, draining, departed
}

func compareID(a, b Record) int { return cmp.Compare(a.InstanceID, b.InstanceID) }

// Service returns the ready targets of a service, sorted by instance. The
// slice must not be changed.
func (t *Table) Service(name string) []Record {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.byService[name]
}

// Draining returns the targets of a service that take no new calls and have
// not left, sorted by instance. The slice must not be changed.
func (t *Table) Draining(service string) []Record {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.draining[service]
}

// Departed returns the targets of a service that left within the last minutes,
// also those whose place another process has taken or that came back, sorted by
// instance. The slice must not be changed.
func (t *Table) Departed(service string) []Departure {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.departed[service]
}

// Purge forgets the targets that left before the time, and brings Departed up
// to date.
func (t *Table) Purge(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := make(map[string]struct{})
	for id, e := range t.entries {
		if e.record.State != StateGone {
			continue
		}
		touched[e.record.Service] = struct{}{}
		if e.goneAt.Before(before) {
			t.remove(id)
		}
	}
	if len(touched) > 0 {
		t.publish(touched)
	}
}

// All returns every record, sorted by instance. It copies the table.
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

// Find returns the record of an instance.
func (t *Table) Find(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// Domain returns every record of a failure domain, departed targets included.
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

// GoneSince returns the records of the targets that left at or after the time.
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

// Now returns the cursor behind the newest change.
func (t *Table) Now() Cursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.first + Cursor(len(t.journal))
}

// Since returns at most limit of the records that changed at or after the
// cursor and did not come from the source, with the cursor to go on from. It
// returns false when the journal does not reach back to the cursor.
func (t *Table) Since(from Cursor, skip Source, limit int) ([]Record, Cursor, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := t.first + Cursor(len(t.journal))
	if from < t.first {
		return nil, end, false
	}
	var records []Record
	for ; from < end && len(records) < limit; from++ {
		e, ok := t.entries[t.journal[from-t.first]]
		if !ok || e.at != from || (skip != 0 && e.source == skip) {
			continue
		}
		records = append(records, e.record)
	}
	return records, from, true
}

// Digest returns the digest of the whole table. Departed targets do not count.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, d := range t.digests {
		sum ^= d
	}
	return sum
}

// Digests returns the digest of each failure domain's records.
func (t *Table) Digests() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.digests)
}
