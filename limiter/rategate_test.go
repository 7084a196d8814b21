package limiter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestVaryingLimitLetsNoMoreThroughThanItsHighest guards against a limit that varies with
// each answer, whose changes would each let calls through at once.
func TestVaryingLimitLetsNoMoreThroughThanItsHighest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		highest := rapid.Float64Range(0.2, 200).Draw(rt, "highest")
		start := time.Unix(0, 0)
		now, g := start, rateGate{}
		g.setLimit(highest, true, now)
		var passed []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "changes") {
				g.setLimit(highest*rapid.Float64Range(0, 1).Draw(rt, "part"), true, now)
			}
			if g.wait(0, now) == 0 {
				g.take(now)
				passed = append(passed, now)
			}
		}
		for i := range passed {
			for j := i; j < len(passed); j++ {
				most := 1 + int((passed[j].Sub(passed[i])+rateBurstTime).Seconds()*max(highest, minCallsPerSecond)) + 1
				if got := j - i + 1; got > most {
					rt.Fatalf("in %v: got %d calls, want at most %d at %v a second", passed[j].Sub(passed[i]), got, most, highest)
				}
			}
		}
	})
}

// newLimitedLimiter returns a limiter of two equal partners whose target takes perSecond
// calls a second.
func newLimitedLimiter(t *testing.T, perSecond float64) *Limiter {
	t.Helper()
	l := newLimiter(t)
	l.RateLimit = func() (float64, bool) { return perSecond, true }
	l.Update()
	return l
}

// TestCallBeyondTheLimitIsRefusedAtOnce guards against calls that wait for a turn that
// comes too late for them.
func TestCallBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitedLimiter(t, 2)
		time.Sleep(time.Second)
		slot, err := l.Admit(t.Context(), withObjective(Request{Class: lookup, Partner: "magnolia"}))
		if err != nil {
			t.Fatalf("first call: got %v, want a slot", err)
		}
		slot.Release()
		start := time.Now()
		_, err = l.Admit(t.Context(), withObjective(Request{Class: lookup, Partner: "magnolia"}))
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Cause != CauseExpectedWait {
			t.Fatalf("second call: got %v, want a refusal for the expected wait", err)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("refused after %v, want at once", took)
		}
		time.Sleep(refused.RetryAfter)
		if _, err := l.Admit(t.Context(), withObjective(Request{Class: lookup, Partner: "magnolia"})); err != nil {
			t.Errorf("call that returned after %v: got %v, want a slot", refused.RetryAfter, err)
		}
	})
}

// TestLimitEndsForWaitingCalls guards against calls that wait on after the limit has ended.
func TestLimitEndsForWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitedLimiter(t, 5)
		var limited atomic.Bool
		limited.Store(true)
		l.RateLimit = func() (float64, bool) { return 5, limited.Load() }
		admitted := make(chan Slot, 1)
		go func() {
			slot, err := l.Admit(t.Context(), withObjective(Request{Class: lookup, Partner: "magnolia"}))
			if err != nil {
				t.Errorf("got %v, want a slot", err)
			}
			admitted <- slot
		}()
		synctest.Wait()
		if len(admitted) != 0 {
			t.Error("call began before its turn")
		}
		limited.Store(false)
		l.Update()
		synctest.Wait()
		if len(admitted) != 1 {
			t.Error("call waits although the limit has ended")
		}
	})
}

// TestPartnersShareALimit guards against a partner's flood taking the turns of another one
// at a target that limits its calls.
func TestPartnersShareALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			perSecond = 40
			run       = 20 * time.Millisecond
			length    = 10 * time.Second
		)
		l := newLimitedLimiter(t, perSecond)
		done := map[string]*atomic.Int64{"magnolia": new(atomic.Int64), "regie": new(atomic.Int64)}
		var wg sync.WaitGroup
		offer := func(partner string, interval time.Duration) {
			for start := time.Now(); time.Since(start) < length; time.Sleep(interval) {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
					defer cancel()
					slot, err := l.Admit(ctx, withObjective(Request{Class: lookup, Partner: partner}))
					if err != nil {
						return
					}
					time.Sleep(run)
					slot.Release()
					done[partner].Add(1)
				})
			}
		}
		wg.Go(func() { offer("magnolia", 2*time.Millisecond) })
		wg.Go(func() { offer("regie", 100*time.Millisecond) })
		wg.Wait()
		if got := done["regie"].Load(); got < 95 {
			t.Errorf("partner within its half of the limit: got %d calls run of 100, want at least 95", got)
		}
		if got, want := done["magnolia"].Load()+done["regie"].Load(), int64(perSecond*9/10*10); got < want {
			t.Errorf("all calls: got %d, want at least nine tenths of the limit, %d", got, want)
		}
	})
}
