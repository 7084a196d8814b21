package throttler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bambooweir.example/bambooweir/throttler"
)

// load is a flow of calls that find no room near, at a constant rate.
type load struct {
	throttler throttler.Throttler
	flow      throttler.Flow
	now       time.Time
}

func newLoad(ratio float64) *load {
	return &load{
		throttler: throttler.Throttler{Ratio: ratio, Random: rand.New(rand.NewPCG(1, 2)).Float64},
		flow:      throttler.Flow{Service: "ledger-view", Priority: 1}, now: time.Unix(1000, 0),
	}
}

// run makes twenty calls a second for d, of which the other domains accept every nth of those
// that are sent (0: none), and returns the numbers of calls that were made and sent.
func (l *load) run(d time.Duration, acceptEvery int) (made, sent int) {
	const interval = time.Second / 20
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(interval) {
		made++
		if !l.throttler.Allow(l.flow, l.now) {
			continue
		}
		sent++
		if acceptEvery > 0 && sent%acceptEvery == 0 {
			l.throttler.Accept(l.flow, l.now)
		}
	}
	return made, sent
}

// A service that is full in all failure domains must not get each call once more from every
// domain; while there is room elsewhere, no call may be held back; and once there is room again
// calls must go there soon.
func TestThrottlerUnderLoad(t *testing.T) {
	for _, tt := range []struct {
		name        string
		ratio       float64
		acceptEvery int
		// minSent and maxSent bound the percentage of the calls that are sent in ten seconds.
		minSent, maxSent int
	}{
		{"full everywhere", 2, 0, 1, 25},
		{"room for one in ten", 2, 10, 2, 33},
		{"room for one in two", 2, 2, 85, 100},
		{"room for all", 2, 1, 100, 100},
		{"switched off", 0, 0, 100, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			made, sent := newLoad(tt.ratio).run(10*time.Second, tt.acceptEvery)
			if got := sent * 100 / made; got < tt.minSent || got > tt.maxSent {
				t.Errorf("sent: got %d%% of %d calls, want %d%% to %d%%", got, made, tt.minSent, tt.maxSent)
			}
		})
	}
}

func TestThrottlerOpensAgain(t *testing.T) {
	l := newLoad(2)
	l.run(10*time.Second, 0)
	l.run(2*time.Second, 1)
	if made, sent := l.run(5*time.Second, 1); sent != made {
		t.Errorf("sent two seconds after there is room again: got %d of %d calls, want all", sent, made)
	}
}

// Calls of one precedence that are refused must not hold those of another one back.
func TestFlowsAreApart(t *testing.T) {
	l := newLoad(2)
	l.run(10*time.Second, 0)
	l.flow.Priority = 0
	if made, sent := l.run(time.Second/10, 1); sent != made {
		t.Errorf("sent of higher priority: got %d of %d calls, want all", sent, made)
	}
}

func BenchmarkAllow(b *testing.B) {
	l := newLoad(2)
	b.ReportAllocs()
	for b.Loop() {
		l.throttler.Allow(l.flow, l.now)
	}
}
