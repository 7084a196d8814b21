// Package tracker keeps the table of targets that their daemons announced.
//
// Every daemon holds the whole table and reads it without locks; package
// spreader moves the records between daemons.
package tracker

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// State is the phase of a target's life.
type State uint8

// The states of a target, in the order in which they normally follow.
const (
	StateReady State = iota + 1
	StateDraining
	StateGone
	// StateWarming is a cold start: the target takes no calls yet.
	StateWarming
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	case StateWarming:
		return "warming"
	default:
		return "unknown"
	}
}

// Record is what is known of one target.
//
// Invariant: of two records with one InstanceID the one with the higher
// Incarnation holds, and within an incarnation the one with the higher Sequence.
type Record struct {
	InstanceID  string `cbor:"1,keyasint" json:"instance-id"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Sequence    uint64 `cbor:"3,keyasint" json:"sequence"`
	Service     string `cbor:"4,keyasint" json:"service"`
	Domain      string `cbor:"5,keyasint" json:"failure-domain"`
	// PeerAddress is where the target's daemon accepts links.
	PeerAddress string `cbor:"6,keyasint" json:"peer-address"`
	State       State  `cbor:"7,keyasint" json:"state"`
	// Epoch is the run of the target as it announced it; another value means
	// that the target was started anew.
	Epoch uint64 `cbor:"20,keyasint,omitempty" json:"epoch,omitempty"`
}

// Newer says whether r replaces other.
func (r Record) Newer(other Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Sequence, other.Sequence)) > 0
}

type view struct {
	byService map[string][]Record
	all       []Record
}

// Table is the set of known targets. The zero value is empty and works.
type Table struct {
	mu      sync.Mutex
	records map[string]Record
	view    atomic.Pointer[view]
}

// Merge takes in the records that are newer than those known, and returns them.
func (t *Table) Merge(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[string]Record)
	}
	var changed []Record
	for _, r := range records {
		old, ok := t.records[r.InstanceID]
		if ok && !r.Newer(old) {
			continue
		}
		t.records[r.InstanceID] = r
		changed = append(changed, r)
	}
	if len(changed) > 0 {
		t.view.Store(t.newView())
	}
	return changed
}

// newView builds the view that readers see. The caller holds mu.
func (t *Table) newView() *view {
	v := &view{byService: make(map[string][]Record)}
	for _, r := range t.records {
		v.all = append(v.all, r)
		if r.State == StateReady {
			v.byService[r.Service] = append(v.byService[r.Service], r)
		}
	}
	slices.SortFunc(v.all, func(a, b Record) int { return cmp.Compare(a.InstanceID, b.InstanceID) })
	return v
}

// Service returns the ready targets of a service. The slice must not be changed.
func (t *Table) Service(name string) []Record {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.byService[name]
}

// All returns every record, sorted by instance. The slice must not be changed.
func (t *Table) All() []Record {
	v := t.view.Load()
	if v == nil {
		return nil
	}
	return v.all
}
