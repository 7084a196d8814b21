// Package loadgenerator sends calls at fixed rates for measurements.
//
// It is an open loop: calls are sent when they are due, whether or not earlier
// ones have ended, and latency counts from the time at which a call was due. A
// system that stalls is therefore charged for the calls that it held up.
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
	// maxOutstanding bounds the calls of one stream that have not ended.
	maxOutstanding = 20_000

	minLatency    = int64(time.Microsecond)
	maxLatency    = int64(time.Minute)
	latencyDigits = 3
)

// Result says what became of a call.
type Result int

// The results of a call.
const (
	// Answered is an answer that the caller wanted.
	Answered Result = iota
	// Refused means that the call was said not to have run.
	Refused
	// Failed is everything else.
	Failed
)

// Stream is a sequence of calls at a fixed rate.
type Stream struct {
	Name string
	// Rate is in calls a second; it must be positive.
	Rate float64
	// Offset is when the first call is due, counted from the start of the run.
	Offset time.Duration
	// Jitter moves each call by a part of the interval between two calls; nil
	// means that all are due at the interval's start.
	Jitter *rand.Rand
	// Call makes the nth call of the stream.
	Call func(ctx context.Context, n int) Result
}

// Tally is what became of the calls of one stream.
//
// Invariant: Sent is the sum of Answered, Refused and Failed; Skipped calls
// were due but not sent, because too many had not ended.
type Tally struct {
	Name                              string
	Sent, Answered, Refused, Failed   int
	Skipped                           int
	mu                                sync.Mutex
	answeredLatency, everyCallLatency *hdrhistogram.Histogram
}

// Quantile returns the latency of answered calls at a quantile in percent.
func (t *Tally) Quantile(percent float64) time.Duration {
	return time.Duration(t.answeredLatency.ValueAtQuantile(percent))
}

// QuantileOfAll is Quantile over all calls that were sent.
func (t *Tally) QuantileOfAll(percent float64) time.Duration {
	return time.Duration(t.everyCallLatency.ValueAtQuantile(percent))
}

// Merge adds the calls of other.
func (t *Tally) Merge(other *Tally) {
	t.prepare()
	t.Sent += other.Sent
	t.Answered += other.Answered
	t.Refused += other.Refused
	t.Failed += other.Failed
	t.Skipped += other.Skipped
	t.answeredLatency.Merge(other.answeredLatency)
	t.everyCallLatency.Merge(other.everyCallLatency)
}

func (t *Tally) prepare() {
	if t.answeredLatency == nil {
		t.answeredLatency = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
		t.everyCallLatency = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	}
}

func (t *Tally) add(r Result, latency time.Duration) {
	value := min(max(int64(latency), minLatency), maxLatency)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent++
	_ = t.everyCallLatency.RecordValue(value)
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

// Run sends the calls that are due within the duration, waits until all have
// ended, and returns a tally for each stream.
func Run(ctx context.Context, duration time.Duration, streams ...Stream) []*Tally {
	tallies := make([]*Tally, len(streams))
	start := time.Now()
	var wg sync.WaitGroup
	for i, s := range streams {
		tallies[i] = &Tally{Name: s.Name}
		tallies[i].prepare()
		wg.Go(func() { s.run(ctx, start, duration, tallies[i]) })
	}
	wg.Wait()
	return tallies
}

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
