package retrier

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
)

// TestShareHoldsOverAllDaemons plays a fleet whose every call fails, with calls
// that come in waves, and checks the sum of what is sent again in every window.
func TestShareHoldsOverAllDaemons(t *testing.T) {
	const (
		daemons = 13
		seconds = 60
	)
	share := Share{Ratio: 0.2, Window: 10 * time.Second, Allowance: 62}
	policy := &applier.Policy{Service: "payout-desk", Idempotent: true, MaxRetries: 3}
	synctest.Test(t, func(t *testing.T) {
		fleet := make([]*Retrier, daemons)
		for i := range fleet {
			fleet[i] = &Retrier{Daemons: func() int { return daemons }}
			fleet[i].SetSharedBudget(share)
		}
		var first, again [seconds * 10]float64
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
					for c.retries < policy.MaxRetries && c.allow() {
						c.retries++
						again[step]++
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		const window = 100
		total := 0.0
		for end := window; end <= len(first); end++ {
			f, a := 0.0, 0.0
			for i := end - window; i < end; i++ {
				f += first[i]
				a += again[i]
			}
			total += a
			if limit := share.Ratio*f + share.Allowance; a > limit {
				t.Fatalf("window that ends at %d ms: got %v calls sent again, want at most %v", end*100, a, limit)
			}
		}
		if total == 0 {
			t.Error("calls sent again: got none, want some")
		}
	})
}

// What has not run and loaded no target needs no budget.
func TestNoRoomNeedsNoBudget(t *testing.T) {
	r := new(Retrier)
	r.SetSharedBudget(Share{Ratio: 0.0001, Window: time.Second})
	c := r.Begin("shares", &applier.Policy{Service: "s"}, http.Header{})
	for i := range maxRedispatches {
		if !c.Retry(t.Context(), FailureObjectiveUnmet) {
			t.Fatalf("attempt %d: got none, want one", i+2)
		}
	}
	if c.Retry(t.Context(), FailureObjectiveUnmet) {
		t.Error("after the last: got another attempt, want none")
	}
	if c.Retry(t.Context(), FailureShed) {
		t.Error("shed without a budget: got another attempt, want none")
	}
}
