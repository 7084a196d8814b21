package limiter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// wire is a link that carries one byte after the other.
type wire struct {
	kbps int

	mu     sync.Mutex
	freeAt time.Time
}

// carry returns how long n bytes take from now on until they have come.
func (w *wire) carry(n int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(n) * 8 * time.Millisecond / time.Duration(w.kbps))
	return w.freeAt.Sub(now)
}

// TestIntakeUnderPressure plays a link of 5.5 Mbit/s to which bodies of 60 KB
// come at half as much again as it can carry, beside 130 small calls a second.
func TestIntakeUnderPressure(t *testing.T) {
	const (
		kbps       = 5500
		bodyBytes  = 60_000
		smallBytes = 1_200
		seconds    = 30
		objective  = time.Second
		within     = objective / 4
		// nestedTime is the time that a small nested call has, of which half is for
		// the way.
		nestedTime = 600 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		link := &wire{kbps: kbps}
		intake := &Intake{Kbps: kbps}
		random := rand.New(rand.NewPCG(7, 7))
		var small []time.Duration
		var offered, came, soon int
		var wg sync.WaitGroup
		for range seconds * 1000 {
			if random.Float64() < 0.13 {
				took := link.carry(smallBytes)
				small = append(small, took)
				time.AfterFunc(took, func() { intake.Observe(took) })
			}
			if random.Float64() < 0.0172 {
				offered++
				began := time.Now()
				wait, ok := intake.Reserve(bodyBytes, within)
				if ok {
					wg.Go(func() {
						time.Sleep(wait)
						took := time.Since(began) + link.carry(bodyBytes)
						came++
						if took < objective/2 {
							soon++
						}
					})
				}
			}
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		slices.Sort(small)
		if got, want := small[len(small)*99/100], nestedTime/2; got > want {
			t.Errorf("99 of 100 small calls take up to %v on the link, want at most %v", got, want)
		}
		// What the link can carry beside the small calls, less a fifth.
		room := float64(seconds) * (kbps*125 - 130*smallBytes) / bodyBytes
		if got, want := float64(came), 0.8*room; got < want {
			t.Errorf("%v of %d bodies let in, want at least %.0f", got, offered, want)
		}
		if got, want := soon, came*9/10; got < want {
			t.Errorf("%d of %d bodies came within half of the objective, want at least %d", got, came, want)
		}
	})
}

func TestIntake(t *testing.T) {
	// At 800 Kbit/s, of which bodies may take their share, a body takes a second.
	const body = intakeShare * 100_000
	booked := time.Second
	synctest.Test(t, func(t *testing.T) {
		var wide Intake
		for range 100 {
			if wait, ok := wide.Reserve(body, 0); wait != 0 || !ok {
				t.Fatalf("Reserve on a wide link = %v, %t, want 0s, true", wait, ok)
			}
		}
		narrow := &Intake{Kbps: 800}
		for n, want := range []struct {
			wait time.Duration
			ok   bool
		}{{0, true}, {booked, true}, {2 * booked, false}, {2 * booked, false}} {
			if wait, ok := narrow.Reserve(body, 3*booked/2); wait != want.wait || ok != want.ok {
				t.Errorf("Reserve number %d = %v, %t, want %v, %t", n+1, wait, ok, want.wait, want.ok)
			}
		}
		time.Sleep(booked)
		narrow.Charge(body)
		if wait, ok := narrow.Reserve(body, 2*booked); wait != 2*booked || !ok {
			t.Errorf("Reserve after a body that came unasked = %v, %t, want %v, true", wait, ok, 2*booked)
		}
		time.Sleep(time.Minute)
		for range 100 {
			narrow.Observe(booked)
		}
		if wait, ok := narrow.Reserve(body, booked/2); ok {
			t.Errorf("Reserve while small messages wait for %v = %v, true, want false", booked, wait)
		}
		time.Sleep(time.Second)
		if wait, ok := narrow.Reserve(body, booked/2); wait != 0 || !ok {
			t.Errorf("Reserve after the delay = %v, %t, want 0s, true", wait, ok)
		}
	})
}
