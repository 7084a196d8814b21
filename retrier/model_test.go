package retrier

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/applier"
)

// phase is a number of steps with the same number of calls each, all of which fail
// or none.
type phase struct {
	steps, calls int
	failing      bool
}

func drawPhase(t *rapid.T) phase {
	return phase{
		steps: rapid.IntRange(1, 150).Draw(t, "steps"), calls: rapid.IntRange(0, 8).Draw(t, "calls"),
		failing: rapid.Bool().Draw(t, "failing"),
	}
}

// TestSharedBudgetStateMachine checks under random load that the retries of a
// fleet in every window stay within the allowance plus the ratio of the calls in
// that window, in the one before it, or in one that overlaps half of each.
func TestSharedBudgetStateMachine(t *testing.T) {
	const (
		step   = 100 * time.Millisecond
		window = 100
	)
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(rt, "daemons")
		share := SharedBudget{
			Ratio: float64(rapid.IntRange(5, 40).Draw(rt, "percent")) / 100, Window: window * step,
			Allowance: float64(rapid.IntRange(0, 200).Draw(rt, "allowance")),
		}
		phases := rapid.SliceOfN(rapid.Custom(drawPhase), 1, 6).Draw(rt, "phases")
		policy := &applier.Policy{Service: "payout-desk", Idempotent: true, MaxRetries: 3}
		var first, retries []float64
		synctest.Test(t, func(*testing.T) {
			fleet := make([]*Retrier, daemons)
			for i := range fleet {
				fleet[i] = &Retrier{Daemons: func() int { return daemons }}
				fleet[i].SetSharedBudget(share)
			}
			for _, p := range phases {
				for range p.steps {
					firstInStep, retriesInStep := 0.0, 0.0
					for n := range p.calls {
						c := fleet[n%daemons].Begin("shares", policy, http.Header{})
						firstInStep++
						for p.failing && c.retries < policy.MaxRetries && c.withdrawRetry() {
							c.retries++
							retriesInStep++
						}
					}
					first, retries = append(first, firstInStep), append(retries, retriesInStep)
					time.Sleep(step)
				}
			}
		})
		sum := func(of []float64, from, to int) (total float64) {
			for i := max(0, from); i < to; i++ {
				total += of[i]
			}
			return total
		}
		for end := 1; end <= len(first); end++ {
			calls := slices.Max([]float64{
				sum(first, end-window, end), sum(first, end-2*window, end-window), sum(first, end-window*3/2, end-window/2),
			})
			if got, limit := sum(retries, end-window, end), share.Ratio*calls+share.Allowance; got > limit {
				rt.Fatalf("window that ends at step %d: got %v retries, want at most %v", end, got, limit)
			}
		}
	})
}
