// Package loadgenerator makes calls at fixed rates for package measurer and
// records their latencies.
//
// It is an open loop: each call is sent when it is due, whether or not earlier
// calls have ended, and its latency counts from the time at which it was due.
// When the system stalls, the latencies therefore include the wait of the calls
// that the stall delayed (no coordinated omission).
package loadgenerator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bambooweir.example/bambooweir/sleeper"
)

const (
	// maxOutstanding is the maximum number of calls of one stream in flight.
	maxOutstanding = 20_000

	// minLatency and maxLatency are the ends of the histograms' range, in
	// nanoseconds. A latency outside of the range is recorded as the nearer end.
	minLatency = int64(time.Microsecond)
	maxLatency = int64(time.Minute)
	// latencyDigits is the number of significant decimal digits of the histograms.
	latencyDigits = 3
)

// Result is the result of a call.
type Result int

// The results of a call.
const (
	// Answered means that the caller received the answer that it expected.
	Answered Result = iota
	// Refused means that the system reported that it did not run the call.
	Refused
	// Failed means any other result.
	Failed
)

// Stream is a sequence of calls at a fixed rate.
type Stream struct {
	Name string
	// Rate is in calls a second; it must be positive.
	Rate float64
	// Offset is when the first call is due, counted from the start of the run.
	Offset time.Duration
	// Jitter, if set, delays each call by a random part of the interval between
	// two calls; otherwise each call is due at the start of its interval.
	Jitter *rand.Rand
	// Call makes the nth call of the stream, counted from 0. It is called
	// concurrently.
	Call func(ctx context.Context, n int) Result
}

// Tally counts the results of the calls of one stream.
//
// Invariant: Sent is the sum of Answered, Refused and Failed. Skipped calls were
// due but not sent, because maxOutstanding calls were in flight.
type Tally struct {
	Name                            string
	Sent, Answered, Refused, Failed int
	Skipped                         int
	mu                              sync.Mutex
	answeredLatency, allLatency     *hdrhistogram.Histogram
}

// Quantile returns the given percentile of the latencies of answered calls.
func (t *Tally) Quantile(percent float64) time.Duration {
	return time.Duration(t.answeredLatency.ValueAtQuantile(percent))
}

// QuantileOfAll returns the given percentile of the latencies of all calls that
// were sent.
func (t *Tally) QuantileOfAll(percent float64) time.Duration {
	return time.Duration(t.allLatency.ValueAtQuantile(percent))
}

// Merge adds the counts and latencies of other to t. Neither may be in use by a
// run.
func (t *Tally) Merge(other *Tally) {
	t.initHistograms()
	t.Sent += other.Sent
	t.Answered += other.Answered
	t.Refused += other.Refused
	t.Failed += other.Failed
	t.Skipped += other.Skipped
	t.answeredLatency.Merge(other.answeredLatency)
	t.allLatency.Merge(other.allLatency)
}

// initHistograms creates the histograms unless they exist.
func (t *Tally) initHistograms() {
	if t.answeredLatency == nil {
		t.answeredLatency = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
		t.allLatency = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	}
}

// add counts a call that was sent. It is safe for concurrent use.
func (t *Tally) add(r Result, latency time.Duration) {
	value := min(max(int64(latency), minLatency), maxLatency)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent++
	_ = t.allLatency.RecordValue(value)
	switch r {
	case Answered:
		t.Answered++
		_ = t.answeredLatency.RecordValue(value)
	case Refused:
		t.Refused++
	default:
		t.Failed++
	}
}

// Run sends the calls that are due within the duration, waits until all of them
// have ended, and returns a tally for each stream. It sends no further calls once
// ctx is done.
func Run(ctx context.Context, duration time.Duration, streams ...Stream) []*Tally {
	tallies := make([]*Tally, len(streams))
	start := time.Now()
	var wg sync.WaitGroup
	for i, s := range streams {
		tallies[i] = &Tally{Name: s.Name}
		tallies[i].initHistograms()
		wg.Go(func() { s.run(ctx, start, duration, tallies[i]) })
	}
	wg.Wait()
	return tallies
}

// run sends the calls that are due within duration after start, and waits until all of
// them have ended.
func (s *Stream) run(ctx context.Context, start time.Time, duration time.Duration, tally *Tally) {
	var wg sync.WaitGroup
	outstanding := make(chan struct{}, maxOutstanding)
	interval := time.Duration(float64(time.Second) / s.Rate)
	for n := 0; ; n++ {
		due := start.Add(s.Offset + time.Duration(n)*interval)
		if s.Jitter != nil {
			due = due.Add(time.Duration(s.Jitter.Float64() * float64(interval)))
		}
		if due.Sub(start) >= duration || sleeper.Sleep(ctx, time.Until(due)) != nil {
			break
		}
		select {
		case outstanding <- struct{}{}:
		default:
			tally.Skipped++
			continue
		}
		wg.Go(func() {
			result := s.Call(ctx, n)
			tally.add(result, time.Since(due))
			<-outstanding
		})
	}
	wg.Wait()
}
