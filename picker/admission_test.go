package picker

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/versioner"
)

// admissionResult is how evenly the targets of a simulated fleet were loaded.
type admissionResult struct {
	// failed is the share of the calls that every target refused.
	failed float64
	// besideRoom is the share of the arrivals refused by a full target while another had two
	// free slots.
	besideRoom float64
	// uneven is the share of the seconds in which one target had a call waiting on average
	// while another had half of its slots free.
	uneven float64
	// spread is the coefficient of variation of the targets' load over their speed, in the
	// mean second.
	spread         float64
	wait50, wait99 time.Duration
}

// admittingTarget is the limiter of a target's daemon, with the load of the current second.
type admittingTarget struct {
	limiter          limiter.Limiter
	running, waiting float64
}

func newAdmittingTarget(slots int) *admittingTarget {
	a := new(admittingTarget)
	a.limiter.Applier = new(applier.Applier)
	a.limiter.Service = func() string { return "ledger-view" }
	a.limiter.Announced = func() int { return slots }
	a.limiter.Update()
	return a
}

// admissionWatcher makes calls in a fleet whose targets' daemons refuse calls, and watches its
// targets.
type admissionWatcher struct {
	targets map[string]*fleetTarget

	mu                                    sync.Mutex
	arrivals, failed, besideRoom, seconds int
	result                                admissionResult
	waits                                 []time.Duration
}

// call makes attempts until a target admits the call, and returns the last one's choice.
func (w *admissionWatcher) call(p *Picker, policy *applier.Policy, objective, work time.Duration) Choice {
	ctx, cancel := context.WithTimeout(context.Background(), 5*objective/2)
	defer cancel()
	began, tried := time.Now(), Tried{}
	for attempt := 0; ; attempt++ {
		c, _ := p.Pick(policy, Need{Objective: objective}, tried)
		tried.Add(c)
		x := w.targets[c.Record.InstanceID]
		time.Sleep(500 * time.Microsecond)
		arrived := time.Now()
		slot, err := x.admission.limiter.Admit(ctx, limiter.Request{
			Class: versioner.ClassLookup, Objective: objective, Waited: time.Since(began), MayGoElsewhere: attempt == 0,
		})
		w.observe(x, time.Since(arrived), err)
		result := Result{Outcome: Overloaded, HasLoad: true, Bytes: 5000}
		if err == nil {
			time.Sleep(time.Duration(float64(work) / x.speed))
			slot.Release()
			result.Outcome = Answered
		}
		load := x.admission.limiter.Load()
		result.Running, result.Waiting, result.Slots = load.Running, load.Waiting, load.Slots
		result.Run = x.admission.limiter.MeanRun(versioner.ClassLookup, 0)
		time.Sleep(500 * time.Microsecond)
		c.Done(result)
		if err == nil {
			return c
		}
		if attempt == 3 {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.failed++
			return c
		}
	}
}

// observe counts an arrival at a target.
func (w *admissionWatcher) observe(at *fleetTarget, waited time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals++
	at.calls++
	if err == nil {
		w.waits = append(w.waits, waited)
		return
	}
	for _, x := range w.targets {
		if load := x.admission.limiter.Load(); x != at && load.Waiting == 0 && load.Slots-load.Running >= 2 {
			w.besideRoom++
			return
		}
	}
}

// watch samples the load of the targets for the given time.
func (w *admissionWatcher) watch(length time.Duration) {
	const samples = 50 // a second
	for range length / time.Second {
		for range samples {
			time.Sleep(time.Second / samples)
			for _, x := range w.targets {
				load := x.admission.limiter.Load()
				x.admission.running += float64(load.Running) / samples
				x.admission.waiting += float64(load.Waiting) / samples
			}
		}
		sum, squares, n, queues, idles := 0.0, 0.0, float64(len(w.targets)), false, false
		for _, x := range w.targets {
			a := x.admission
			load := (a.running + a.waiting) / x.speed
			sum, squares = sum+load, squares+load*load
			queues, idles = queues || a.waiting >= 1, idles || a.running <= float64(cap(x.slots))/2
			a.running, a.waiting = 0, 0
		}
		w.result.spread += math.Sqrt(squares/n-sum*sum/n/n) / (sum / n)
		if queues && idles {
			w.result.uneven++
		}
		w.seconds++
	}
}

// summary returns the result for a number of calls.
func (w *admissionWatcher) summary(calls int) admissionResult {
	if w.seconds == 0 {
		return admissionResult{}
	}
	slices.Sort(w.waits)
	r := w.result
	r.failed, r.besideRoom = float64(w.failed)/float64(calls), float64(w.besideRoom)/float64(w.arrivals)
	r.uneven, r.spread = r.uneven/float64(w.seconds), r.spread/float64(w.seconds)
	r.wait50, r.wait99 = w.waits[len(w.waits)/2], w.waits[len(w.waits)*99/100]
	return r
}

// Many daemons choose among targets that differ in speed, at once and by news that is older than
// the targets' run times. If all choose the targets from which they expect the earliest answer,
// they overrun these in turns: calls fail because four full targets refuse them in a row,
// while others of the service have free slots.
func TestCallsFindRoomByOldNews(t *testing.T) {
	const maxFailed = 0.01
	for _, utilization := range []float64{0.65, 0.75, 0.85} {
		l := fleetLoad{
			domains: 4, targetsPerDomain: 7, slots: 9, entries: 15, utilization: utilization, swing: 0.3, admits: true,
			work: 190 * time.Millisecond, objective: 600 * time.Millisecond, length: 26 * time.Second,
		}
		got := l.play(t)
		t.Logf("utilization %.2f: %+v", utilization, got)
		if got.admission.failed > maxFailed {
			t.Errorf("utilization %.2f: got %+v, want at most %.2f of the calls failed", utilization, got, maxFailed)
		}
	}
}
