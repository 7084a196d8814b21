package limiter

import (
	"math"
	"time"

	"bambooweir.example/bambooweir/applier"
)

// This file tells which tenants use more than their share of a target. It is designed for a
// target that has too few slots while one tenant sends several times what it usually does: the
// calls of the others must find the same room as before, and no slot may stay idle.

const (
	// tenantHalfLife is the time in which a tenant's use of the target loses half of its
	// weight. It is long against a call, so that chance does not decide, and short against a
	// flood.
	tenantHalfLife = 3 * time.Second
	// shareTolerance is how many times its share a tenant may use before its calls wait
	// behind those of others.
	shareTolerance = 1.25
	// freeRuns is the number of recent runs that count for nothing: most tenants of a large
	// number have a share of less than a slot.
	freeRuns = 2
	// negligibleUse is the use, in seconds of a slot, below which a tenant is forgotten.
	negligibleUse = 1e-3
	// maxTenants bounds the tenants whose use is known; the use of others is not counted.
	maxTenants = 4096
)

// tenantUses holds how much of the target each tenant has lately used. The zero value is
// ready to use.
type tenantUses struct {
	uses map[string]*tenantUse
	// total is the use of all tenants in seconds of a slot, at its time.
	total decayingSum
	// weights is the sum of the weights of all tenants in uses, and unlimited the number of
	// those that have no quota.
	weights   float64
	unlimited int
	// snapshot is the configuration from which the weights were taken.
	snapshot *applier.Snapshot
	sweptAt  time.Time
}

// tenantUse is what one tenant has lately used.
type tenantUse struct {
	decayingSum
	// weight is the tenant's quota, which says how much of the service it has been promised, 0
	// for none.
	weight float64
}

// decayingSum is a sum whose terms lose half of their weight in tenantHalfLife.
type decayingSum struct {
	value float64
	at    time.Time
}

// now returns the sum at a time that is not before the last one.
func (s *decayingSum) now(now time.Time) float64 {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.value *= math.Exp2(-float64(elapsed) / float64(tenantHalfLife))
		s.at = now
	}
	return s.value
}

// add adds v to the sum.
func (s *decayingSum) add(v float64, now time.Time) { s.value = s.now(now) + v }

// use counts a run of the tenant that takes run of one slot.
func (t *tenantUses) use(tenant string, run time.Duration, s *applier.Snapshot, now time.Time) {
	if tenant == "" {
		return
	}
	t.refresh(s, now)
	u := t.uses[tenant]
	if u == nil {
		if len(t.uses) >= maxTenants {
			return
		}
		u = &tenantUse{decayingSum: decayingSum{at: now}}
		t.uses[tenant] = u
		t.weigh(u, tenant)
	}
	u.add(run.Seconds(), now)
	t.total.add(run.Seconds(), now)
}

// isOverShare reports whether the tenant has used clearly more than its share of what all
// tenants have used: in proportion to their quotas, or the same for each if one of them has no
// quota. run is the usual time of one of its calls.
func (t *tenantUses) isOverShare(tenant string, run time.Duration, now time.Time) bool {
	u := t.uses[tenant]
	if u == nil || len(t.uses) == 1 {
		return false
	}
	share := 1 / float64(len(t.uses))
	if t.unlimited == 0 {
		share = u.weight / t.weights
	}
	return u.now(now) > shareTolerance*share*t.total.now(now)+freeRuns*run.Seconds()
}

// weigh sets the weight of a tenant's use and adds it to the sums.
func (t *tenantUses) weigh(u *tenantUse, tenant string) {
	u.weight = 0
	if t.snapshot != nil {
		if known := t.snapshot.TenantByName(tenant); known != nil {
			u.weight = known.Config.RatePerS
		}
	}
	if u.weight == 0 {
		t.unlimited++
	}
	t.weights += u.weight
}

// refresh takes the weights from a new snapshot, and forgets tenants that no longer use the
// target.
func (t *tenantUses) refresh(s *applier.Snapshot, now time.Time) {
	if t.snapshot == s && t.uses != nil && now.Sub(t.sweptAt) < tenantHalfLife {
		return
	}
	t.snapshot, t.sweptAt, t.weights, t.unlimited = s, now, 0, 0
	if t.uses == nil {
		t.uses = make(map[string]*tenantUse)
	}
	for name, u := range t.uses {
		if u.now(now) < negligibleUse {
			delete(t.uses, name)
			continue
		}
		t.weigh(u, name)
	}
}
