package retrier

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
)

// TestSharedBudgetHoldsOverAllDaemons simulates a fleet whose calls all fail, at a
// rate that alternates between high and low, and checks that the retries of all
// daemons together stay within the budget in every window.
func TestSharedBudgetHoldsOverAllDaemons(t *testing.T) {
	const (
		daemons = 13
		seconds = 60
	)
	share := SharedBudget{Ratio: 0.2, Window: 10 * time.Second, Allowance: 62}
	policy := &applier.Policy{Service: "payout-desk", Idempotent: true, MaxRetries: 3}
	synctest.Test(t, func(t *testing.T) {
		fleet := make([]*Retrier, daemons)
		for i := range fleet {
			fleet[i] = &Retrier{Daemons: func() int { return daemons }}
			fleet[i].SetSharedBudget(share)
		}
		var first, retries [seconds * 10]float64
		for step := range first {
			calls := 5
			if step/100%2 == 1 {
				calls = 1
			}
			for i, r := range fleet {
				if i%2 == step%2 {
					continue
				}
				for range calls {
					c := r.Begin("shares", policy, http.Header{})
					first[step]++
					for c.retries < policy.MaxRetries && c.withdrawRetry() {
						c.retries++
						retries[step]++
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		const window = 100
		total := 0.0
		for end := window; end <= len(first); end++ {
			firstInWindow, retriesInWindow := 0.0, 0.0
			for i := end - window; i < end; i++ {
				firstInWindow += first[i]
				retriesInWindow += retries[i]
			}
			total += retriesInWindow
			if limit := share.Ratio*firstInWindow + share.Allowance; retriesInWindow > limit {
				t.Fatalf("window that ends at %d ms: got %v retries, want at most %v", end*100, retriesInWindow, limit)
			}
		}
		if total == 0 {
			t.Error("retries: got none, want some")
		}
	})
}

// A call that was refused because its objective could not be met has put no load
// on a target, so it is sent to another one without a budget.
func TestUnmetObjectiveNeedsNoBudget(t *testing.T) {
	r := new(Retrier)
	r.SetSharedBudget(SharedBudget{Ratio: 0.0001, Window: time.Second})
	c := r.Begin("shares", &applier.Policy{Service: "s"}, http.Header{})
	for i := range maxRedispatches {
		if !c.Retry(t.Context(), FailureObjectiveUnmet) {
			t.Fatalf("attempt %d after an unmet objective: got false, want true", i+2)
		}
	}
	if c.Retry(t.Context(), FailureObjectiveUnmet) {
		t.Error("after the last redispatch: got another attempt, want none")
	}
	if c.Retry(t.Context(), FailureShed) {
		t.Error("shed without a budget: got another attempt, want none")
	}
}

// The calls that a target makes while it serves a retry reach their service once more,
// too. When both services fail, these calls and the retries for the called service
// together must stay within its budget: the daemon beside the target knows both.
func TestSharedBudgetCountsCallsOfRetriedRuns(t *testing.T) {
	const (
		daemons, seconds, callsPerRun = 20, 30, 3
		window                        = 100 // steps of 100 ms
	)
	share := SharedBudget{Ratio: 0.2, Window: 10 * time.Second, Allowance: 20}
	outer := &applier.Policy{Service: "ledger-view", Idempotent: true, MaxRetries: 3}
	inner := &applier.Policy{Service: "payout-desk", Idempotent: true, MaxRetries: 3}
	marked := http.Header{}
	marked.Set(AttemptHeader, "retry")
	synctest.Test(t, func(t *testing.T) {
		fleet := make([]*Retrier, daemons)
		for i := range fleet {
			fleet[i] = &Retrier{Daemons: func() int { return daemons }}
			fleet[i].SetSharedBudget(share)
		}
		var first, repeats [seconds * 10]float64
		// serve makes the calls of one run at the target of daemon i, all of which fail.
		serve := func(step, i int, isRetry bool) {
			for range callsPerRun {
				header := http.Header{}
				first[step]++
				if isRetry {
					header = marked
					first[step]--
					repeats[step]++
				}
				c := fleet[i].Begin("checks", inner, header)
				for c.retries < inner.MaxRetries && c.withdrawRetry() {
					c.retries++
					repeats[step]++
				}
			}
		}
		for step := range first {
			for i, r := range fleet {
				c := r.Begin("shares", outer, http.Header{})
				serve(step, (i+1)%daemons, false)
				for c.retries < outer.MaxRetries && c.withdrawRetry() {
					c.retries++
					serve(step, (i+1+c.retries)%daemons, true)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		for end := window; end <= len(first); end++ {
			firstInWindow, repeatsInWindow := 0.0, 0.0
			for i := end - window; i < end; i++ {
				firstInWindow += first[i]
				repeatsInWindow += repeats[i]
			}
			if limit := share.Ratio*firstInWindow + share.Allowance; repeatsInWindow > limit {
				t.Fatalf("window that ends at %d ms: got %v repeats, want at most %v", end*100, repeatsInWindow, limit)
			}
		}
	})
}

// A burst of retries must count against the budget for a whole window, wherever it lies
// between two steps in which the window advances.
func TestBurstOfRetriesCountsForWholeWindow(t *testing.T) {
	share := SharedBudget{Ratio: 0.1, Window: 10 * time.Second}
	policy := &applier.Policy{Service: "payout-desk", Idempotent: true, MaxRetries: 3}
	const calls = 1000
	tests := []struct {
		name  string
		burst time.Duration // from the start of a step
		after time.Duration // from the burst
		want  bool
	}{
		{name: "burst late in a step, nearly a window ago", burst: 400 * time.Millisecond, after: 9900 * time.Millisecond, want: false},
		{name: "burst early in a step, nearly a window ago", burst: 0, after: 9900 * time.Millisecond, want: false},
		{name: "burst late in a step, over a window and a step ago", burst: 400 * time.Millisecond, after: 10600 * time.Millisecond, want: true},
		{name: "burst early in a step, over a window and a step ago", burst: 0, after: 10600 * time.Millisecond, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := new(Retrier)
				r.SetSharedBudget(share)
				deposit := func() {
					for range calls {
						r.Begin("shares", policy, http.Header{})
					}
				}
				// withdraw makes retries until the budget refuses one.
				withdraw := func() (retries int) {
					c := r.Begin("shares", policy, http.Header{})
					for c.withdrawRetry() {
						retries++
					}
					return retries
				}
				deposit()
				time.Sleep(share.Window/2 + tt.burst)
				if withdraw() == 0 {
					t.Fatal("burst: got no retry, want some")
				}
				time.Sleep(tt.after)
				deposit() // the first calls are over a window old
				if got := withdraw() > 0; got != tt.want {
					t.Errorf("retries %v after the burst, with as many calls: got %v, want %v", tt.after, got, tt.want)
				}
			})
		})
	}
}

// A window with fewer nanoseconds than steps must be counted like any other.
func TestShortestWindow(t *testing.T) {
	r := new(Retrier)
	r.SetSharedBudget(SharedBudget{Ratio: 0.1, Window: time.Nanosecond, Allowance: 10})
	c := r.Begin("shares", &applier.Policy{Service: "payout-desk"}, http.Header{})
	if !c.withdrawRetry() {
		t.Error("first retry within the allowance: got false, want true")
	}
}
