package loadgenerator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestRunSendsWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var mu sync.Mutex
		var sent []time.Duration
		tally := Run(t.Context(), time.Second, Stream{Rate: 4, Offset: 100 * time.Millisecond, Call: func(context.Context, int) Result {
			mu.Lock()
			sent = append(sent, time.Since(start))
			mu.Unlock()
			time.Sleep(10 * time.Second)
			return Answered
		}})[0]
		want := []time.Duration{100 * time.Millisecond, 350 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond}
		if len(sent) != len(want) {
			t.Fatalf("calls sent: got %v, want %v", sent, want)
		}
		for i := range want {
			if sent[i] != want[i] {
				t.Errorf("call %d: got sent at %v, want %v", i, sent[i], want[i])
			}
		}
		if tally.Sent != 4 || tally.Answered != 4 {
			t.Errorf("tally: got %d sent, %d answered, want 4 and 4", tally.Sent, tally.Answered)
		}
	})
}

// TestLatencyCountsFromDueTime guards against coordinated omission: a stall of
// half the run must show in the latencies of the calls that it delayed.
func TestLatencyCountsFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stall := make(chan struct{}, 1)
		tally := Run(t.Context(), time.Second, Stream{Rate: 100, Call: func(_ context.Context, n int) Result {
			stall <- struct{}{}
			defer func() { <-stall }()
			if n == 0 {
				time.Sleep(500 * time.Millisecond)
			}
			return Result(n % 3)
		}})[0]
		if got := tally.QuantileOfAll(60); got < 90*time.Millisecond {
			t.Errorf("p60 after a stall of half the run: got %v, want at least 90ms", got)
		}
		if tally.Answered != 34 || tally.Refused != 33 || tally.Failed != 33 {
			t.Errorf("tally: got %d answered, %d refused, %d failed, want 34, 33 and 33", tally.Answered, tally.Refused, tally.Failed)
		}
	})
}
