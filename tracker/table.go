package tracker

import (
	"cmp"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minJournalLength is the number of most recent changes that Since can
	// always return. The journal is cut back to this length when it reaches
	// twice the length.
	minJournalLength = 16_384
	// departureRetention is how long Departed returns a departure, counted from
	// its At.
	departureRetention = time.Hour
	// DefaultMaxRecords bounds the records of a table whose MaxRecords is 0. It is many
	// times the number of targets and tombstones of the largest fleets.
	DefaultMaxRecords = 65_536
)

// Counters count what a Table decides.
type Counters struct {
	// Rejected counts records of unknown instances that arrived while the table was full.
	Rejected expvar.Int
}

// Source identifies the session over which a record arrived. 0 means this
// daemon.
type Source uint64

// Cursor is a position in the journal of a table's changes.
type Cursor uint64

// Departure describes a target's process that is gone, that was replaced without
// a hand-over of its keys, or that returned after it had been marked as gone.
type Departure struct {
	// Record is the process's record: the one that marks it as gone, or the last
	// one before it was replaced or returned.
	Record Record
	// At is when this daemon stored the record that showed the departure or the
	// return:
	//   - the record that marks the process as gone, or
	//   - if the process was replaced without a hand-over of its keys, the first
	//     record of a later process of the target, even if the replaced process
	//     was already marked as gone, or
	//   - if Returned is set, the first record that shows the process again.
	At time.Time
	// Returned reports that the same process was seen again at At after it had
	// been marked as gone.
	Returned bool
}

// entry is a record in the table, with the data about it that only this daemon
// needs.
type entry struct {
	record Record
	// position is the position in the journal of the newest change.
	position Cursor
	source   Source
	// goneAt is when this daemon stored record and thereby learned that the target
	// is gone. It is zero in all states but StateGone.
	goneAt time.Time
}

// view holds the state that is read without mu. A stored view is never modified;
// publish replaces it.
type view struct {
	ready    map[string][]Record
	draining map[string][]Record
	departed map[string][]Departure
	// readySince holds, by service, when the ready targets or their runs last changed.
	readySince map[string]time.Time
}

// Table is the set of known targets. The zero value is an empty table, ready to
// use.
//
// All methods are safe for concurrent use. Service, Draining and Departed take
// no lock.
type Table struct {
	// MaxRecords bounds the records; 0 means DefaultMaxRecords. A member that invents
	// instances can then not take all memory of the fleet.
	MaxRecords int
	Counters   Counters

	mu        sync.Mutex
	entries   map[string]*entry
	byService map[string]map[string]*entry
	// pastDepartures holds, by service, the departures that entries no longer
	// shows: those of processes that were replaced without a hand-over of their
	// keys, or that returned.
	pastDepartures map[string][]Departure
	// digests holds the XOR of the fingerprints of the records, by failure
	// domain.
	digests map[string]uint64
	// journal holds the instance ids in the order of their changes; journal[0]
	// is at position journalStart.
	journal      []string
	journalStart Cursor
	view         atomic.Pointer[view]
}

// Merge stores the records that are newer than the known ones, and returns them.
func (t *Table) Merge(records []Record) []Record { return t.MergeFrom(records, 0) }

// MergeFrom is like Merge for records that arrived over the session from.
func (t *Table) MergeFrom(records []Record, from Source) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	var changed []Record
	touched := make(map[string]struct{})
	for _, r := range records {
		old, ok := t.entries[r.InstanceID]
		if ok && !r.Newer(old.record) {
			continue
		}
		if !ok && t.isFull() {
			t.Counters.Rejected.Add(1)
			continue
		}
		if ok {
			touched[old.record.Service] = struct{}{}
			t.recordPastDeparture(old.record, r)
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

// IsFull reports whether the table takes no records of unknown instances.
func (t *Table) IsFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFull()
}

// isFull implements IsFull. The caller holds mu.
func (t *Table) isFull() bool { return len(t.entries) >= cmp.Or(t.MaxRecords, DefaultMaxRecords) }

// recordPastDeparture records the departure of old if next belongs to a new
// process and old did not hand over its keys, or if next shows that a process
// marked as gone has returned. The caller holds mu.
func (t *Table) recordPastDeparture(old, next Record) {
	replaced := next.Incarnation > old.Incarnation && !old.HandedOver
	returned := next.Incarnation == old.Incarnation && old.State == StateGone && next.State != StateGone
	if !replaced && !returned {
		return
	}
	oldest := time.Now().Add(-departureRetention)
	kept := slices.DeleteFunc(slices.Clone(t.pastDepartures[old.Service]), func(d Departure) bool { return d.At.Before(oldest) })
	t.pastDepartures[old.Service] = append(kept, Departure{Record: old, At: time.Now(), Returned: returned})
}

// init allocates the maps on first use. The caller holds mu.
func (t *Table) init() {
	if t.entries != nil {
		return
	}
	t.entries = make(map[string]*entry)
	t.byService = make(map[string]map[string]*entry)
	t.digests = make(map[string]uint64)
	t.pastDepartures = make(map[string][]Departure)
}

// put stores one record and appends it to the journal. The caller holds mu.
func (t *Table) put(r Record, from Source) {
	t.remove(r.InstanceID)
	e := &entry{record: r, source: from, position: t.journalStart + Cursor(len(t.journal))}
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
	if len(t.journal) >= 2*minJournalLength {
		t.journal = slices.Clone(t.journal[minJournalLength:])
		t.journalStart += minJournalLength
	}
}

// remove deletes one record. The caller holds mu.
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

// fingerprint returns the hash of a record that digests combine. It is 0 for
// departed targets, so that tables that have purged them and tables that have
// not have equal digests.
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

// publish replaces the view with one that is rebuilt for the touched services.
// The slices of all other services are reused. The caller holds mu.
func (t *Table) publish(touched map[string]struct{}) {
	next := &view{
		ready: make(map[string][]Record), draining: make(map[string][]Record), departed: make(map[string][]Departure),
		readySince: make(map[string]time.Time),
	}
	if old := t.view.Load(); old != nil {
		next.ready = maps.Clone(old.ready)
		next.draining = maps.Clone(old.draining)
		next.departed = maps.Clone(old.departed)
		next.readySince = maps.Clone(old.readySince)
	}
	for service := range touched {
		ready, draining, departed := t.groupByState(service)
		if !slices.EqualFunc(ready, next.ready[service], isSameRun) {
			next.readySince[service] = time.Now()
		}
		setOrDelete(next.ready, service, ready)
		setOrDelete(next.draining, service, draining)
		setOrDelete(next.departed, service, departed)
	}
	t.view.Store(next)
}

// setOrDelete sets m[key] to values, or deletes the key if there are none.
func setOrDelete[V any](m map[string][]V, key string, values []V) {
	if len(values) == 0 {
		delete(m, key)
		return
	}
	m[key] = values
}

// groupByState returns a service's ready, draining and recently departed
// targets, each sorted by instance id. The caller holds mu.
func (t *Table) groupByState(service string) (ready, draining []Record, departed []Departure) {
	oldest := time.Now().Add(-departureRetention)
	for _, d := range t.pastDepartures[service] {
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

// isSameRun reports whether two records are of the same run of a target and process of its daemon.
func isSameRun(a, b Record) bool {
	return a.InstanceID == b.InstanceID && a.Incarnation == b.Incarnation && a.Epoch == b.Epoch
}

func compareID(a, b Record) int { return cmp.Compare(a.InstanceID, b.InstanceID) }

// Purge removes the records of the targets that this daemon learned to be gone
// before the given time. For each service that had a gone target, it also drops
// expired departures from what Departed returns.
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

// Now returns the cursor after the newest change.
func (t *Table) Now() Cursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.journalStart + Cursor(len(t.journal))
}

// Since returns at most limit records that changed at or after the cursor and
// did not arrive from skip, and the cursor from which to continue. A skip of 0
// skips none. The result is false if the journal no longer contains the cursor's
// position.
func (t *Table) Since(from Cursor, skip Source, limit int) ([]Record, Cursor, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := t.journalStart + Cursor(len(t.journal))
	if from < t.journalStart {
		return nil, end, false
	}
	var records []Record
	for ; from < end && len(records) < limit; from++ {
		e, ok := t.entries[t.journal[from-t.journalStart]]
		if !ok || e.position != from || (skip != 0 && e.source == skip) {
			continue
		}
		records = append(records, e.record)
	}
	return records, from, true
}
