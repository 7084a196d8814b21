package quoter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Members are the instances that a daemon knows. Each list is sorted.
type Members struct {
	// Ready may be homes of tenants.
	Ready []string
	// Leaving are there but are no homes.
	Leaving []string
	// Lost are out of touch without having left as planned: they may admit calls from
	// their own share.
	Lost []string
	// Strangers is the number of instances that belong to the fleet and of which this daemon
	// has no record: it has just started. Like lost ones, they may admit calls.
	Strangers int
	// IsUncounted says that this daemon can't tell yet how many strangers there are.
	IsUncounted bool
	// Returns is the number of times that a lost instance came back with the same process.
	// There may have been two homes of a tenant meanwhile.
	Returns int
}

// elsewhere returns the number of instances that may be there, out of this daemon's reach.
func (m *Members) elsewhere() int { return len(m.Lost) + m.Strangers }

// live returns the number of instances that are there.
func (m *Members) live() int { return len(m.Ready) + len(m.Leaving) }

// isLive reports whether the instance is there.
func (m *Members) isLive(id string) bool {
	_, ready := slices.BinarySearch(m.Ready, id)
	_, leaving := slices.BinarySearch(m.Leaving, id)
	return ready || leaving
}

// rank returns the weight of an instance for a tenant in rendezvous hashing.
func rank(tenant, instanceID string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(tenant)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(instanceID)
	return h.Sum64()
}

// outranks reports whether instance a comes before b for the tenant.
func outranks(tenant, a, b string) bool {
	x, y := rank(tenant, a), rank(tenant, b)
	return x > y || x == y && a > b
}

// maxHomes is the number of instances that are asked for the grants of one tenant.
const maxHomes = 3

// order returns the maxHomes highest-ranked of the ids, the highest first.
func order(tenant string, ids []string) []string {
	type ranked struct {
		id   string
		rank uint64
	}
	var top [maxHomes]ranked
	n := 0
	for _, id := range ids {
		r := ranked{id, rank(tenant, id)}
		i := n
		for i > 0 && (r.rank > top[i-1].rank || r.rank == top[i-1].rank && id > top[i-1].id) {
			if i < maxHomes {
				top[i] = top[i-1]
			}
			i--
		}
		if i < maxHomes {
			top[i] = r
			n = min(n+1, maxHomes)
		}
	}
	result := make([]string, n)
	for i := range result {
		result[i] = top[i].id
	}
	return result
}

const (
	// settleTime is how long the members must not have grown before a daemon that has
	// just started is the home of tenants.
	settleTime = 500 * time.Millisecond
	// maxSettleTime is after how long a daemon that knows others is, or knows of some, and
	// aloneTime after how long one that knows of none.
	maxSettleTime = 3 * time.Second
	aloneTime     = 10 * time.Second
)

// knownMembers is what a daemon has seen of its members over time.
type knownMembers struct {
	members *Members
	// changed is when the ready members last changed, grew when there were last more.
	changed, grew time.Time
}

// observe records the present members and returns them.
func (k *knownMembers) observe(now time.Time, m *Members) *Members {
	if m == k.members {
		return m
	}
	if k.members == nil || m.live() > k.members.live() {
		k.grew = now
	}
	if k.members == nil || !slices.Equal(m.Ready, k.members.Ready) {
		k.changed = now
	}
	k.members = m
	return m
}

// isSettled reports whether the daemon, which began at began, knows its fleet well enough to
// be the home of tenants. A daemon that has just started knows a part of the fleet
// at first.
func (k *knownMembers) isSettled(now, began time.Time) bool {
	age := now.Sub(began)
	switch isAlone := k.members.live() < 2; {
	case isAlone && k.members.Strangers == 0:
		return age >= aloneTime
	case isAlone, k.members.IsUncounted:
		return age >= maxSettleTime
	}
	return age >= maxSettleTime || now.Sub(k.grew) >= settleTime
}
