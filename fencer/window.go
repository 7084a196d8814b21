package fencer

// window recognises sequence numbers that were seen before.
type window struct {
	highest uint64
	seen    [windowSize / 64]uint64
}

// windowSize is how far behind the highest number a message may come.
const windowSize = 4096

// take says whether the number is seen for the first time.
func (w *window) take(n uint64) bool {
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
