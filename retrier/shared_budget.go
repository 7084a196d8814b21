package retrier

import (
	"sync"
	"time"
)

// Share is a budget that all daemons have together for each service: the calls
// that reach a target beyond the first attempt, as a share of the calls for the
// service, in any window of time.
//
// Each daemon keeps to its own calls' share and an equal part of the allowance,
// so that the sums of all keep to the whole without a word between them. It takes
// the place of the percentage of each route.
type Share struct {
	// Ratio is the share of the calls; 0 means that there is no such budget.
	Ratio float64
	// Window is the time over which it holds.
	Window time.Duration
	// Allowance is what all daemons may send again in the window beyond Ratio.
	Allowance float64
}

const (
	// shareUsed is the part of the budget that is used. What targets call in a run
	// that was itself sent again counts too, and no daemon sees that.
	shareUsed = 0.6
	// shareSteps is the number of steps in which a window moves on.
	shareSteps = 20
)

// usage counts the calls for one service, and those sent again, in a window.
type usage struct {
	mu    sync.Mutex
	steps [shareSteps]struct{ first, again float64 }
	// at numbers the step that is being counted.
	at int64
}

// forward moves the window on to now and returns the step of the present. The
// caller holds mu.
func (u *usage) forward(window time.Duration, since time.Duration) int {
	step := int64(since / (window / shareSteps))
	for ; u.at < step && step-u.at < shareSteps; u.at++ {
		u.steps[(u.at+1)%shareSteps] = struct{ first, again float64 }{}
	}
	if u.at < step {
		u.steps = [shareSteps]struct{ first, again float64 }{}
		u.at = step
	}
	return int(u.at % shareSteps)
}

// begin counts a first attempt.
func (u *usage) begin(window, since time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.steps[u.forward(window, since)].first++
}

// repeat counts a call that is sent again, if the share allows it.
func (u *usage) repeat(s Share, daemons int, since time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.forward(s.Window, since)
	first, again := 0.0, 0.0
	for _, step := range u.steps {
		first += step.first
		again += step.again
	}
	if again+1 > shareUsed*(s.Ratio*first+s.Allowance/float64(max(1, daemons))) {
		return false
	}
	u.steps[now].again++
	return true
}
