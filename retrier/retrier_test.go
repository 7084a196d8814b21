package retrier

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
)

func lookupPolicy() *applier.Policy {
	return &applier.Policy{Idempotent: true, MaxRetries: 2, RetryBudgetPercent: 10, QueueLength: 16}
}

func TestRetryByFailure(t *testing.T) {
	lookup := lookupPolicy()
	posting := &applier.Policy{RetryBudgetPercent: 10, QueueLength: 32}
	retriedPosting := &applier.Policy{RetryBudgetPercent: 10, QueueLength: 32, MaxRetries: 1}
	noBudget := &applier.Policy{Idempotent: true, MaxRetries: 9}
	internalRead := &applier.Policy{Idempotent: true}
	for _, tt := range []struct {
		name      string
		policy    *applier.Policy
		hasHeader bool
		failure   Failure
		want      int
	}{
		{"idempotent", lookup, false, FailureUnknown, 2},
		{"idempotent and overloaded", lookup, false, FailureOverloaded, 2},
		{"belongs to a retry", lookup, true, FailureUnknown, 0},
		{"belongs to a retry but did not begin", lookup, true, FailureNotBegun, maxRedispatches},
		{"not idempotent", posting, false, FailureUnknown, 0},
		{"not idempotent, retries set", retriedPosting, false, FailureUnknown, 0},
		{"not idempotent, overloaded, retries set", retriedPosting, false, FailureOverloaded, 1},
		{"not idempotent, overloaded, no retries set", posting, false, FailureOverloaded, 0},
		{"not idempotent but did not begin", posting, false, FailureNotBegun, maxRedispatches},
		{"no queue, overloaded", internalRead, false, FailureOverloaded, maxRedispatches},
		{"only the initial units of the budget", noBudget, false, FailureUnknown, initialUnits / unitsPerRetry},
	} {
		synctest.Test(t, func(t *testing.T) {
			var r Retrier
			header := http.Header{}
			if tt.hasHeader {
				header.Set(AttemptHeader, "2")
			}
			c := r.Begin("shares", tt.policy, header)
			got := 0
			for c.Retry(t.Context(), tt.failure) {
				got++
			}
			if got != tt.want {
				t.Errorf("%s: got %d more attempts, want %d", tt.name, got, tt.want)
			}
			if want := tt.hasHeader || got > 0 && c.redispatches == 0; c.IsRetry() != want {
				t.Errorf("%s: IsRetry: got %v, want %v", tt.name, c.IsRetry(), want)
			}
		})
	}
}

func TestRetryEndsBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Retrier{}
		policy := &applier.Policy{Idempotent: true, MaxRetries: 1000, RetryBudgetPercent: 100}
		for range 1000 {
			r.Begin("shares", policy, nil)
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		c := r.Begin("shares", policy, nil)
		for c.Retry(ctx, FailureUnknown) {
		}
		if got := time.Since(start); got >= 500*time.Millisecond || got < 100*time.Millisecond {
			t.Errorf("time spent on retries: got %v, want less than the deadline of 500ms and more than 100ms", got)
		}
	})
}

func TestBudgetSavesUpToItsBound(t *testing.T) {
	var b Budget
	for range 1_000_000 {
		b.deposit(100)
	}
	got := 0
	for b.withdraw() {
		got++
	}
	if want := maxUnits / unitsPerRetry; got != want {
		t.Errorf("retries: got %d, want %d", got, want)
	}
}

func TestKeepDropsBudgetsOfOtherRoutes(t *testing.T) {
	var r Retrier
	policy := &applier.Policy{Idempotent: true, MaxRetries: 9, QueueLength: 1}
	exhaust := func(route string) int {
		c, n := r.Begin(route, policy, nil), 0
		for c.withdrawRetry() {
			n++
		}
		return n
	}
	exhaust("kept")
	exhaust("dropped")
	r.KeepBudgets(func(route string) bool { return route == "kept" })
	if got := exhaust("kept"); got != 0 {
		t.Errorf("route that is kept: got %d retries, want 0 from its empty budget", got)
	}
	if got := exhaust("dropped"); got != 3 {
		t.Errorf("route that was dropped: got %d retries, want the 3 of a new budget", got)
	}
}

// chainedService is a service whose calls always fail, after a call to the next
// service of the chain.
type chainedService struct {
	retrier      Retrier
	policy       *applier.Policy
	next         *chainedService
	runs         int
	marksRetries bool
}

func (s *chainedService) call(ctx context.Context, header http.Header) {
	c := s.retrier.Begin("next", s.policy, header)
	for {
		s.runs++
		passed := http.Header{}
		if s.marksRetries && c.IsRetry() {
			passed.Set(AttemptHeader, "2")
		}
		if s.next != nil {
			s.next.call(ctx, passed)
		}
		if !c.Retry(ctx, FailureUnknown) {
			return
		}
	}
}

// amplification returns how often each call runs, on average, at the last of six
// chained services when all calls fail.
func amplification(t *testing.T, calls, percent int, marks bool) float64 {
	const levels = 6
	var first, last *chainedService
	for range levels {
		policy := lookupPolicy()
		policy.RetryBudgetPercent = percent
		first = &chainedService{policy: policy, next: first, marksRetries: marks}
		if last == nil {
			last = first
		}
	}
	synctest.Test(t, func(t *testing.T) {
		for range calls {
			first.call(t.Context(), nil)
		}
	})
	return float64(last.runs) / float64(calls)
}

func TestRetriesDoNotMultiply(t *testing.T) {
	marked, unmarked, unbounded := amplification(t, 2000, 10, true), amplification(t, 2000, 10, false), amplification(t, 50, 10_000, false)
	t.Logf("runs at the sixth level for each call: %.2f with budget and header, %.2f with budget, %.0f with neither", marked, unmarked, unbounded)
	if marked > 1.65 {
		t.Errorf("with budget and header: got %.2f runs, want at most 1.65: 1 + 6 times 10%% and the initial units of the budgets", marked)
	}
	if unmarked > 2 {
		t.Errorf("with budget: got %.2f runs, want at most 2", unmarked)
	}
	if unbounded != 729 {
		t.Errorf("with neither: got %.0f runs, want 3 to the power of 6", unbounded)
	}
}

func TestHedge(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second time.Duration
		firstOK       bool
		want          string
		wantAfter     time.Duration
		wantHedges    int64
	}{
		{"fast first", 5 * time.Millisecond, time.Millisecond, true, "first", 5 * time.Millisecond, 0},
		{"slow first", time.Second, 5 * time.Millisecond, true, "second", 25 * time.Millisecond, 1},
		{"slow both", 40 * time.Millisecond, time.Second, true, "first", 40 * time.Millisecond, 1},
		{"first fails late", 30 * time.Millisecond, 50 * time.Millisecond, false, "second", 70 * time.Millisecond, 1},
		{"first fails early", time.Millisecond, time.Second, false, "first", time.Millisecond, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			var r Retrier
			policy := lookupPolicy()
			policy.HedgeAfter = 20 * time.Millisecond
			c := r.Begin("shares", policy, nil)
			start := time.Now()
			got, _ := Hedge(t.Context(), &c, func(ctx context.Context, marked bool) (string, bool) {
				wait, name, ok := tt.first, "first", tt.firstOK
				if marked {
					wait, name, ok = tt.second, "second", true
				}
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					return "cancelled", false
				}
				return name, ok
			})
			if after := time.Since(start); got != tt.want || after != tt.wantAfter {
				t.Errorf("%s: got %s after %v, want %s after %v", tt.name, got, after, tt.want, tt.wantAfter)
			}
			if hedges := r.Counters.Hedges.Value(); hedges != tt.wantHedges {
				t.Errorf("%s: got %d hedges, want %d", tt.name, hedges, tt.wantHedges)
			}
		})
	}
}

func BenchmarkBegin(b *testing.B) {
	var r Retrier
	policy, header := lookupPolicy(), http.Header{}
	b.ReportAllocs()
	for b.Loop() {
		c := r.Begin("shares", policy, header)
		if c.IsRetry() {
			b.Fatal("a first attempt is a retry")
		}
	}
}

// A retry that its deadline leaves no time for must not be paid for.
func TestRetryWithoutTimeIsNotPaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := new(Retrier)
		policy := &applier.Policy{Service: "payout-desk", Idempotent: true, MaxRetries: 100}
		for range 20 {
			c := r.Begin("shares", policy, http.Header{})
			ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
			if c.Retry(ctx, FailureUnknown) {
				t.Error("retry without time: got true, want false")
			}
			cancel()
		}
		if got := r.Counters.Exhausted.Value(); got != 0 {
			t.Errorf("retries that the budget refused: got %d, want 0", got)
		}
		c := r.Begin("shares", policy, http.Header{})
		if !c.Retry(t.Context(), FailureUnknown) {
			t.Error("retry with time: got false, want true")
		}
	})
}
