package daemon

// Tuning replaces policies by simpler ones, for comparisons in measurements.
// The zero value leaves the policies as they are.
type Tuning struct {
	// Choices is the number of targets that are compared for a call; 0 means the
	// picker's own number, 1 a random choice.
	Choices int
	// NoLimiter lets every call go to the target at once.
	NoLimiter bool
}

// Tune applies a tuning. It must be called before Run.
func (d *Daemon) Tune(t Tuning) {
	d.forwarder.Picker.Choices = t.Choices
	if t.NoLimiter {
		d.executor.Admit = nil
	}
}
