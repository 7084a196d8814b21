package quarantiner

import (
	"cmp"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// maxRecords bounds the records of a table.
const maxRecords = 1024

// Status says how a request is treated.
type Status int

const (
	// StatusClear means that nothing is held against the request.
	StatusClear Status = iota
	// StatusSuspected means that targets ended while they ran the request. It runs at one
	// target of its service at a time.
	StatusSuspected
	// StatusQuarantined means that the request is not run.
	StatusQuarantined
)

// Verdict is the result of judging a request.
type Verdict struct {
	Status Status
	// Crashes is the number of runs of targets that ended under the request.
	Crashes int
	// SinceCrash is the time since the last of them, Remaining the time until the end of
	// the quarantine.
	SinceCrash, Remaining time.Duration
}

// IsOnTrial reports whether the request may run only where no other suspect runs.
func (v Verdict) IsOnTrial() bool {
	return v.Status == StatusSuspected && v.Crashes >= trialCrashes
}

// Counters counts what a table records.
type Counters struct {
	// Suspected counts requests of which this daemon found that a target had ended under
	// them, Cleared those suspects that this daemon's target then answered.
	Suspected, Cleared expvar.Int
	// Quarantined counts requests that this daemon began to refuse, Refused the calls that
	// it refused for that, and Trials the calls of suspects that it ran.
	Quarantined, Refused, Trials expvar.Int
	// Evicted counts records that were dropped for lack of room, Invalid records from other
	// daemons that were ignored because they exceed the bounds.
	Evicted, Invalid expvar.Int
}

// Table holds the requests under which targets have ended, for one daemon. The zero value is
// an empty table.
//
// A request is suspected while a crash is held against it. It is quarantined for a term
// after its last crash, once there were three, of which one was in a trial: runs that began
// before any crash was known prove nothing, because all targets of a service may end at
// once for another reason, and a popular request runs at all of them. An answer of a target
// clears the request at the target's service, whatever the number of crashes.
type Table struct {
	// OnChange, unless nil, is called after each change that other daemons must learn of.
	OnChange func()
	// Log receives an event for each request that is quarantined or cleared; nil disables
	// logging.
	Log      *zap.Logger
	Counters Counters

	size atomic.Int64

	unsavedOnce sync.Once
	unsaved     chan struct{}

	mu      sync.Mutex
	entries map[Digest][]*entry
	changes uint64
}

// IsEmpty reports whether the table has no records, so that nothing is held against any request.
func (t *Table) IsEmpty() bool { return t.size.Load() == 0 }

// Judge returns how a request to a service is treated now.
func (t *Table) Judge(request Digest, service string) Verdict {
	if t.IsEmpty() {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judge(request, service, time.Now())
}

// judge implements Judge. The caller holds mu.
func (t *Table) judge(request Digest, service string, now time.Time) Verdict {
	var v Verdict
	var last time.Time
	hasTrial := false
	for _, e := range t.entries[request] {
		if e.Service == service && e.isCleared() {
			return Verdict{}
		}
		if len(e.Crashes) == 0 || now.After(e.expires()) {
			continue
		}
		v.Crashes += len(e.Crashes)
		hasTrial = hasTrial || slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.IsTrial })
		if e.crashedAt.After(last) {
			last = e.crashedAt
		}
	}
	if v.Crashes == 0 {
		return v
	}
	v.Status, v.SinceCrash = StatusSuspected, now.Sub(last)
	if v.Remaining = term(v.Crashes) - v.SinceCrash; hasTrial && v.Remaining > 0 {
		v.Status = StatusQuarantined
	} else {
		v.Remaining = 0
	}
	return v
}

// ReportCrash records that a run of a target of the service ended while it was running the
// request of the partner.
func (t *Table) ReportCrash(request Digest, service, partner string, c Crash) {
	t.mu.Lock()
	now := time.Now()
	e, before := t.entry(request, service, partner), t.judge(request, service, now)
	if !e.addCrash(c) {
		t.mu.Unlock()
		return
	}
	t.Counters.Suspected.Add(1)
	e.crashedAt, e.isReported = now, true
	t.recordChange(e, 0)
	t.logQuarantine(e, before, now)
	t.evict()
	t.mu.Unlock()
	t.notify()
}

// ReportAnswer records that a target of the service has run the request to its end.
func (t *Table) ReportAnswer(request Digest, service string) {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	i := slices.IndexFunc(t.entries[request], func(e *entry) bool { return e.Service == service })
	if i < 0 || len(t.entries[request][i].Crashes) == 0 {
		t.mu.Unlock()
		return
	}
	e := t.entries[request][i]
	if t.Log != nil {
		t.Log.Info("request-cleared", zap.Stringer("request-digest", request), zap.String("service", service), zap.Int("crashes", len(e.Crashes)))
	}
	t.Counters.Cleared.Add(1)
	e.Cleared++
	e.Crashes = nil
	t.recordChange(e, 0)
	t.mu.Unlock()
	t.notify()
}

// Merge includes records that came from a source; 0 stands for this daemon's own calls.
func (t *Table) Merge(records []Record, source uint64) {
	changed := false
	t.mu.Lock()
	now := time.Now()
	for _, r := range records {
		if !r.isValid() {
			t.Counters.Invalid.Add(1)
			continue
		}
		e, before := t.entry(r.Request, r.Service, r.Partner), t.judge(r.Request, r.Service, now)
		if !e.merge(r, now) {
			continue
		}
		if now.After(e.expires()) {
			t.remove(e)
			continue
		}
		changed = true
		if !slices.Equal(e.Crashes, r.Crashes) {
			// The source lacks what this daemon knew before.
			t.recordChange(e, 0)
		} else {
			t.recordChange(e, source)
		}
		t.logQuarantine(e, before, now)
	}
	t.evict()
	t.mu.Unlock()
	if changed {
		t.notify()
	}
}

// entry returns the entry of a request at a service, and creates it if needed. The caller
// holds mu.
func (t *Table) entry(request Digest, service, partner string) *entry {
	for _, e := range t.entries[request] {
		if e.Service == service {
			return e
		}
	}
	if t.entries == nil {
		t.entries = make(map[Digest][]*entry)
	}
	e := &entry{Record: Record{Request: request, Service: service, Partner: partner}}
	t.entries[request] = append(t.entries[request], e)
	t.size.Add(1)
	return e
}

// remove removes an entry. The caller holds mu.
func (t *Table) remove(e *entry) {
	rest := slices.DeleteFunc(t.entries[e.Request], func(other *entry) bool { return other == e })
	t.entries[e.Request] = rest
	if len(rest) == 0 {
		delete(t.entries, e.Request)
	}
	t.size.Add(-1)
}

// recordChange numbers a change of the entry. The caller holds mu.
func (t *Table) recordChange(e *entry, source uint64) {
	t.changes++
	e.change, e.source = t.changes, source
}

// logQuarantine counts and logs that a change quarantined the request. It wakes what saves the
// request if that is to outlive this daemon. The caller holds mu.
func (t *Table) logQuarantine(e *entry, before Verdict, now time.Time) {
	v := t.judge(e.Request, e.Service, now)
	if e.isReported && v.Crashes >= quarantineCrashes && (before.Crashes < quarantineCrashes || v.Status != before.Status) {
		t.wakeSaver()
	}
	if v.Status != StatusQuarantined || before.Status == StatusQuarantined {
		return
	}
	t.Counters.Quarantined.Add(1)
	if t.Log != nil {
		t.Log.Warn("request-quarantined", zap.Stringer("request-digest", e.Request), zap.String("service", e.Service),
			zap.String("partner", e.Partner), zap.Int("crashes", v.Crashes), zap.Duration("for", v.Remaining), zap.Bool("learned", !e.isReported))
	}
}

// Unsaved returns a channel that holds a token after a request was convicted or quarantined of
// which this daemon found a crash, so that the daemons that found it save it, and not all that
// learn of it, and after MarkUnsaved.
func (t *Table) Unsaved() <-chan struct{} { return t.unsavedChan() }

// MarkUnsaved makes Unsaved return a token if a request is convicted, since what was saved may
// be lost.
func (t *Table) MarkUnsaved() {
	if len(t.Convicted()) > 0 {
		t.wakeSaver()
	}
}

// wakeSaver makes Unsaved return a token.
func (t *Table) wakeSaver() {
	select {
	case t.unsavedChan() <- struct{}{}:
	default:
	}
}

// unsavedChan returns unsaved and makes it on the first call.
func (t *Table) unsavedChan() chan struct{} {
	t.unsavedOnce.Do(func() { t.unsaved = make(chan struct{}, 1) })
	return t.unsaved
}

// notify calls OnChange.
func (t *Table) notify() {
	if t.OnChange != nil {
		t.OnChange()
	}
}

// Sweep removes the records that have no effect any more.
func (t *Table) Sweep() {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, e := range t.all() {
		if now.After(e.expires()) {
			t.remove(e)
		}
	}
}

// all returns all entries. The caller holds mu.
func (t *Table) all() []*entry {
	all := make([]*entry, 0, t.size.Load())
	for _, entries := range t.entries {
		all = append(all, entries...)
	}
	return all
}

// evict removes records until there is room for all. It takes them from the partner that
// has the most, so that no partner's requests displace those of a partner with fewer, and
// of these first the ones with the fewest crashes, and the oldest. The caller holds mu.
func (t *Table) evict() {
	if t.size.Load() <= maxRecords {
		return
	}
	byPartner := make(map[string][]*entry)
	for _, e := range t.all() {
		byPartner[e.Partner] = append(byPartner[e.Partner], e)
	}
	partners := slices.Sorted(maps.Keys(byPartner))
	for _, p := range partners {
		slices.SortFunc(byPartner[p], compareWeight)
	}
	for t.size.Load() > maxRecords {
		most := slices.MaxFunc(partners, func(a, b string) int { return cmp.Compare(len(byPartner[a]), len(byPartner[b])) })
		t.remove(byPartner[most][0])
		byPartner[most] = byPartner[most][1:]
		t.Counters.Evicted.Add(1)
	}
}

// compareWeight orders entries by their crashes, and those with as many by the time of the
// last one.
func compareWeight(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(len(a.Crashes), len(b.Crashes)),
		a.crashedAt.Compare(b.crashedAt),
		slices.Compare(a.Request[:], b.Request[:]),
	)
}
