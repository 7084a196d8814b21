package canarier

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"bambooweir.example/bambooweir/picker"
)

// preferenceTime is how long after it learned of a completed order a daemon sends no calls to
// the old targets, which stop then. Later it treats the targets of all versions alike, as the
// next release may come without an order.
const preferenceTime = 10 * time.Second

// rule is what this daemon does with the calls for one service. It is immutable but for credit.
type rule struct {
	directive Directive
	arrived   time.Time
	// credit counts this daemon's calls for the service, each as the share. A call goes to the
	// new version once the credit is that of a whole call.
	credit *credit
	// split separates the targets of the directive's version, settled those of no version.
	// Both leave out the barred ones; settled is nil if there are none.
	split, settled *picker.Split
}

// newRule returns the rule of a directive that replaces the rule old, which may be nil.
func newRule(d Directive, arrived time.Time, old *rule, hasAllowance bool) *rule {
	r := &rule{directive: d, arrived: arrived, split: &picker.Split{Version: d.Version, Canaries: d.Canaries, Barred: d.Barred}}
	if len(d.Barred) > 0 {
		r.settled = &picker.Split{Barred: d.Barred}
	}
	switch {
	case old != nil && old.directive.Version == d.Version:
		r.credit = old.credit
		if old.split.Canaries == d.Canaries && slices.Equal(old.split.Barred, d.Barred) {
			// The picker keeps the targets of a split that it knows.
			r.split = old.split
		}
	default:
		r.credit = newCredit(hasAllowance)
	}
	return r
}

// versions returns between which targets a call is balanced. isFirst says that the call was
// not sent to a target before.
func (r *rule) versions(isFirst bool, now time.Time) picker.Versions {
	d := &r.directive
	switch {
	case d.State == StateRolledBack:
		return picker.Versions{Split: r.settled}
	case d.State == StateCompleted && now.Sub(r.arrived) >= preferenceTime:
		return picker.Versions{Split: r.settled}
	case d.State == StateCompleted:
		return picker.Versions{Split: r.split, UseNew: true, IsMoved: true}
	}
	v := picker.Versions{Split: r.split}
	isFresh := now.Sub(r.arrived) < time.Duration(d.TTLMS)*time.Millisecond
	switch {
	case !isFresh || d.Share == 0:
	case d.Share >= shareUnit:
		v.UseNew, v.IsMoved = true, true
	case isFirst:
		v.UseNew = r.credit.take(d.Share)
	}
	return v
}

// credit is an exact counter of the calls that may go to a new version.
//
// Invariant: after n calls of take with shares of at most s, a credit that began empty has
// taken at most n*s whole calls, and any other at most n*s+1. The sum over all daemons is
// bounded without any daemon that counts for the others.
type credit struct{ parts atomic.Int64 }

// newCredit returns a credit, at a random position if there is an allowance: the mean over all
// daemons is the share then, too, and those with few calls also send some.
func newCredit(hasAllowance bool) *credit {
	c := new(credit)
	if hasAllowance {
		c.parts.Store(rand.Int64N(shareUnit))
	}
	return c
}

// take adds the share of one call and reports whether that makes a whole one.
func (c *credit) take(share int64) bool {
	for {
		old := c.parts.Load()
		next := old + share
		isWhole := next >= shareUnit
		if isWhole {
			next -= shareUnit
		}
		if c.parts.CompareAndSwap(old, next) {
			return isWhole
		}
	}
}
