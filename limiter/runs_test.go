package limiter

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// trafficDay is a load on one target whose run times change, played in bubble time.
type trafficDay struct {
	slots     int
	perSecond float64
	length    time.Duration
	objective time.Duration
	deadline  time.Duration
	// meanRun is the mean run time of calls that start at a time of the day.
	meanRun func(at time.Duration) time.Duration
	// warmup is how long the target says that it is still slow.
	warmup time.Duration
}

// outcomes counts the calls of a day by what their callers got.
type outcomes struct{ inTime, late, refused int }

// play plays the day. Refused callers retry once, at the time that they were told.
func (d trafficDay) play(t *testing.T) outcomes {
	t.Helper()
	var got outcomes
	synctest.Test(t, func(t *testing.T) {
		l := newOnePartnerLimiter(t, d.slots)
		day := time.Now()
		l.WarmsUp = func() bool { return time.Since(day) < d.warmup }
		random := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		var wg sync.WaitGroup
		for time.Since(day) < d.length {
			time.Sleep(time.Duration(random.ExpFloat64() / d.perSecond * float64(time.Second)))
			spread := math.Exp(0.45*random.NormFloat64() - 0.1)
			wg.Go(func() {
				start := time.Now()
				ctx, cancel := context.WithDeadline(t.Context(), start.Add(d.deadline))
				defer cancel()
				for range 2 {
					slot, err := l.Admit(ctx, Request{Class: lookup, Partner: "magnolia", Objective: d.objective, Waited: time.Since(start)})
					if err == nil {
						time.Sleep(time.Duration(spread * float64(d.meanRun(time.Since(day)))))
						slot.Release()
						mu.Lock()
						defer mu.Unlock()
						if time.Since(start) <= d.objective {
							got.inTime++
						} else {
							got.late++
						}
						return
					}
					var refused *RefusedError
					if !errors.As(err, &refused) {
						t.Errorf("got %v, want a refusal", err)
						return
					}
					time.Sleep(min(refused.RetryAfter, (d.deadline-time.Since(start))/3))
				}
				mu.Lock()
				defer mu.Unlock()
				got.refused++
			})
		}
		wg.Wait()
	})
	return got
}

// A target that starts slow must use its slots for calls that it can answer in time, and
// refuse the others rather than queue them, before the first of its runs has ended.
func TestSlowStart(t *testing.T) {
	const warmup, coldRun, warmRun = 3 * time.Second, 620 * time.Millisecond, 310 * time.Millisecond
	day := trafficDay{
		slots: 11, length: warmup, objective: time.Second, deadline: 4 * time.Second, warmup: warmup,
		meanRun: func(at time.Duration) time.Duration {
			if at < warmup {
				return coldRun
			}
			return warmRun
		},
	}
	tests := []struct {
		name      string
		perSecond float64
	}{{"a tenth too many calls", 20}, {"two thirds too many", 30}, {"three times as many", 60}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			day.perSecond = tt.perSecond
			got := day.play(t)
			served := got.inTime + got.late
			// The first and the last run of a slot need not fill the time of slow runs.
			if capacity := day.slots * int(warmup/coldRun); served < capacity*9/10 {
				t.Errorf("served: got %d, want at least nine tenths of %d", served, capacity)
			}
			// One in ten runs alone takes longer than the objective.
			if got.late > served*15/100 {
				t.Errorf("late: got %d of %d served, want at most 15 %%", got.late, served)
			}
		})
	}
}

// newStuckLimiter returns a limiter whose calls took run so far, and all of whose slots
// have been in use for elapsed.
func newStuckLimiter(t *testing.T, slots int, run, elapsed time.Duration) *Limiter {
	t.Helper()
	l := newOnePartnerLimiter(t, slots)
	fillSlots(t, l, run)
	time.Sleep(run)
	synctest.Wait()
	fillSlots(t, l, 20*run)
	time.Sleep(elapsed)
	return l
}

// A call must be refused at once if all slots are held by calls that run much longer than
// usual, and the longer run time must be reported before they end.
func TestOverdueRunsCountBeforeTheyEnd(t *testing.T) {
	const run = 20 * time.Millisecond
	tests := []struct {
		name        string
		elapsed     time.Duration
		wantRefused bool
	}{{"usual runs", run / 2, false}, {"runs of six times the mean", 6 * run, false}, {"runs of fifteen times the mean", 15 * run, true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newStuckLimiter(t, 12, run, tt.elapsed)
				if got := l.MeanRun(lookup, 0); (got > 2*run) != (tt.elapsed > 5*run) {
					t.Errorf("mean run: got %v", got)
				}
				start := time.Now()
				slot, err := l.Admit(t.Context(), Request{Class: lookup, Partner: "magnolia", Objective: 200 * time.Millisecond})
				slot.Release()
				if got := err != nil && time.Since(start) == 0; got != tt.wantRefused {
					t.Errorf("refused at once: got %v, want %v (%v after %v)", got, tt.wantRefused, err, time.Since(start))
				}
				time.Sleep(21 * run)
			})
		})
	}
}

// A single call that hangs, as one whose answer is lost, must not keep the others out.
func TestHangingCallKeepsNoneOut(t *testing.T) {
	const run, hangs = 50 * time.Millisecond, 20 * time.Second
	tests := []struct {
		name string
		// before is the number of calls that ended before the one that hangs, and pause the
		// time without a call after it.
		before int
		pause  time.Duration
	}{{"the only call so far", 0, 5 * time.Second}, {"after others", 20, time.Second}, {"after others, long ago", 20, 5 * time.Second}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newOnePartnerLimiter(t, 12)
				request := Request{Class: lookup, Partner: "magnolia", Objective: 200 * time.Millisecond, MayGoElsewhere: true}
				call := func(run time.Duration) {
					t.Helper()
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					slot, err := l.Admit(ctx, request)
					if err != nil {
						t.Fatalf("got %v, want a slot", err)
					}
					time.AfterFunc(run, slot.Release)
				}
				for range tt.before {
					call(run)
					time.Sleep(2 * run)
				}
				call(hangs)
				time.Sleep(tt.pause)
				for range 20 {
					call(run)
					time.Sleep(2 * run)
				}
				time.Sleep(hangs)
			})
		})
	}
}

// Calls that began together end together. A caller that comes meanwhile must be told to
// return when they end, and not after a share of a run, when it would be refused again.
func TestRetryAfterOfCallsThatBeganTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const run, elapsed = 700 * time.Millisecond, 50 * time.Millisecond
		l := newOnePartnerLimiter(t, 11)
		request := Request{Class: lookup, Partner: "magnolia", Objective: time.Second}
		for range 2 {
			for _, slot := range mustAdmit(t, l, 11, request) {
				time.AfterFunc(run, slot.Release)
			}
			time.Sleep(run + time.Millisecond)
		}
		for _, slot := range mustAdmit(t, l, 11, request) {
			time.AfterFunc(run, slot.Release)
		}
		time.Sleep(elapsed)
		_, err := l.Admit(t.Context(), request)
		var refused *RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("got %v, want a refusal", err)
		}
		time.Sleep(refused.RetryAfter)
		synctest.Wait() // the calls that end at this very moment come first
		slot, err := l.Admit(t.Context(), Request{Class: lookup, Partner: "magnolia", Objective: time.Second, Waited: refused.RetryAfter})
		if err != nil {
			t.Errorf("after the %v that the caller was told: got %v, want a slot", refused.RetryAfter, err)
		}
		slot.Release()
		time.Sleep(run)
	})
}

// A target that has become slower than the objective must send calls elsewhere at once, once
// each, and let single calls find out when it is fast again.
func TestSlowTargetSendsCallsElsewhere(t *testing.T) {
	const usual, slow, objective = 20 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		l := newOnePartnerLimiter(t, 12)
		first := Request{Class: lookup, Partner: "magnolia", Objective: objective, MayGoElsewhere: true}
		// admit admits a call that runs for the given time, and returns the cause of a refusal.
		admit := func(r Request, run time.Duration) string {
			slot, err := l.Admit(t.Context(), r)
			var refused *RefusedError
			if errors.As(err, &refused) {
				return refused.Cause
			}
			time.AfterFunc(run, slot.Release)
			return ""
		}
		wantCause := func(what string, r Request, run time.Duration, want string) {
			t.Helper()
			if got := admit(r, run); got != want {
				t.Errorf("%s: got cause %q, want %q", what, got, want)
			}
		}
		for range 5 {
			wantCause("usual run", first, usual, "")
			time.Sleep(2 * usual)
		}
		for range 6 {
			wantCause("start of a slow run", first, slow, "")
		}
		time.Sleep(slow - time.Millisecond)
		wantCause("slow runs not ended", first, slow, CauseSlowTarget)
		time.Sleep(10 * time.Millisecond)
		wantCause("slow runs ended", first, slow, CauseSlowTarget)
		second := first
		second.MayGoElsewhere = false
		wantCause("a call that was elsewhere", second, slow, "")
		noObjective := first
		noObjective.Objective = 0
		wantCause("a call without an objective", noObjective, slow, "")
		time.Sleep(slow + runTimeMaxAge + time.Millisecond)
		wantCause("single call after a while", first, usual, "")
		wantCause("another one beside it", first, usual, CauseSlowTarget)
		time.Sleep(2 * usual)
		for range 6 {
			wantCause("fast again", first, usual, "")
		}
		time.Sleep(time.Second)
	})
}

// Calls whose objective is shorter than their usual run time must not all make a detour.
func TestUsuallyLateCallsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOnePartnerLimiter(t, 12)
		for range 20 {
			slot, err := l.Admit(t.Context(), Request{Class: lookup, Partner: "magnolia", Objective: 10 * time.Millisecond, MayGoElsewhere: true})
			if err != nil {
				t.Fatalf("got %v, want a slot", err)
			}
			time.Sleep(50 * time.Millisecond)
			slot.Release()
		}
	})
}
