package limiter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeLink simulates a link that transmits messages one after the other.
type fakeLink struct {
	kbps int

	mu        sync.Mutex
	busyUntil time.Time
}

// transfer queues n bytes on the link and returns how long from now their
// transfer will take.
func (w *fakeLink) transfer(n int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(n) * 8 * time.Millisecond / time.Duration(w.kbps))
	return w.busyUntil.Sub(now)
}

// TestBodyPacerOnOverloadedLink simulates a link of 5.5 Mbit/s that is offered
// bodies of 60 KB at 1.5 times the rate that it can carry, and 130 small calls
// per second. Without pacing, the small calls would queue behind the bodies.
func TestBodyPacerOnOverloadedLink(t *testing.T) {
	const (
		kbps       = 5500
		bodyBytes  = 60_000
		smallBytes = 1_200
		seconds    = 30
		objective  = time.Second
		within     = objective / 4
		// nestedTimeout is the timeout of a small nested call; half of it may be spent
		// on the link.
		nestedTimeout = 600 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		link := &fakeLink{kbps: kbps}
		pacer := &BodyPacer{Kbps: kbps}
		random := rand.New(rand.NewPCG(7, 7))
		var small []time.Duration
		offered := 0
		var mu sync.Mutex // guards received and early
		var received, early int
		var wg sync.WaitGroup
		for range seconds * 1000 {
			if random.Float64() < 0.13 {
				took := link.transfer(smallBytes)
				small = append(small, took)
				time.AfterFunc(took, func() { pacer.ObserveDelay(took) })
			}
			if random.Float64() < 0.0172 {
				offered++
				start := time.Now()
				wait, ok := pacer.Reserve(bodyBytes, within)
				if ok {
					wg.Go(func() {
						time.Sleep(wait)
						took := time.Since(start) + link.transfer(bodyBytes)
						mu.Lock()
						defer mu.Unlock()
						received++
						if took < objective/2 {
							early++
						}
					})
				}
			}
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		slices.Sort(small)
		if got, want := small[len(small)*99/100], nestedTimeout/2; got > want {
			t.Errorf("99th percentile of small calls' time on the link: got %v, want at most %v", got, want)
		}
		// capacity is the number of bodies that the link can carry beside the small
		// calls; at least four fifths of it must be used.
		capacity := float64(seconds) * (kbps*125 - 130*smallBytes) / bodyBytes
		if got, want := float64(received), 0.8*capacity; got < want {
			t.Errorf("bodies admitted: got %v of %d, want at least %.0f", got, offered, want)
		}
		if got, want := early, received*9/10; got < want {
			t.Errorf("bodies received within half of the objective: got %d of %d, want at least %d", got, received, want)
		}
	})
}

func TestBodyPacer(t *testing.T) {
	// At 800 kbit/s, a body of this size takes one second of the bandwidth share of
	// bodies.
	const body = bodyBandwidthShare * 100_000
	bodyTime := time.Second
	synctest.Test(t, func(t *testing.T) {
		var unlimited BodyPacer
		for range 100 {
			if wait, ok := unlimited.Reserve(body, 0); wait != 0 || !ok {
				t.Fatalf("Reserve without a bandwidth limit = %v, %t, want 0s, true", wait, ok)
			}
		}
		narrow := &BodyPacer{Kbps: 800}
		for n, want := range []struct {
			wait time.Duration
			ok   bool
		}{{0, true}, {bodyTime, true}, {2 * bodyTime, false}, {2 * bodyTime, false}} {
			if wait, ok := narrow.Reserve(body, 3*bodyTime/2); wait != want.wait || ok != want.ok {
				t.Errorf("Reserve call %d = %v, %t, want %v, %t", n+1, wait, ok, want.wait, want.ok)
			}
		}
		time.Sleep(bodyTime)
		narrow.Charge(body)
		if wait, ok := narrow.Reserve(body, 2*bodyTime); wait != 2*bodyTime || !ok {
			t.Errorf("Reserve after a body without a reservation = %v, %t, want %v, true", wait, ok, 2*bodyTime)
		}
		time.Sleep(time.Minute)
		for range 100 {
			narrow.ObserveDelay(bodyTime)
		}
		if wait, ok := narrow.Reserve(body, bodyTime/2); ok {
			t.Errorf("Reserve while small messages wait for %v = %v, true, want false", bodyTime, wait)
		}
		time.Sleep(time.Second)
		if wait, ok := narrow.Reserve(body, bodyTime/2); wait != 0 || !ok {
			t.Errorf("Reserve after the delay has expired = %v, %t, want 0s, true", wait, ok)
		}
	})
}
