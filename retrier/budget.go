package retrier

import "sync/atomic"

const (
	// unitsPerRetry is the cost of one retry. A first attempt deposits as many
	// units as the route's budget has percent.
	unitsPerRetry = 100
	// maxUnits is the capacity of the bucket, which bounds a burst of retries
	// after a time without failures.
	maxUnits = 100 * unitsPerRetry
	// initialUnits are the units of a new bucket, so that a route that has
	// hardly been used can retry too.
	initialUnits = 3 * unitsPerRetry
)

// Budget is a token bucket that first attempts fill and retries empty. The zero
// value holds initialUnits.
type Budget struct {
	// units is the content of the bucket minus initialUnits; it may be negative.
	units atomic.Int64
}

// deposit adds units up to the capacity.
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

// withdraw takes the cost of one retry from the bucket, and reports whether the
// bucket held enough. If not, it takes nothing.
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
