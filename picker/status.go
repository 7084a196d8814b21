package picker

import (
	"cmp"
	"expvar"
	"slices"
	"time"

	"bambooweir.example/bambooweir/tracker"
)

// Counters counts choices, ejections and readmissions of targets, and lost
// failure domains.
type Counters struct {
	// Local, SpillOver, Remote, Probe, Expected, Trial and LastResort count choices by
	// reason, None the calls for which there was no target.
	Local, SpillOver, Remote, Probe, Expected, Trial, LastResort, None expvar.Int
	// Drawn counts choices by chance, because the target with the earliest expected answer was
	// not expected to have a free slot, Full those for which no target could be drawn either,
	// RefusedBesideRoom the attempts that a target refused for lack of capacity while another
	// one surely had a free slot.
	Drawn, Full, RefusedBesideRoom expvar.Int
	// Ejections and Readmissions count targets, Capped the ejections that the
	// largest share of ejected targets forbade.
	Ejections, Readmissions, Capped expvar.Int
	// DomainsLost counts failure domains found unreachable.
	DomainsLost expvar.Int
}

// count counts a choice by its reason.
func (c *Counters) count(r Reason) {
	switch r {
	case ReasonLocal:
		c.Local.Add(1)
	case ReasonSpillOver:
		c.SpillOver.Add(1)
	case ReasonRemote:
		c.Remote.Add(1)
	case ReasonProbe:
		c.Probe.Add(1)
	case ReasonExpected:
		c.Expected.Add(1)
	case ReasonTrial:
		c.Trial.Add(1)
	case ReasonLastResort:
		c.LastResort.Add(1)
	}
}

// TargetView describes to operators how this daemon uses a target, and why.
type TargetView struct {
	InstanceID string        `json:"instance-id"`
	Service    string        `json:"service"`
	Domain     string        `json:"failure-domain"`
	State      tracker.State `json:"state"`
	// Use is "in-use", "draining", "domain-lost", "ejected", "probing", or the
	// state of a record that is not ready.
	Use string `json:"use"`
	// Cause explains Use in a sentence.
	Cause string `json:"cause,omitempty"`
	// OutForMS is the remaining time of the ejection or of the loss of the
	// domain, in milliseconds.
	OutForMS int64 `json:"out-for-ms,omitempty"`
	InFlight int64 `json:"in-flight"`
	// Load is the estimated number of calls that the target runs.
	Load           float64 `json:"load"`
	FailurePercent int     `json:"failure-percent"`
	Ejections      int64   `json:"ejections,omitempty"`
	// LatencyMS holds the mean latency by class, in milliseconds.
	LatencyMS ClassLatencies `json:"latency-ms"`
}

// ClassLatencies holds the mean latency of each class in milliseconds; 0 means
// that no answer was observed.
type ClassLatencies struct {
	InternalRead float64 `json:"internal-read,omitempty"`
	Lookup       float64 `json:"lookup,omitempty"`
	Posting      float64 `json:"posting,omitempty"`
	Scan         float64 `json:"scan,omitempty"`
}

// Targets describes every target in the table, sorted by service and instance.
func (p *Picker) Targets() []TargetView {
	now := p.now()
	var views []TargetView
	for _, r := range p.Table.All() {
		v := TargetView{InstanceID: r.InstanceID, Service: r.Service, Domain: r.Domain, State: r.State}
		if t := p.findTarget(r, now); t != nil {
			t.describe(&v, now)
		} else {
			v.Use, v.Cause = r.State.String(), "the target announced this state"
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b TargetView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.InstanceID, b.InstanceID))
	})
	return views
}

// findTarget returns the state of a target, or nil if its record is not ready.
func (p *Picker) findTarget(r tracker.Record, now instant) *target {
	if r.State != tracker.StateReady {
		return nil
	}
	p.view(r.Service, now)
	s := p.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[r.InstanceID]
}

// describe fills in what this daemon observed of the target.
func (t *target) describe(v *TargetView, now instant) {
	v.InFlight, v.Load = t.inFlight.Load(), t.load(int(t.reported.slots.Load()), now)
	v.FailurePercent, v.Ejections = int(100*t.failures.at(now)), t.ejections.Load()
	ms := func(c int) float64 { return t.latencies[c].mean.value() / float64(time.Millisecond) }
	v.LatencyMS = ClassLatencies{InternalRead: ms(0), Lookup: ms(1), Posting: ms(2), Scan: ms(3)}
	until := instant(t.ejectedUntil.Load())
	switch {
	case t.isDraining():
		v.Use, v.Cause = "draining", "an answer said that the target drains"
	case t.domain.lost.Load():
		v.Use, v.Cause = "domain-lost", "several targets of the failure domain cannot be reached"
		until = instant(t.domain.probeAt.Load())
	case until == 0:
		v.Use = "in-use"
	case now < until:
		v.Use, v.Cause = "ejected", "calls to the target failed"
	default:
		v.Use, v.Cause = "probing", "the ejection has ended and no call has succeeded yet"
	}
	v.OutForMS = max(0, until.sub(now).Milliseconds())
}
