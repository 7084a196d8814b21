package daemon

// Tuning replaces load-balancing and admission policies by simpler ones, so that
// measurements can compare them. The zero value keeps the policies.
type Tuning struct {
	// Choices is the number of randomly chosen targets that the picker compares for
	// a call; 0 means the picker's default, 1 a random choice.
	Choices int
	// NoLimiter turns admission control off: every call goes to the target at once.
	NoLimiter bool
}

// Tune applies t. It must be called before Run.
func (d *Daemon) Tune(t Tuning) {
	d.forwarder.Picker.Choices = t.Choices
	if t.NoLimiter {
		d.executor.Admit = nil
	}
}
