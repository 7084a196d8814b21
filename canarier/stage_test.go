package canarier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// roomFor returns the room of 28 new targets and 28 old ones.
func roomFor() Room { return Room{NewTargets: 28, OldTargets: 28, NewSlots: 504, OldSlots: 504} }

// play lets rounds pass until the order ends, and returns the stages and the end.
func play(duration time.Duration, room func(time.Duration) Room, verdict func(time.Duration) Verdict) (stages []Stage, end Decision, at time.Duration) {
	s := Stager{Duration: duration}
	for at = 0; at < 2*duration; at += roundInterval {
		if end = s.Decide(at, room(at), verdict(at)); end.State.IsFinal() {
			return stages, end, at
		}
		if end.Stage != s.Stage {
			stages = append(stages, end.Stage)
			s.Enter(end.Stage, at)
		}
	}
	return stages, end, at
}

// TestStages checks the stages of orders that end well, badly or without a target.
func TestStages(t *testing.T) {
	good := func(time.Duration) Verdict { return Verdict{} }
	targets := func(time.Duration) Room { return roomFor() }
	badFrom := func(from time.Duration) func(time.Duration) Verdict {
		return func(at time.Duration) Verdict { return Verdict{IsBad: at >= from, Reason: ReasonFailures} }
	}
	const duration = 16 * time.Second
	all := []Stage{StageCanary, StageWiden, StageMost, StageAll}
	for name, tc := range map[string]struct {
		room    func(time.Duration) Room
		verdict func(time.Duration) Verdict
		stages  []Stage
		state   State
		reason  string
		// by is when the order has ended.
		by time.Duration
	}{
		"good":               {targets, good, all, StateCompleted, "", duration},
		"bad at once":        {targets, badFrom(time.Second), all[:1], StateRolledBack, ReasonFailures, 2 * time.Second},
		"bad under all load": {targets, badFrom(14500 * time.Millisecond), all, StateRolledBack, ReasonFailures, duration},
		"no target":          {func(time.Duration) Room { return Room{OldTargets: 28, OldSlots: 504} }, good, nil, StateRolledBack, ReasonNoTargets, duration + time.Second},
		"too few targets": {
			func(time.Duration) Room { return Room{NewTargets: 1, NewSlots: 18, OldTargets: 28, OldSlots: 504} },
			good, all[:1], StateRolledBack, ReasonTooFewTargets, duration + time.Second,
		},
		"doubt to the end": {
			targets, func(time.Duration) Verdict { return Verdict{IsDoubtful: true} }, all[:1], StateRolledBack, ReasonUndecided, duration + time.Second,
		},
		"targets that come and go": {
			func(at time.Duration) Room {
				if at < 2*time.Second || at > 5*time.Second && at < 6*time.Second {
					return Room{OldTargets: 28, OldSlots: 504}
				}
				return roomFor()
			},
			good, slices.Concat([]Stage{StageCanary, StageHeld}, all), StateCompleted, "", duration,
		},
	} {
		t.Run(name, func(t *testing.T) {
			stages, end, at := play(duration, tc.room, tc.verdict)
			if !slices.Equal(stages, tc.stages) || end.State != tc.state || end.Reason != tc.reason {
				t.Errorf("got stages %v and end %+v, want %v and %v %q", stages, end, tc.stages, tc.state, tc.reason)
			}
			if at > tc.by {
				t.Errorf("got the end after %v, want by %v", at, tc.by)
			}
		})
	}
}

// TestExposureOfABadVersionStaysBounded plays a version that shows its fault only under the
// whole traffic, with a verdict a second later: all that it got before the limit must stay
// within the share of all calls. It guards against stages that use up the share early.
func TestExposureOfABadVersionStaysBounded(t *testing.T) {
	const share, perRound = 0.1, 250.0
	for _, duration := range []time.Duration{12 * time.Second, 16 * time.Second, time.Minute, time.Hour} {
		s := Stager{Duration: duration}
		got, sinceAll := 0.0, time.Duration(0)
		for at := time.Duration(0); at < duration; at += roundInterval {
			verdict := Verdict{IsBad: sinceAll > 0 && sinceAll >= duration/50}
			next := s.Decide(at, roomFor(), verdict)
			if next.State != StateRunning {
				break
			}
			s.Enter(next.Stage, at)
			exposed, _ := Exposure(s.Stage, share, roomFor())
			got += perRound * float64(exposed) / shareUnit
			if s.Stage >= StageMost {
				sinceAll += roundInterval
			}
		}
		if limit := share * perRound * float64(duration/roundInterval); got > limit {
			t.Errorf("order of %v: got %.0f calls at the new version, want at most %.0f", duration, got, limit)
		}
	}
}

// TestFleetKeepsItsShare lets many daemons with calls of very different numbers follow one
// directive, each with a count of its own. Over many seeds, the new version must get no more
// than the share of all calls, and one call a daemon where there is an allowance.
func TestFleetKeepsItsShare(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		hasAllowance := seed%2 == 0
		share := 1 + rng.Int64N(1000)
		daemons, total, exposed := 1+rng.IntN(400), int64(0), int64(0)
		for range daemons {
			r := newRule(Directive{State: StateRunning, Stage: StageCanary, Share: share, TTLMS: 1000}, time.Now(), nil, hasAllowance)
			for range rng.IntN(1 << rng.IntN(12)) {
				total++
				if r.versions(true, r.arrived).UseNew {
					exposed++
				}
				if r.versions(false, r.arrived).UseNew {
					t.Fatalf("seed %d: got a repeated call at the new version, want none", seed)
				}
			}
		}
		limit := total * share / shareUnit
		if hasAllowance {
			limit += int64(daemons)
		}
		if exposed > limit {
			t.Errorf("seed %d: got %d of %d calls at the new version from %d daemons, want at most %d", seed, exposed, total, daemons, limit)
		}
	}
}

// TestRule checks which versions a call may go to under each directive.
func TestRule(t *testing.T) {
	now := time.Now()
	running := Directive{Version: "v2", State: StateRunning, Share: shareUnit, TTLMS: 3000}
	held := Directive{Version: "v2", State: StateRunning}
	back := Directive{Version: "v2", State: StateRolledBack, Barred: []string{"v2"}}
	done := Directive{Version: "v2", State: StateCompleted}
	for name, tc := range map[string]struct {
		d              Directive
		age            time.Duration
		useNew, hasNew bool
	}{
		"whole traffic":         {d: running, useNew: true, hasNew: true},
		"stale directive":       {d: running, age: 3 * time.Second, hasNew: true},
		"held":                  {d: held, hasNew: true},
		"rolled back":           {d: back},
		"rolled back long ago":  {d: back, age: time.Hour},
		"completed":             {d: done, useNew: true, hasNew: true},
		"completed a while ago": {d: done, age: time.Minute},
	} {
		r := newRule(tc.d, now, nil, false)
		got := r.versions(false, now.Add(tc.age))
		hasNew := got.Split != nil && got.Split.Version == "v2"
		if got.UseNew != tc.useNew || hasNew != tc.hasNew {
			t.Errorf("%s: got %+v, want UseNew %v and a new version %v", name, got, tc.useNew, tc.hasNew)
		}
		if tc.d.State == StateRolledBack && (got.Split == nil || !slices.Contains(got.Split.Barred, "v2")) {
			t.Errorf("%s: got %+v, want v2 barred", name, got.Split)
		}
	}
}

// BenchmarkVersions measures the check of a call while its service has an order.
func BenchmarkVersions(b *testing.B) {
	p := &Part{OnChange: func() {}}
	p.Publish(Directive{Service: testService, Version: "v2", Revision: 1, State: StateRunning, Share: 400, TTLMS: 1 << 30})
	b.ReportAllocs()
	for b.Loop() {
		p.Versions(testService, true)
	}
}
