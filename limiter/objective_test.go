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

// fillSlots occupies all slots with calls that end after run.
func fillSlots(t *testing.T, l *Limiter, run time.Duration) {
	t.Helper()
	for _, slot := range mustAdmit(t, l, l.Load().Slots, withObjective(Request{Class: lookup, Partner: "magnolia"})) {
		go func() {
			time.Sleep(run)
			slot.Release()
		}()
	}
}

// newOnePartnerLimiter returns a limiter with one partner and no reserved slots.
func newOnePartnerLimiter(t *testing.T, slots int) *Limiter {
	t.Helper()
	l := newLimiter(t)
	applyOnePartnerConfig(t, l.Applier, slots)
	l.Update()
	return l
}

// newBusyLimiter returns a limiter as newOnePartnerLimiter does, with all slots
// occupied by calls that have just started. The mean run time is known to be run,
// which these calls take as well.
func newBusyLimiter(t *testing.T, slots int, run time.Duration) *Limiter {
	t.Helper()
	l := newOnePartnerLimiter(t, slots)
	fillSlots(t, l, run)
	time.Sleep(run)
	synctest.Wait()
	fillSlots(t, l, run)
	return l
}

func TestObjectiveOrdersTheQueue(t *testing.T) {
	high, low, lowest := 0, 2, 7
	tests := []struct {
		name          string
		first, second Request
	}{
		{"priority goes first", Request{Priority: 2}, Request{Priority: 1}},
		{"the tenant's priority goes before the route's", Request{Priority: 0, TenantPriority: &low}, Request{Priority: 2, TenantPriority: &high}},
		{"the route's priority orders the calls of equal tenants", Request{Priority: 1, TenantPriority: &low}, Request{TenantPriority: &low}},
		{"a tenant without a priority has the route's", Request{Priority: 1, TenantPriority: &low}, Request{Priority: 1}},
		{"a tenant's priority goes before a lower one of a route", Request{Priority: 1}, Request{Priority: 1, TenantPriority: &high}},
		{"the tenant's priority goes before nesting", Request{Priority: 1, IsNested: true}, Request{Priority: 1, TenantPriority: &high}},
		{"low priorities of tenants differ", Request{TenantPriority: &lowest}, Request{Priority: 3}},
		{"the shorter objective goes first", Request{}, Request{Objective: 250 * time.Millisecond}},
		{"a retried call goes first", Request{}, Request{Waited: 80 * time.Millisecond}},
		{"a nested call goes first", Request{}, Request{IsNested: true}},
		{"a late call goes last", Request{Waited: 395 * time.Millisecond}, Request{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newBusyLimiter(t, 1, 10*time.Millisecond)
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

// TestRunTimesAreThoseOfTheRoutesPriority guards against the run times of two kinds of
// requests being mixed because their tenants have the same priority.
func TestRunTimesAreThoseOfTheRoutesPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOnePartnerLimiter(t, 12)
		first := 0
		for priority, run := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond} {
			slot := mustAdmit(t, l, 1, withObjective(Request{Class: lookup, Partner: "magnolia", Priority: priority, TenantPriority: &first}))[0]
			time.Sleep(run)
			slot.Release()
		}
		for priority, want := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond} {
			if got := l.MeanRun(lookup, priority); got != want {
				t.Errorf("mean run time at priority %d: got %v, want %v", priority, got, want)
			}
		}
	})
}

// TestCallThatCannotStartInTimeIsRefusedAtOnce checks that a call that can't be
// expected to start in time is refused without waiting, with the time after which
// it may be retried.
func TestCallThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newBusyLimiter(t, 12, 390*time.Millisecond)
		defer time.Sleep(time.Second)
		start := time.Now()
		_, err := l.Admit(t.Context(), withObjective(Request{Class: lookup, Partner: "magnolia"}))
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Cause != CauseExpectedWait || refused.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal for the expected wait with a positive RetryAfter", err)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("refused after %v, want at once", took)
		}
	})
}

// TestNestedCallWaitsUpToItsDeadline guards against refusing a nested call because
// of its objective, which would waste the work done for its parent.
func TestNestedCallWaitsUpToItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newBusyLimiter(t, 12, 300*time.Millisecond)
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

// TestOverload simulates a load of 150 % of a target's capacity, with callers that
// retry once. It checks that nearly the whole capacity goes to answers that meet the
// objective, and that refused callers are refused early.
func TestOverload(t *testing.T) {
	const (
		run   = 100 * time.Millisecond
		calls = 3000
	)
	synctest.Test(t, func(t *testing.T) {
		l := newOnePartnerLimiter(t, 12)
		interval := run / 12 * 2 / 3
		var mu sync.Mutex
		inTime, late, refusals := 0, 0, 0
		var longestRefusal time.Duration
		var wg sync.WaitGroup
		testStart := time.Now()
		for range calls {
			time.Sleep(interval)
			wg.Go(func() {
				start := time.Now()
				for range 2 {
					attempt := time.Now()
					ctx, cancel := context.WithDeadline(t.Context(), start.Add(1500*time.Millisecond))
					slot, err := l.Admit(ctx, Request{
						Class: lookup, Partner: "magnolia", Objective: testObjective, Waited: attempt.Sub(start),
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
					longestRefusal = max(longestRefusal, time.Since(attempt))
					mu.Unlock()
					time.Sleep(refused.RetryAfter)
				}
			})
		}
		wg.Wait()
		capacity := int(time.Since(testStart)/run) * 12
		if inTime < capacity*9/10 {
			t.Errorf("answers in time: got %d, want at least nine tenths of the capacity of %d", inTime, capacity)
		}
		if late > inTime/20 {
			t.Errorf("late answers: got %d of %d, want at most one in twenty of those in time", late, inTime)
		}
		if longestRefusal > testObjective/2 {
			t.Errorf("longest wait for a refusal: got %v, want at most half of the objective", longestRefusal)
		}
	})
}
