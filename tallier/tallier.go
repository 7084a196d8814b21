// Package tallier counts the calls of tenants by outcome: those of the busiest tenants
// for each of them, and those of all others together.
//
// It is designed for many tenants of which few make most calls, so that what a daemon
// keeps and reports does not grow with their number.
package tallier

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// defaultMax is the number of tenants that are counted by name unless Max is set.
	defaultMax = 48
	// rankWindowCalls is the number of calls after which past calls count half in the
	// choice of the busiest tenants.
	rankWindowCalls = 1 << 16
)

// Outcome is how a call ended.
type Outcome int

// The outcomes of calls.
const (
	// Answered means that the caller got the target's answer.
	Answered Outcome = iota
	// Refused means that the call did not run, although its tenant kept to its quota.
	Refused
	// OverQuota means that the call did not run because its tenant was over its quota.
	OverQuota
	// Unknown means that the call may have run.
	Unknown
)

// Counts counts calls. Asked is the sum of the others.
type Counts struct {
	Asked     uint64 `json:"asked"`
	Answered  uint64 `json:"answered"`
	Refused   uint64 `json:"refused"`
	OverQuota uint64 `json:"over-quota"`
	Unknown   uint64 `json:"unknown"`
}

// add counts one call.
func (c *Counts) add(outcome Outcome) {
	c.Asked++
	switch outcome {
	case Answered:
		c.Answered++
	case Refused:
		c.Refused++
	case OverQuota:
		c.OverQuota++
	case Unknown:
		c.Unknown++
	}
}

// merge adds the calls of other.
func (c *Counts) merge(other Counts) {
	c.Asked += other.Asked
	c.Answered += other.Answered
	c.Refused += other.Refused
	c.OverQuota += other.OverQuota
	c.Unknown += other.Unknown
}

// Tally holds the counts of one tenant.
type Tally struct {
	Tenant string `json:"tenant"`
	// Counts starts at 0 when the tenant becomes one of the busiest.
	Counts
}

// Tallier counts the calls of tenants. The zero value is ready to use, also by several
// goroutines.
//
// Invariant: each call is counted once, either for its tenant or for the others. At most
// Max tenants are counted by name.
type Tallier struct {
	// Max is the number of tenants that are counted by name; 0 means 48.
	Max int

	mu      sync.Mutex
	busiest []entry
	// index maps the names of the busiest tenants to their places in busiest.
	index    map[string]int
	others   Counts
	inWindow int
}

// entry is a tenant that is counted by name.
type entry struct {
	Tally
	// rank estimates how many calls the tenant made recently; it is never too low.
	rank uint64
}

// Add counts one call of the tenant. A tenant that is not among the busiest takes the
// place of the one with the lowest rank and inherits its rank (the Space-Saving algorithm
// of Metwally et al.), so that a tenant with more than a Max-th of the calls is always
// among them.
func (t *Tallier) Add(tenant string, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.age()
	i, ok := t.index[tenant]
	if !ok {
		i = t.insert(tenant)
	}
	t.busiest[i].rank++
	t.busiest[i].add(outcome)
}

// age halves all ranks once rankWindowCalls have been counted. The caller holds mu.
func (t *Tallier) age() {
	t.inWindow++
	if t.inWindow < rankWindowCalls {
		return
	}
	t.inWindow = 0
	for i := range t.busiest {
		t.busiest[i].rank /= 2
	}
}

// insert begins to count a tenant by name and returns its place. The caller holds mu.
func (t *Tallier) insert(tenant string) int {
	if t.index == nil {
		t.index = make(map[string]int)
	}
	place := len(t.busiest)
	if place < cmp.Or(t.Max, defaultMax) {
		t.busiest = append(t.busiest, entry{})
	} else {
		place = 0
		for i := range t.busiest {
			if t.busiest[i].rank < t.busiest[place].rank {
				place = i
			}
		}
		t.others.merge(t.busiest[place].Counts)
		delete(t.index, t.busiest[place].Tenant)
	}
	t.busiest[place] = entry{Tally: Tally{Tenant: tenant}, rank: t.busiest[place].rank}
	t.index[tenant] = place
	return place
}

// Report returns the counts of the busiest tenants, the one with the most calls first,
// and those of all others.
func (t *Tallier) Report() (busiest []Tally, others Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	busiest = make([]Tally, 0, len(t.busiest))
	for i := range t.busiest {
		busiest = append(busiest, t.busiest[i].Tally)
	}
	slices.SortFunc(busiest, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Tenant, b.Tenant))
	})
	return busiest, t.others
}
