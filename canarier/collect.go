package canarier

import (
	"time"

	"bambooweir.example/bambooweir/tracker"
)

// This file collects the evidence of one daemon and of those whose evidence passes it.

// evidenceKey identifies the counts of one side of a comparison.
type evidenceKey struct {
	service, route string
	revision       uint64
	isNew          bool
}

// Observe counts an answer of this daemon's target, which has the version, if the service has
// an order that is not decided yet.
func (p *Part) Observe(service, version, route string, failed, isWarm bool, took time.Duration) {
	r := p.rule(service)
	if r == nil || r.directive.State != StateRunning {
		return
	}
	key := evidenceKey{service: service, route: route, revision: r.directive.Revision, isNew: version == r.directive.Version}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.counts(key); c != nil {
		c.Observe(failed, isWarm, took)
	}
	p.schedule(evidenceInterval)
}

// schedule makes the pending evidence be sent within d. The caller holds mu.
func (p *Part) schedule(d time.Duration) {
	dueAt := time.Now().Add(d)
	switch {
	case p.timer == nil:
		p.timer = time.AfterFunc(d, p.sendEvidence)
	case dueAt.Before(p.dueAt):
		p.timer.Reset(d)
	default:
		return
	}
	p.dueAt = dueAt
}

// counts returns the pending counts of a key, or nil if there are too many. The caller holds mu.
func (p *Part) counts(key evidenceKey) *Counts {
	c := p.pending[key]
	if c == nil && len(p.pending) < maxEvidence {
		if p.pending == nil {
			p.pending = make(map[evidenceKey]*Counts)
		}
		c = new(Counts)
		p.pending[key] = c
	}
	return c
}

// sendEvidence sends the pending evidence.
func (p *Part) sendEvidence() {
	p.mu.Lock()
	p.timer, p.isDue = nil, true
	p.judgeOwn()
	p.mu.Unlock()
	p.OnChange()
}

// judgeOwn passes pending evidence of services for which this daemon decided to judge, or
// drops it if this daemon does not lead any more. The caller holds mu.
func (p *Part) judgeOwn() {
	for key, c := range p.pending {
		if p.sources[key.service] != 0 {
			continue
		}
		if p.judge != nil {
			p.judge(&Evidence{Service: key.service, Revision: key.revision, Route: key.route, IsNew: key.isNew, Counts: *c})
		}
		delete(p.pending, key)
	}
}

// Lead sets the function that takes in evidence while this daemon leads, nil for none.
func (p *Part) Lead(judge func(*Evidence)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge = judge
}

// takeEvidence removes and returns the pending evidence that goes to a peer. The caller holds
// mu.
func (p *Part) takeEvidence(peer tracker.Source) []Evidence {
	var taken []Evidence
	for key, c := range p.pending {
		if p.sources[key.service] == peer {
			taken = append(taken, Evidence{Service: key.service, Revision: key.revision, Route: key.route, IsNew: key.isNew, Counts: *c})
			delete(p.pending, key)
		}
	}
	p.isDue = len(p.pending) > 0
	return taken
}
