package limiter

// This file orders the calls that wait for a slot.

// precedence returns the call's precedence among waiting calls.
func (r Request) precedence() precedence {
	p := precedence{rank: r.level(), level: r.level()}
	if r.TenantPriority != nil {
		p.rank = max(*r.TenantPriority, 0)
	}
	return p
}

// precedence orders waiting calls: first by rank, then by level.
type precedence struct {
	// rank is the tenant's priority, or else the level.
	rank int
	// level is the priority level. Run times are measured by level: how long a call runs
	// depends on what it asks for and not on its tenant.
	level int
}

// goesBefore reports whether a call with precedence p goes before one with other.
func (p precedence) goesBefore(other precedence) bool {
	if p.rank != other.rank {
		return p.rank < other.rank
	}
	return p.level < other.level
}

// counted returns the precedence by which a running call is counted: ranks from the last level
// on are not told apart.
func (p precedence) counted() precedence {
	p.rank = min(p.rank, priorityCount-1)
	return p
}

// turn is whether a call is nested, in the order in which calls of equal precedence go: the parents
// of nested calls occupy slots elsewhere until these return, but callers go before those of less
// urgent parents.
type turn int

const (
	turnNested turn = iota
	turnCaller
	turnNestedOfLessUrgent
)

// turn returns the call's turn.
func (r Request) turn() turn {
	switch {
	case r.IsNested && r.IsOfLessUrgent:
		return turnNestedOfLessUrgent
	case r.IsNested:
		return turnNested
	default:
		return turnCaller
	}
}

// goesBefore reports whether w gets a slot before other.
func (w *waiter) goesBefore(other *waiter) bool {
	if w.order != other.order {
		return w.order.goesBefore(other.order)
	}
	if w.turn != other.turn {
		return w.turn < other.turn
	}
	if w.isOverShare != other.isOverShare {
		return other.isOverShare
	}
	if w.isLate != other.isLate {
		return other.isLate
	}
	return w.expires.Before(other.expires)
}
