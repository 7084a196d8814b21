package retrier

import "sync/atomic"

const (
	// unitsPerRetry is the price of one retry; a first attempt deposits as many
	// units as the budget has percent.
	unitsPerRetry = 100
	// maxUnits bounds what a quiet time saves up.
	maxUnits = 100 * unitsPerRetry
	// initialUnits lets a route that has hardly been used retry at all.
	initialUnits = 3 * unitsPerRetry
)

// Budget is a token bucket that first attempts fill and retries empty. The zero
// value holds a few retries.
type Budget struct {
	// units is what the bucket holds above initialUnits; it may be negative.
	units atomic.Int64
}

func (b *Budget) deposit(units int) {
	for {
		old := b.units.Load()
		if old >= maxUnits-initialUnits {
			return
		}
		if b.units.CompareAndSwap(old, min(old+int64(units), maxUnits-initialUnits)) {
			return
		}
	}
}

func (b *Budget) withdraw() bool {
	for {
		old := b.units.Load()
		if old+initialUnits < unitsPerRetry {
			return false
		}
		if b.units.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}
