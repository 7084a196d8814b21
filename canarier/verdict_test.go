package canarier

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// version is how the targets of a version answer.
type version struct {
	// failures and slow are the shares of answers that fail, or take slowness times as long.
	failures, slow, slowness float64
	// from is the round from which it does so, route the only route on which, "" for all.
	from  int
	route string
}

// trafficRoutes holds the routes of the tests' traffic with their shares.
var trafficRoutes = []struct {
	name  string
	share float64
}{{"menu", 0.75}, {"order", 0.25}}

// answers returns the evidence of n calls in a round.
func (v version) answers(rng *rand.Rand, round, n int, isNew bool, speed float64) []*Evidence {
	counts := make(map[string]*Evidence)
	for range n {
		route := trafficRoutes[0].name
		if rng.Float64() < trafficRoutes[1].share {
			route = trafficRoutes[1].name
		}
		isBad := round >= v.from && (v.route == "" || v.route == route)
		took := 300 * math.Exp(0.8*rng.NormFloat64()-0.32) / speed
		if isBad && rng.Float64() < v.slow {
			took *= v.slowness
		}
		e := counts[route]
		if e == nil {
			e = &Evidence{Route: route, IsNew: isNew}
			counts[route] = e
		}
		failed := isBad && rng.Float64() < v.failures || rng.Float64() < 0.005
		e.Counts.Observe(failed, true, time.Duration(took*float64(time.Millisecond)))
	}
	var all []*Evidence
	for _, e := range counts {
		all = append(all, e)
	}
	return all
}

// TestJudge plays the ways in which a version is bad, or good, at 40 calls a second to the new
// version and 1,000 to the old one, over 12 s. It guards against a bad version that goes
// unnoticed, also one that was good for long or is bad on one route only, and against a good
// one that is rolled back because its canary is a slow machine.
func TestJudge(t *testing.T) {
	for name, tc := range map[string]struct {
		old, fresh version
		speed      float64
		// wantBad is the number of bad answers by which the verdict has come, 0 for a good
		// version.
		wantBad int
		reason  string
	}{
		"good":                     {fresh: version{}, speed: 1},
		"good on a slow machine":   {fresh: version{}, speed: 0.5},
		"good while all fail":      {old: version{failures: 0.3}, fresh: version{failures: 0.3}, speed: 1},
		"half fails":               {fresh: version{failures: 0.5}, speed: 1, wantBad: 40, reason: ReasonFailures},
		"a quarter fails":          {fresh: version{failures: 0.25}, speed: 1, wantBad: 45, reason: ReasonFailures},
		"fails late":               {fresh: version{failures: 0.5, from: 30}, speed: 1, wantBad: 40, reason: ReasonFailures},
		"fails on one route":       {fresh: version{failures: 0.5, route: "order"}, speed: 1, wantBad: 40, reason: ReasonFailures},
		"half is eight times slow": {fresh: version{slow: 0.5, slowness: 8}, speed: 1, wantBad: 60, reason: ReasonSlow},
		"all is five times slow":   {fresh: version{slow: 1, slowness: 5}, speed: 1, wantBad: 60, reason: ReasonSlow},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				rng := rand.New(rand.NewPCG(seed, 1))
				var j Judge
				var verdict Verdict
				bad, answered := 0, 0
				for round := 0; round < 48 && !verdict.IsBad; round++ {
					for _, e := range tc.old.answers(rng, round, 250, false, 1) {
						j.Add(e)
					}
					for _, e := range tc.fresh.answers(rng, round, 10, true, tc.speed) {
						answered += int(e.Counts.Answers)
						if round >= tc.fresh.from && (tc.fresh.route == "" || tc.fresh.route == e.Route) {
							bad += int(math.Round(max(tc.fresh.failures, tc.fresh.slow) * float64(e.Counts.Answers)))
						}
						j.Add(e)
					}
					verdict = j.Round()
				}
				if verdict.IsBad != (tc.wantBad > 0) || verdict.Reason != tc.reason {
					t.Fatalf("seed %d: got verdict %+v after %d answers, want reason %q", seed, verdict, answered, tc.reason)
				}
				if verdict.IsBad && (bad > tc.wantBad || answered < minAnswers) {
					t.Errorf("seed %d: got the verdict after %d bad answers of %d, want at most %d and %d answers or more", seed, bad, answered, tc.wantBad, minAnswers)
				}
			}
		})
	}
}

// TestNoVerdictFromFewAnswers guards against a verdict from a handful of answers, which may all
// have failed for the same reason.
func TestNoVerdictFromFewAnswers(t *testing.T) {
	var j Judge
	j.Add(&Evidence{IsNew: true, Counts: Counts{Answers: 10, Failures: 10}})
	if got := j.Round(); got.IsBad || !got.IsDoubtful {
		t.Errorf("got verdict %+v of 10 answers, want a doubt only", got)
	}
}
