package retrier

import (
	"sync"
	"time"
)

// SharedBudget is a retry budget that all daemons share for each service: it
// limits the attempts that reach a target beyond the first one, as a share of the
// calls for the service, in every window of time.
//
// Each daemon keeps to the ratio of its own calls and to an equal part of the
// allowance, so the fleet as a whole stays within the budget without
// communication between daemons. A shared budget replaces the percentage of each
// route.
type SharedBudget struct {
	// Ratio is the number of retries per call; 0 disables the shared budget.
	Ratio float64
	// Window is the time over which the budget is measured.
	Window time.Duration
	// Allowance is the number of retries in a window that all daemons together
	// may make beyond Ratio.
	Allowance float64
}

const (
	// usableBudgetShare is the part of the budget that the daemons use. The rest covers
	// a falling rate of calls, after which retries paid for by earlier calls fall into
	// a window with few, and calls that belong to a retry, which are counted but can't
	// be refused where they alone exceed a daemon's part.
	usableBudgetShare = 0.6
	// windowSteps is the number of steps in which a window advances.
	windowSteps = 20
	// countedSteps is the number of steps whose retries count against the budget. The
	// current step has only begun, so windowSteps alone would forget retries that are
	// less than a window old.
	countedSteps = windowSteps + 1
)

// serviceWindow counts the calls for one service and their retries, by step of
// the window.
type serviceWindow struct {
	mu    sync.Mutex
	steps [countedSteps]struct{ first, retries float64 }
	// current is the number of the step that is being counted, since the clock
	// started.
	current int64
}

// advance moves the window to the present, clears the steps that have left it
// and returns the index of the current step. The caller holds mu.
func (w *serviceWindow) advance(window time.Duration, elapsed time.Duration) int {
	step := int64(elapsed / max(1, window/windowSteps))
	for ; w.current < step && step-w.current < countedSteps; w.current++ {
		w.steps[(w.current+1)%countedSteps] = struct{ first, retries float64 }{}
	}
	if w.current < step {
		w.steps = [countedSteps]struct{ first, retries float64 }{}
		w.current = step
	}
	return int(w.current % countedSteps)
}

// countCall counts the first attempt of a call. A call that belongs to a retry of
// another one counts as a retry, since it reaches its service once more as well.
func (w *serviceWindow) countCall(window, elapsed time.Duration, belongsToRetry bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(window, elapsed)
	if belongsToRetry {
		w.steps[current].retries++
		return
	}
	w.steps[current].first++
}

// allowRetry counts a retry if the daemon's part of the budget allows it, and
// reports whether it does.
func (w *serviceWindow) allowRetry(s SharedBudget, daemons int, elapsed time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(s.Window, elapsed)
	first, retries := 0.0, 0.0
	for i, step := range w.steps {
		retries += step.retries
		// The calls of the oldest step may be more than a window old.
		if oldest := (current + 1) % countedSteps; i != oldest {
			first += step.first
		}
	}
	if retries+1 > usableBudgetShare*(s.Ratio*first+s.Allowance/float64(max(1, daemons))) {
		return false
	}
	w.steps[current].retries++
	return true
}
