package picker

import (
	"sync"
	"sync/atomic"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
)

// service holds the targets of one service and the state shared by them.
type service struct {
	// current is the newest view.
	current atomic.Pointer[view]

	// mu guards targets and the ejection of targets.
	mu      sync.Mutex
	targets map[string]*target

	// answerBytes is the mean size of the answers of each class.
	answerBytes [classCount]average
}

// view holds the targets for one version of the tracker's table.
type view struct {
	// records is the slice of the table from which the view was built.
	records []tracker.Record
	// local holds the targets in this daemon's failure domain, all those of
	// every domain.
	local, all []*target
	// lastSplit holds the parts of the view under the split that was asked for last.
	lastSplit atomic.Pointer[splitView]
}

// isBuiltFrom reports whether the view was built from this slice of records. The
// table publishes a new slice with every change.
func (v *view) isBuiltFrom(records []tracker.Record) bool {
	if v == nil || len(v.records) != len(records) {
		return false
	}
	return len(records) == 0 || &v.records[0] == &records[0]
}

// view returns the current targets of the service and rebuilds them if the table
// has changed.
func (p *Picker) view(name string, now instant) *view {
	s := p.service(name)
	records := p.Table.Service(name)
	if v := s.current.Load(); v.isBuiltFrom(records) {
		return v
	}
	return p.rebuild(s, records, now)
}

// service returns the state of the named service and creates it if needed.
func (p *Picker) service(name string) *service {
	if s, ok := p.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := p.services.LoadOrStore(name, new(service))
	return s.(*service)
}

// rebuild replaces the targets of the service by those of the records. Targets
// of the same incarnation keep their state.
func (p *Picker) rebuild(s *service, records []tracker.Record, now instant) *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &view{records: records}
	targets := make(map[string]*target, len(records))
	for _, r := range records {
		t := s.targets[r.InstanceID]
		if t == nil || t.record.Load().Incarnation != r.Incarnation {
			t = &target{domain: p.domain(r.Domain)}
		}
		t.setRecord(r, now)
		targets[r.InstanceID] = t
		v.all = append(v.all, t)
		if r.Domain == p.Domain {
			v.local = append(v.local, t)
		}
	}
	s.targets = targets
	s.current.Store(v)
	return v
}

// setRecord replaces the target's record. Slow start begins for a target that
// announced a new epoch, and for one first seen after startupPeriod.
func (t *target) setRecord(r tracker.Record, now instant) {
	old := t.record.Load()
	next := &knownRecord{Record: r}
	switch {
	case old != nil && old.Epoch == r.Epoch:
		next.inUseSince = old.inUseSince
	case old != nil || now > instant(startupPeriod):
		next.inUseSince = now
	}
	t.record.Store(next)
}

// mayEject reports whether one more target of the service may be ejected. A
// service of several targets may always eject one unless the policy forbids
// ejection. The caller holds mu.
func (s *service) mayEject(policy *applier.Policy) bool {
	ejected, total := 0, len(s.targets)
	for _, t := range s.targets {
		if t.ejectedUntil.Load() != 0 {
			ejected++
		}
	}
	limit := total * policy.MaxEjectedPercent / 100
	if limit == 0 && policy.MaxEjectedPercent > 0 && total > 1 {
		limit = 1
	}
	return ejected < limit
}
