package picker

import "bambooweir.example/bambooweir/applier"

// PickForTrial chooses the target for a call of a suspected request: the one with the highest
// rank, so that all daemons send the repeats of the request to the same target. Targets that
// were tried are passed over. It also returns the number of targets that accept calls, and
// false if there is none to choose.
//
// The load of the targets does not count: the target's daemon makes the call wait.
func (p *Picker) PickForTrial(policy *applier.Policy, need Need, tried Tried, rank func(instanceID string) uint64) (c Choice, accepting int, ok bool) {
	now := p.now()
	var best *target
	var highest uint64
	for _, t := range p.view(policy.Service, now).all {
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
	if best == nil {
		p.Counters.None.Add(1)
		return Choice{}, accepting, false
	}
	c = p.newChoice(best, policy, ReasonTrial, now)
	c.need = need
	return c, accepting, true
}
