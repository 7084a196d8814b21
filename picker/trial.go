package picker

import (
	"time"

	"bambooweir.example/bambooweir/applier"
)

// PickForTrial chooses the target for a call of a suspected request: the one with the highest
// rank, so that all daemons send the repeats of the request to the same target. Targets that
// were tried are passed over. It also returns the number of targets that accept calls, and
// false if there is none to choose.
//
// The load of the targets does not count: the target's daemon makes the call wait.
func (p *Picker) PickForTrial(policy *applier.Policy, need Need, tried Tried, rank func(instanceID string) uint64) (c Choice, accepting int, ok bool) {
	now := p.now()
	best, accepting := p.view(policy.Service, now).allowed(need.Versions).bestForTrial(&tried, rank)
	if best == nil {
		p.Counters.None.Add(1)
		return Choice{}, accepting, false
	}
	c = p.newChoice(best, policy, ReasonTrial, now)
	c.need = need
	return c, accepting, true
}

// TrialHolder returns the instance whose target tries a suspected request with the rank, ""
// if no target accepts calls, and for how long the targets of the service have been the same.
func (p *Picker) TrialHolder(service string, versions Versions, rank func(instanceID string) uint64) (instanceID string, settled time.Duration) {
	best, _ := p.view(service, p.now()).allowed(versions).bestForTrial(new(Tried), rank)
	if best == nil {
		return "", 0
	}
	return best.record.Load().InstanceID, time.Since(p.Table.ReadySince(service))
}

// bestForTrial returns the target with the highest rank among those that accept calls and
// were not tried, nil if there is none, and the number of those that accept calls.
func (v *view) bestForTrial(tried *Tried, rank func(instanceID string) uint64) (best *target, accepting int) {
	var highest uint64
	for _, t := range v.all {
		if t.isDraining() || t.domain.lost.Load() {
			continue
		}
		accepting++
		if tried.has(t) {
			continue
		}
		if r := rank(t.record.Load().InstanceID); best == nil || r > highest {
			best, highest = t, r
		}
	}
	return best, accepting
}
