package limiter

import "sync/atomic"

const (
	// defaultBudgetBytes is the bound of a ByteBudget whose Max is 0.
	defaultBudgetBytes = 96 << 20
	// smallBodyBytes is the size up to which a body may take the last part of a budget.
	smallBodyBytes = 64 << 10
	// smallBodyShare is the part of a budget that only small bodies may take, so that large
	// ones don't keep them out.
	smallBodyShare = 8
)

// ByteBudget bounds the bytes of the bodies that a daemon reads or holds. The zero value has
// the default bound; a nil budget has none.
type ByteBudget struct {
	// Max is the bound in bytes; 0 means 96 MiB.
	Max int64

	taken atomic.Int64
}

// Take reserves the bytes of a body and reports whether there was room. A body that is read
// in parts takes them one after the other, each with the size of the body so far.
func (b *ByteBudget) Take(bytes, bodyBytes int64) bool {
	if b == nil {
		return true
	}
	bound := b.bound()
	if bodyBytes > smallBodyBytes {
		bound -= bound / smallBodyShare
	}
	if b.taken.Add(bytes) > bound {
		b.taken.Add(-bytes)
		return false
	}
	return true
}

// Give returns bytes that Take reserved.
func (b *ByteBudget) Give(bytes int64) {
	if b != nil {
		b.taken.Add(-bytes)
	}
}

// Taken returns the bytes that are reserved.
func (b *ByteBudget) Taken() int64 { return b.taken.Load() }

func (b *ByteBudget) bound() int64 {
	if b.Max == 0 {
		return defaultBudgetBytes
	}
	return b.Max
}
