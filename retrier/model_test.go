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

// phase is a time in which calls come evenly and a part of them fails.
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

// Whatever the load: in every window, what a fleet sends again stays within the
// ratio of the calls of that window, or of the one before it, and the allowance.
func TestShareStateMachine(t *testing.T) {
	const (
		step   = 100 * time.Millisecond
		window = 100
	)
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(rt, "daemons")
		share := Share{
			Ratio: float64(rapid.IntRange(5, 40).Draw(rt, "percent")) / 100, Window: window * step,
			Allowance: float64(rapid.IntRange(0, 200).Draw(rt, "allowance")),
		}
		phases := rapid.SliceOfN(rapid.Custom(drawPhase), 1, 6).Draw(rt, "phases")
		policy := &applier.Policy{Service: "payout-desk", Idempotent: true, MaxRetries: 3}
		var first, again []float64
		synctest.Test(t, func(*testing.T) {
			fleet := make([]*Retrier, daemons)
			for i := range fleet {
				fleet[i] = &Retrier{Daemons: func() int { return daemons }}
				fleet[i].SetSharedBudget(share)
			}
			for _, p := range phases {
				for range p.steps {
					f, a := 0.0, 0.0
					for n := range p.calls {
						c := fleet[n%daemons].Begin("shares", policy, http.Header{})
						f++
						for p.failing && c.retries < policy.MaxRetries && c.allow() {
							c.retries++
							a++
						}
					}
					first, again = append(first, f), append(again, a)
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
			if got, limit := sum(again, end-window, end), share.Ratio*calls+share.Allowance; got > limit {
				rt.Fatalf("window that ends at step %d: got %v calls sent again, want at most %v", end, got, limit)
			}
		}
	})
}
