package picker

import (
	"math"
	"slices"
	"time"
)

// This file forecasts how many slots of a target are free. It is designed for services at
// which many daemons choose targets at the same moment, each by news that only the answers to
// its own calls bring: a daemon hears of a target every second or so, while a target's load
// changes within a run time. Daemons that take old news for the present load all choose the
// same few targets, which refuse calls while others are idle.

const (
	// newsRuns is the age of a report, in run times of the target, from which it says no more
	// about the present load than the mean does: the reported calls have ended.
	newsRuns = 2
	// minNewsTime is the least age at which a report loses its effect. A queue outlasts the
	// run times of short calls.
	minNewsTime = 100 * time.Millisecond
)

// forecast is the number of slots of a target that are expected to be free now.
type forecast struct {
	// free is the mean. Below 0 it is the expected number of waiting calls, negated.
	free float64
	// variance grows with the age of the news.
	variance float64
}

// isSure reports whether the target has a free slot with some certainty: even with a standard
// deviation less than expected.
func (f forecast) isSure() bool { return f.free >= 1 && (f.free-1)*(f.free-1) >= f.variance }

// positive returns the expected number of free slots where a target at which calls wait has none.
// It approximates the mean of the positive part of a normal distribution.
func (f forecast) positive() float64 { return (f.free + math.Sqrt(f.free*f.free+f.variance)) / 2 }

// queue returns the expected number of calls that wait once a further one has come.
func (f forecast) queue() float64 {
	spare := f.free - 1
	if spare >= 0 && spare*spare >= 4*f.variance {
		return 0 // almost certainly none, at two standard deviations
	}
	return forecast{free: -spare, variance: f.variance}.positive()
}

// forecast returns the forecast for a target with the given number of slots and run time. The
// calls of this daemon are known. Those of others are the ones last reported, and approach
// their mean with the age of the report; arrivals and departures in between make them uncertain.
func (e *estimator) forecast(t *target, slots, run float64) forecast {
	others, fresh := e.steadyOthers(t)*slots, 0.0
	variance := min(others, slots)
	if at := instant(t.reported.at.Load()); at != 0 {
		newsTime := min(max(newsRuns*run, float64(minNewsTime)), float64(loadFadeTime))
		if age := float64(e.now.sub(at)); age < newsTime {
			fresh = 1 - age/newsTime
			others += (float64(t.reported.otherCalls.Load()) - others) * fresh
		}
	}
	return forecast{free: slots - float64(t.inFlight.Load()) - others, variance: variance * (1 - fresh*fresh)}
}

// steadyOthers returns the mean number of other daemons' calls at a target, as a share of its
// slots. It fades to the mean load of the service while the target reports nothing, because a
// target that was full once would otherwise never get another call.
func (e *estimator) steadyOthers(t *target) float64 {
	if !t.reported.hasMean.Load() {
		return e.meanLoadShare
	}
	mean := t.reported.meanOthers.value()
	age := e.now.sub(instant(t.reported.at.Load()))
	if age < latencyFadeTime {
		return mean
	}
	return mean + (e.meanLoadShare-mean)*min(1, float64(age)/float64(latencyFadeTime)-1)
}

// hasRoomElsewhere reports whether another target of the service surely has a free slot.
func (c Choice) hasRoomElsewhere(now instant) bool {
	v := c.picker.view(c.policy.Service, now)
	e := c.picker.estimator(v, c.policy, c.need, now)
	return slices.ContainsFunc(v.all, func(t *target) bool {
		return t != c.target && t.eligibility(c.policy, now) == eligible &&
			e.forecast(t, float64(t.slots(c.policy)), e.expectedRun(t)).isSure()
	})
}

// LoadSpreadPercent returns how unevenly the targets of the service with the widest spread are
// loaded: the standard deviation of their mean loads as last reported, as shares of their
// slots, in percent of the mean.
func (p *Picker) LoadSpreadPercent() int {
	widest := 0.0
	p.services.Range(func(_, s any) bool {
		if v := s.(*service).current.Load(); v != nil {
			widest = max(widest, v.loadSpread())
		}
		return true
	})
	return int(math.Round(100 * widest))
}

// loadSpread returns the coefficient of variation of the mean loads of the targets that have
// reported one, 0 if they have no load.
func (v *view) loadSpread() float64 {
	n, sum, squares := 0.0, 0.0, 0.0
	for _, t := range v.all {
		if t.reported.hasMean.Load() {
			share := t.reported.meanShare.value()
			n, sum, squares = n+1, sum+share, squares+share*share
		}
	}
	if sum == 0 {
		return 0
	}
	mean := sum / n
	return math.Sqrt(max(0, squares/n-mean*mean)) / mean
}
