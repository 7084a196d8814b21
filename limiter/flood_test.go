package limiter

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// caller sends calls at a fixed rate and counts their outcomes.
type caller struct {
	request       Request
	every         time.Duration
	done, refused atomic.Int64
	longest       atomic.Int64
}

func (c *caller) run(ctx context.Context, l *Limiter, run time.Duration) {
	for ctx.Err() == nil {
		go c.call(l, run)
		time.Sleep(c.every)
	}
}

func (c *caller) call(l *Limiter, run time.Duration) {
	start := time.Now()
	slot, err := l.Admit(context.Background(), c.request)
	if err != nil {
		c.refused.Add(1)
		return
	}
	if wait := int64(time.Since(start)); wait > c.longest.Load() {
		c.longest.Store(wait)
	}
	time.Sleep(run)
	slot.Release()
	c.done.Add(1)
}

// TestFloodDoesNotStarveOtherPartners guards against a partner that sends far more
// calls than its share and thereby delays or displaces the calls of a partner that
// stays within its share, or internal reads.
func TestFloodDoesNotStarveOtherPartners(t *testing.T) {
	const run = 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		setMeanRun(t, l, lookup, run)
		flood := &caller{request: Request{Class: lookup, Partner: "magnolia"}, every: 200 * time.Microsecond}     // load for 25 slots
		withinShare := &caller{request: Request{Class: lookup, Partner: "regie"}, every: 1250 * time.Microsecond} // load for 4 of its 5 slots
		reads := &caller{request: Request{Class: internalRead, Partner: "regie"}, every: 7 * time.Millisecond}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		for _, c := range []*caller{flood, withinShare, reads} {
			go c.run(ctx, l, run)
		}
		<-ctx.Done()
		time.Sleep(time.Second)
		if withinShare.refused.Load() != 0 || time.Duration(withinShare.longest.Load()) > run {
			t.Errorf("partner within its share: got %d refused, longest wait %v, want 0 and at most %v", withinShare.refused.Load(), time.Duration(withinShare.longest.Load()), run)
		}
		if reads.refused.Load() != 0 || reads.longest.Load() != 0 {
			t.Errorf("internal reads: got %d refused, longest wait %v, want none", reads.refused.Load(), time.Duration(reads.longest.Load()))
		}
		// 10 general slots run 4000 calls in 2 s, of which the other partner uses 1600.
		if got := flood.done.Load(); got < 2300 {
			t.Errorf("flooding partner: got %d calls run, want at least 2300 of the 2400 in its own and borrowed slots", got)
		}
		if got := l.Load(); got.Running != 0 || got.Waiting != 0 {
			t.Errorf("load at the end: got %+v, want none", got)
		}
	})
}

// limiterModel drives a limiter through random steps and checks its invariants
// after each of them.
type limiterModel struct {
	limiter *Limiter
	held    []Slot
	slots   chan Slot
	refused atomic.Int64
	// requested and granted count the calls that requested a slot and those that
	// got one.
	requested, granted int
	// running and general are the numbers of running calls, and of those in general
	// slots, after the previous step.
	running, general int
}

func (m *limiterModel) admit(r Request, timeout time.Duration) {
	m.requested++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		slot, err := m.limiter.Admit(ctx, r)
		if err != nil {
			m.refused.Add(1)
			return
		}
		m.slots <- slot
	}()
}

// settle waits until no goroutine can make progress and collects the slots that
// were granted.
func (m *limiterModel) settle() {
	synctest.Wait()
	for len(m.slots) > 0 {
		m.held = append(m.held, <-m.slots)
		m.granted++
	}
}

func (m *limiterModel) release(i int) {
	m.held[i].Release()
	m.held = append(m.held[:i], m.held[i+1:]...)
}

func (m *limiterModel) check(t *rapid.T) {
	m.settle()
	l := m.limiter
	load, general := l.Load(), 0
	for _, slot := range m.held {
		if !slot.reserved {
			general++
		}
	}
	if load.Running != len(m.held) {
		t.Fatalf("running: got %d, want the %d slots held", load.Running, len(m.held))
	}
	// More calls than slots may run only after the number of slots was lowered, and
	// then no call may be added.
	if load.Running > max(m.running, l.limits.slots) || general > max(m.general, l.limits.general) {
		t.Fatalf("got %d running, %d general, want at most %+v", load.Running, general, l.limits)
	}
	m.running, m.general = load.Running, general
	if got := m.granted + load.Waiting + int(m.refused.Load()); got != m.requested {
		t.Fatalf("got %d calls granted, waiting or refused, want %d", got, m.requested)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, kind := l.nextWaiter(time.Now()); w != nil && l.gate.wait(0, time.Now()) == 0 {
		t.Fatalf("a call of partner %s is waiting although it may be admitted with slot kind %d", w.account.partner, kind)
	}
}

// TestLimiterStateMachine checks the limiter's invariants after each of a random
// sequence of admissions, releases, pauses and changes of the number of slots and of the rate limit.
func TestLimiterStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Inside a synctest bubble, rapid may use only the methods of rapid.TB.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := &limiterModel{limiter: newLimiter(t), slots: make(chan Slot, 1000)}
			class := rapid.SampledFrom(classNames[:])
			partner := rapid.SampledFrom([]string{"magnolia", "regie", "unknown"})
			rt.Repeat(map[string]func(*rapid.T){
				"admit": func(rt *rapid.T) {
					timeout := time.Duration(rapid.IntRange(0, 600).Draw(rt, "timeout")) * time.Millisecond
					r := Request{Class: class.Draw(rt, "class"), Partner: partner.Draw(rt, "partner")}
					for range rapid.IntRange(1, 8).Draw(rt, "calls") {
						m.admit(r, timeout)
					}
				},
				"release": func(rt *rapid.T) {
					if len(m.held) == 0 {
						rt.Skip()
					}
					m.release(rapid.IntRange(0, len(m.held)-1).Draw(rt, "held"))
				},
				"pass": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond)
				},
				"change": func(rt *rapid.T) {
					applyConfig(t, m.limiter.Applier, rapid.IntRange(1, 16).Draw(rt, "slots"))
					m.limiter.Update()
				},
				"limit": func(rt *rapid.T) {
					perSecond := rapid.SampledFrom([]float64{-1, 0, 0.5, 20, 100, 1000}).Draw(rt, "per-second")
					m.limiter.RateLimit = func() (float64, bool) { return perSecond, perSecond >= 0 }
					m.limiter.Update()
				},
				"": m.check,
			})
			m.limiter.RateLimit = func() (float64, bool) { return 0, false }
			m.limiter.Update()
			for m.settle(); len(m.held) > 0; m.settle() {
				m.release(0)
			}
			m.check(rt)
			if load := m.limiter.Load(); load.Waiting+load.Running != 0 {
				rt.Fatalf("at the end: got %+v, want none running or waiting", load)
			}
		})
	})
}
