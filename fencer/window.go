package fencer

// window detects repeated sequence numbers of one link. It remembers the last
// windowSize numbers up to the highest.
type window struct {
	highest uint64
	// seen is a ring of bits; the bit of number n is at n modulo windowSize.
	seen [windowSize / 64]uint64
}

// windowSize bounds, in sequence numbers, how far a message may arrive behind the
// highest one. Older numbers are refused.
const windowSize = 4096

// add records the number and reports whether it is new. It returns false for 0,
// for a number received before and for one below the window.
func (w *window) add(n uint64) bool {
	if n == 0 || n+windowSize <= w.highest {
		return false
	}
	if n > w.highest {
		for i := w.highest + 1; i <= n && i <= w.highest+windowSize; i++ {
			w.seen[i%windowSize/64] &^= 1 << (i % 64)
		}
		w.highest = n
	}
	bit := uint64(1) << (n % 64)
	word := &w.seen[n%windowSize/64]
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}
