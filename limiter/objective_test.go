package limiter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const testObjective = 400 * time.Millisecond

func withObjective(r Request) Request {
	r.Objective = testObjective
	return r
}

// occupy takes all slots, which are free again after the run.
func occupy(t *testing.T, l *Limiter, run time.Duration) {
	t.Helper()
	for _, slot := range mustAdmit(t, l, l.Load().Slots, withObjective(Request{Class: lookup, Partner: "magnolia"})) {
		go func() {
			time.Sleep(run)
			slot.Release()
		}()
	}
}

// onePartner is a limiter with slots for one partner, none of them reserved.
func onePartner(t *testing.T, slots int) *Limiter {
	t.Helper()
	l := newLimiter(t)
	offerOne(t, l.Applier, slots)
	l.Update()
	return l
}

// busy is onePartner with all slots taken by calls that have just begun and take
// as long as others did before them.
func busy(t *testing.T, slots int, run time.Duration) *Limiter {
	t.Helper()
	l := onePartner(t, slots)
	occupy(t, l, run)
	time.Sleep(run)
	synctest.Wait()
	occupy(t, l, run)
	return l
}

func TestObjectiveOrdersTheQueue(t *testing.T) {
	tests := []struct {
		name          string
		first, second Request
	}{
		{"priority goes first", Request{Priority: 2}, Request{Priority: 1}},
		{"the shorter objective goes first", Request{}, Request{Objective: 250 * time.Millisecond}},
		{"who came back goes first", Request{}, Request{Waited: 80 * time.Millisecond}},
		{"a nested call goes first", Request{}, Request{IsNested: true}},
		{"who is late already goes last", Request{Waited: 395 * time.Millisecond}, Request{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := busy(t, 1, 10*time.Millisecond)
				var order []string
				var mu sync.Mutex
				var wg sync.WaitGroup
				for _, c := range []struct {
					name string
					r    Request
				}{{"first", tt.first}, {"second", tt.second}} {
					r := c.r
					r.Class, r.Partner = lookup, "magnolia"
					if r.Objective == 0 {
						r.Objective = testObjective
					}
					wg.Go(func() {
						slot, err := l.Admit(t.Context(), r)
						if err != nil {
							t.Errorf("%s: %v", c.name, err)
							return
						}
						mu.Lock()
						order = append(order, c.name)
						mu.Unlock()
						slot.Release()
					})
					synctest.Wait()
				}
				wg.Wait()
				if len(order) != 2 || order[0] != "second" {
					t.Errorf("order: got %v, want second first", order)
				}
			})
		})
	}
}

// A call that can't start in time is refused at once, with the time after which
// it may come back.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := busy(t, 12, 390*time.Millisecond)
		defer time.Sleep(time.Second)
		start := time.Now()
		_, err := l.Admit(t.Context(), withObjective(Request{Class: lookup, Partner: "magnolia"}))
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Cause != CauseExpectedWait || refused.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal for the expected wait that says when to come back", err)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("refused after %v, want at once", took)
		}
	})
}

// A nested call waits up to its deadline: refusing it wastes its parent's work.
func TestNestedCallWaitsUpToItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := busy(t, 12, 300*time.Millisecond)
		defer time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := Request{Class: lookup, Partner: "magnolia", Objective: 120 * time.Millisecond, IsNested: true}
		slot, err := l.Admit(ctx, r)
		if err != nil {
			t.Fatalf("got %v, want a slot", err)
		}
		slot.Release()
	})
}

// TestOverload plays 150 % of what a target can run, with callers that come
// back once, and checks what they get: nearly all slots bring answers in time,
// and refusals come at once.
func TestOverload(t *testing.T) {
	const (
		run   = 100 * time.Millisecond
		calls = 3000
	)
	synctest.Test(t, func(t *testing.T) {
		l := onePartner(t, 12)
		gap := run / 12 * 2 / 3
		var mu sync.Mutex
		inTime, late, refusals := 0, 0, 0
		var held time.Duration
		var wg sync.WaitGroup
		began := time.Now()
		for range calls {
			time.Sleep(gap)
			wg.Go(func() {
				start := time.Now()
				for range 2 {
					asked := time.Now()
					ctx, cancel := context.WithDeadline(t.Context(), start.Add(1500*time.Millisecond))
					slot, err := l.Admit(ctx, Request{
						Class: lookup, Partner: "magnolia", Objective: testObjective, Waited: asked.Sub(start),
					})
					cancel()
					if err == nil {
						time.Sleep(run)
						slot.Release()
						mu.Lock()
						if time.Since(start) <= testObjective {
							inTime++
						} else {
							late++
						}
						mu.Unlock()
						return
					}
					var refused *RefusedError
					if !errors.As(err, &refused) {
						t.Errorf("got %v, want a refusal", err)
						return
					}
					mu.Lock()
					refusals++
					held = max(held, time.Since(asked))
					mu.Unlock()
					time.Sleep(refused.RetryAfter)
				}
			})
		}
		wg.Wait()
		capacity := int(time.Since(began)/run) * 12
		if inTime < capacity*9/10 {
			t.Errorf("answers in time: got %d, want nine tenths of the %d that fit", inTime, capacity)
		}
		if late > inTime/20 {
			t.Errorf("late answers: got %d of %d, want one in twenty at most", late, inTime)
		}
		if held > testObjective/2 {
			t.Errorf("longest wait for a refusal: got %v, want half of the objective at most", held)
		}
	})
}
