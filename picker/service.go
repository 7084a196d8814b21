package picker

import (
	"sync"
	"sync/atomic"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
)

// service is what is known of the targets of one service.
type service struct {
	current atomic.Pointer[view]

	// mu guards the change of targets and ejections.
	mu    sync.Mutex
	known map[string]*target

	// answerBytes is the mean size of the answers of each class.
	answerBytes [classCount]average
}

// view holds the targets of one state of the table.
type view struct {
	source     []tracker.Record
	local, all []*target
}

// isOf says whether the view was made from the records.
func (v *view) isOf(records []tracker.Record) bool {
	if v == nil || len(v.source) != len(records) {
		return false
	}
	return len(records) == 0 || &v.source[0] == &records[0]
}

// view returns the targets of the service.
func (p *Picker) view(name string, now instant) *view {
	s := p.service(name)
	records := p.Table.Service(name)
	if v := s.current.Load(); v.isOf(records) {
		return v
	}
	return p.rebuild(s, records, now)
}

func (p *Picker) service(name string) *service {
	if s, ok := p.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := p.services.LoadOrStore(name, new(service))
	return s.(*service)
}

func (p *Picker) rebuild(s *service, records []tracker.Record, now instant) *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &view{source: records}
	known := make(map[string]*target, len(records))
	for _, r := range records {
		t := s.known[r.InstanceID]
		if t == nil || t.record.Load().Incarnation != r.Incarnation {
			t = &target{domain: p.domain(r.Domain)}
		}
		t.update(r, now)
		known[r.InstanceID] = t
		v.all = append(v.all, t)
		if r.Domain == p.Domain {
			v.local = append(v.local, t)
		}
	}
	s.known = known
	s.current.Store(v)
	return v
}

// update takes over a record. A target that is new, or that announced itself
// anew, starts slowly.
func (t *target) update(r tracker.Record, now instant) {
	old := t.record.Load()
	next := &knownRecord{Record: r}
	switch {
	case old != nil && old.Epoch == r.Epoch:
		next.since = old.since
	case old != nil || now > instant(settleTime):
		next.since = now
	}
	t.record.Store(next)
}

// mayEject says whether one more target of the service may be ejected. The
// caller holds mu.
func (s *service) mayEject(policy *applier.Policy) bool {
	ejected, total := 0, len(s.known)
	for _, t := range s.known {
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
