package picker

import (
	"math/rand/v2"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// maxExplainDraws is the number of choices from which the odds are counted.
	maxExplainDraws = 1000
	// maxExplainEstimates bounds the estimates for them, since each choice may estimate
	// all targets of the service.
	maxExplainEstimates = 200_000
)

// Candidate describes to operators a target of a service, as a choice for one call sees it.
type Candidate struct {
	TargetView
	// Slots is the number of calls that the target is expected to run at a time.
	Slots int `json:"slots"`
	// ReportAgeMS is how long ago the target's daemon last reported its load, in
	// milliseconds; -1 if it never did.
	ReportAgeMS int64 `json:"report-age-ms"`
	// TurnMS is how long the call would wait under the target's rate limit.
	TurnMS float64 `json:"turn-ms,omitempty"`
	// ExpectedMS is the expected latency of the call. It is 0 without an objective, since
	// the choice then goes by load.
	ExpectedMS float64 `json:"expected-ms,omitempty"`
	// OddsPercent is the probability that the call's first attempt goes to the target.
	OddsPercent float64 `json:"odds-percent"`
	// Reason is why the target is mostly chosen, "" if it never is.
	Reason string `json:"reason,omitempty"`
}

// Explain describes the targets of the policy's service, sorted by instance, and where Pick
// would send the first attempt of a call now. It sends nothing and changes no counter. Each
// choice that it draws counts as a call in flight while it is drawn, and for that time takes
// the place of a probe.
func (p *Picker) Explain(policy *applier.Policy, need Need) []Candidate {
	now := p.now()
	v := p.view(policy.Service, now)
	e := p.estimator(v, policy, need, now)
	odds, reasons := p.drawOdds(v, policy, need)
	var candidates []Candidate
	for _, view := range p.Targets() {
		if view.Service != policy.Service {
			continue
		}
		x := Candidate{TargetView: view, ReportAgeMS: -1}
		if t := v.find(view.InstanceID); t != nil {
			x.Slots, x.OddsPercent, x.Reason = t.slots(policy), odds[t], reasons[t]
			x.Load = t.load(x.Slots, now)
			if at := instant(t.reported.at.Load()); at != 0 {
				x.ReportAgeMS = now.sub(at).Milliseconds()
			}
			x.TurnMS = e.turn(t) / float64(time.Millisecond)
			if need.Objective > 0 {
				expected, _ := e.expectedLatency(t)
				x.ExpectedMS = expected / float64(time.Millisecond)
			}
		}
		candidates = append(candidates, x)
	}
	return candidates
}

// find returns the target of an instance, or nil.
func (v *view) find(instanceID string) *target {
	for _, t := range v.all {
		if t.record.Load().InstanceID == instanceID {
			return t
		}
	}
	return nil
}

// drawOdds returns how often Pick chooses each target, in percent, and the most frequent
// reason for it.
func (p *Picker) drawOdds(v *view, policy *applier.Policy, need Need) (odds map[*target]float64, reasons map[*target]string) {
	draws := max(1, min(maxExplainDraws, maxExplainEstimates/max(1, len(v.all))))
	counts := make(map[*target]map[Reason]int)
	shadow := p.shadow(v, policy.Service)
	for range draws {
		c, ok := shadow.Pick(policy, need, Tried{})
		if !ok {
			break
		}
		c.withdraw()
		if counts[c.target] == nil {
			counts[c.target] = make(map[Reason]int)
		}
		counts[c.target][c.Reason]++
	}
	odds, reasons = make(map[*target]float64), make(map[*target]string)
	for t, byReason := range counts {
		total, most := 0, ReasonNone
		for r, n := range byReason {
			total += n
			if n > byReason[most] || n == byReason[most] && r < most {
				most = r
			}
		}
		odds[t], reasons[t] = 100*float64(total)/float64(draws), most.String()
	}
	return odds, reasons
}

// shadow returns a picker that chooses among the targets of the view, as p does, but has its
// own counters and random numbers.
func (p *Picker) shadow(v *view, name string) *Picker {
	table := new(tracker.Table)
	table.Merge(v.records)
	s := new(service)
	s.current.Store(&view{records: table.Service(name), local: v.local, all: v.all})
	for class := range classCount {
		s.answerBytes[class].add(p.service(name).answerBytes[class].value(), 1)
	}
	shadow := &Picker{
		Table: table, Domain: p.Domain, LinkKbps: p.LinkKbps, Choices: p.Choices,
		Source: rand.NewPCG(1, 1),
	}
	shadow.clockStart.Store(p.clockStart.Load())
	shadow.services.Store(name, s)
	return shadow
}

// withdraw takes the choice back, as if it had not been made.
func (c Choice) withdraw() {
	c.target.inFlight.Add(-1)
	if c.probe {
		c.target.probing.Store(false)
		c.target.domain.probing.Store(false)
	}
}
