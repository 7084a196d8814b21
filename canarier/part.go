package canarier

import (
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// partName is the name under which daemons share directives and evidence.
	partName = "roll-outs"
	// evidenceInterval is how long a daemon collects evidence of its own target before it sends
	// it, relayInterval the same for what others sent, which passes several daemons.
	evidenceInterval = 200 * time.Millisecond
	relayInterval    = 50 * time.Millisecond
	// maxServices bounds the services with a directive, maxEvidence the routes of a service
	// of which a daemon collects evidence at a time.
	maxServices = 1024
	maxEvidence = 512
	// maxNameBytes bounds the names in a message of a peer.
	maxNameBytes = 256
)

// Counters count what a daemon did for roll-outs.
type Counters struct {
	// Exposed counts calls that the share sent to a new version, Barred calls that this daemon
	// refused because its target's version was rolled back.
	Exposed, Barred expvar.Int
	// Directives counts changes of a stage or state that this daemon learned, EvidenceSent
	// messages with evidence, Malformed messages and stored values that can't be read.
	Directives, EvidenceSent, Malformed expvar.Int
	// Completed and RolledBack count the orders that this daemon ended as their leader.
	Completed, RolledBack expvar.Int
	// StoreFailures counts failed calls of the store.
	StoreFailures expvar.Int
}

// message is what two daemons exchange.
type message struct {
	Directives []Directive `cbor:"1,keyasint,omitempty"`
	Evidence   []Evidence  `cbor:"2,keyasint,omitempty"`
}

// Part spreads directives to all daemons, and evidence from the daemons of targets back along
// the way on which the newest directive came, towards the leader. It also decides which of this
// daemon's calls may go to a new version. It implements spreader.Part. OnChange must be set.
type Part struct {
	// OnChange is called when a peer lacks something.
	OnChange func()
	// HasAllowance says that all daemons together may send a few calls more than the share.
	HasAllowance bool
	// Log receives an event for each change of a directive's stage or state; nil logs nothing.
	Log      *zap.Logger
	Counters Counters

	// rules is read without mu. A stored map is never modified.
	rules atomic.Pointer[map[string]*rule]

	mu sync.Mutex
	// sources holds the session on which the newest directive of each service came, 0 if it is
	// this daemon's own.
	sources map[string]tracker.Source
	// peers holds the newest directive of each service that each peer has.
	peers map[tracker.Source]map[string]Directive
	// pending holds the evidence that is to be sent; isDue says that it is sent now.
	pending map[evidenceKey]*Counts
	isDue   bool
	// timer sends the pending evidence at dueAt; nil means that there is none.
	timer *time.Timer
	dueAt time.Time
	// judge takes in evidence while this daemon leads.
	judge func(*Evidence)
}

// Name implements spreader.Part.
func (p *Part) Name() string { return partName }

// Versions returns between which targets a call for the service is balanced. isFirst says that
// the call was not sent to a target before.
func (p *Part) Versions(service string, isFirst bool) picker.Versions {
	r := p.rule(service)
	if r == nil {
		return picker.Versions{}
	}
	v := r.versions(isFirst, time.Now())
	if v.UseNew && r.directive.State == StateRunning {
		p.Counters.Exposed.Add(1)
	}
	return v
}

// rule returns the rule for a service, or nil.
func (p *Part) rule(service string) *rule {
	rules := p.rules.Load()
	if rules == nil {
		return nil
	}
	return (*rules)[service]
}

// IsIdle reports whether this daemon knows of no order.
func (p *Part) IsIdle() bool { return p.rules.Load() == nil }

// IsBarred reports whether a version of a service gets no calls.
func (p *Part) IsBarred(service, version string) bool {
	r := p.rule(service)
	return r != nil && version != "" && slices.Contains(r.directive.Barred, version)
}

// Known returns the directive for a service, and whether there is one.
func (p *Part) Known(service string) (Directive, bool) {
	if r := p.rule(service); r != nil {
		return r.directive, true
	}
	return Directive{}, false
}

// Directives returns all directives, sorted by service.
func (p *Part) Directives() []Directive {
	rules := p.rules.Load()
	if rules == nil {
		return nil
	}
	var all []Directive
	for _, service := range slices.Sorted(maps.Keys(*rules)) {
		all = append(all, (*rules)[service].directive)
	}
	return all
}

// Publish takes in a directive that this daemon decided, and spreads it.
func (p *Part) Publish(d Directive) {
	p.mu.Lock()
	isNew := p.merge(d, 0)
	p.mu.Unlock()
	if isNew {
		p.OnChange()
	}
}

// IsJudged reports whether the service has an order that is not decided yet.
func (p *Part) IsJudged(service string) bool {
	r := p.rule(service)
	return r != nil && r.directive.State == StateRunning
}

// merge takes in a directive from a session, or from this daemon if that is 0, and reports
// whether it is newer than the known one. The caller holds mu.
func (p *Part) merge(d Directive, from tracker.Source) bool {
	next := make(map[string]*rule)
	if rules := p.rules.Load(); rules != nil {
		next = maps.Clone(*rules)
	}
	old := next[d.Service]
	if old == nil && len(next) >= maxServices || old != nil && !d.Newer(old.directive) {
		return false
	}
	isChange := true
	if old != nil {
		was := &old.directive
		d.Barred = addBarred(was.Barred, d.Barred...)
		if was.Version != d.Version && was.State == StateRunning {
			d.Barred = addBarred(d.Barred, was.Version)
		}
		isChange = was.Version != d.Version || was.State != d.State || was.Stage != d.Stage
	}
	if d.State == StateRolledBack {
		d.Barred = addBarred(d.Barred, d.Version)
	}
	next[d.Service] = newRule(d, time.Now(), old, p.HasAllowance)
	p.rules.Store(&next)
	p.setSource(d, from)
	if isChange {
		p.logChange(d)
	}
	return true
}

// setSource records where the newest directive of a service came from, and drops the evidence
// that a decided order needs no more. The caller holds mu.
func (p *Part) setSource(d Directive, from tracker.Source) {
	if p.sources == nil {
		p.sources = make(map[string]tracker.Source)
	}
	p.sources[d.Service] = from
	if d.State.IsFinal() {
		maps.DeleteFunc(p.pending, func(key evidenceKey, _ *Counts) bool { return key.service == d.Service })
	}
}

// logChange counts and logs a change of a stage or state.
func (p *Part) logChange(d Directive) {
	p.Counters.Directives.Add(1)
	p.logger().Info("rollout-directive", zap.String("service", d.Service), zap.String("version", d.Version),
		zap.Stringer("state", d.State), zap.Stringer("stage", d.Stage), zap.Float64("share", float64(d.Share)/shareUnit),
		zap.Int("canaries", d.Canaries), zap.String("reason", d.Reason))
}

// Next implements spreader.Part.
func (p *Part) Next(peer tracker.Source) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var m message
	for _, d := range p.Directives() {
		if has, ok := p.peers[peer][d.Service]; !ok || d.Newer(has) {
			m.Directives = append(m.Directives, d)
			p.setPeer(peer, d)
		}
	}
	if p.isDue {
		m.Evidence = p.takeEvidence(peer)
	}
	if len(m.Directives) == 0 && len(m.Evidence) == 0 {
		return nil
	}
	if len(m.Evidence) > 0 {
		p.Counters.EvidenceSent.Add(1)
	}
	payload, err := cbor.Marshal(m)
	if err != nil {
		return nil
	}
	return payload
}

// setPeer records that the peer has a directive. The caller holds mu.
func (p *Part) setPeer(peer tracker.Source, d Directive) {
	if p.peers == nil {
		p.peers = make(map[tracker.Source]map[string]Directive)
	}
	if p.peers[peer] == nil {
		p.peers[peer] = make(map[string]Directive)
	}
	if has, ok := p.peers[peer][d.Service]; !ok || d.Newer(has) {
		p.peers[peer][d.Service] = d
	}
}

// Receive implements spreader.Part.
func (p *Part) Receive(peer tracker.Source, payload []byte) {
	var m message
	if err := cbor.Unmarshal(payload, &m); err != nil || !m.isValid() {
		p.Counters.Malformed.Add(1)
		return
	}
	p.mu.Lock()
	spread := false
	for _, d := range m.Directives {
		p.setPeer(peer, d)
		spread = p.merge(d, peer) || spread
	}
	for _, e := range m.Evidence {
		if p.sources[e.Service] == peer {
			// The peer learned of the leader from this daemon, and this one from it: the next
			// directive tells both.
			continue
		}
		if c := p.counts(evidenceKey{service: e.Service, route: e.Route, revision: e.Revision, isNew: e.IsNew}); c != nil {
			c.Add(&e.Counts)
		}
	}
	p.judgeOwn()
	if len(p.pending) > 0 {
		p.schedule(relayInterval)
	}
	p.mu.Unlock()
	if spread {
		p.OnChange()
	}
}

// isValid reports whether the fields of the message are in bounds.
func (m *message) isValid() bool {
	for _, d := range m.Directives {
		if d.Service == "" || len(d.Service) > maxNameBytes || len(d.Version) > maxNameBytes || len(d.Reason) > maxNameBytes ||
			d.State < StateRunning || d.State > StateRolledBack || d.Stage > StageAll || d.Share < 0 || d.Share > shareUnit ||
			d.Canaries < 0 || len(d.Barred) > maxBarred {
			return false
		}
	}
	for _, e := range m.Evidence {
		if len(e.Service) > maxNameBytes || len(e.Route) > maxNameBytes {
			return false
		}
	}
	return true
}

// Forget implements spreader.Part.
func (p *Part) Forget(peer tracker.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, peer)
}

var noLog = zap.NewNop()

// logger returns Log, or a logger that discards everything if Log is nil.
func (p *Part) logger() *zap.Logger {
	if p.Log == nil {
		return noLog
	}
	return p.Log
}
