package checker

import (
	"net/http"
	"time"

	"bambooweir.example/bambooweir/caller"
)

// isOnce says whether a call must run at most once.
func isOnce(call caller.Call) bool { return call.Method == http.MethodPost }

// calls holds what callers were told against what ran.
func (c *check) calls() {
	for _, told := range c.records.Told {
		id, runs := told.Call.ID, c.runs[told.Call.ID]
		if isOnce(told.Call) && runs > 1 {
			c.add(RunsAtMostOnce, id, "ran %d times", runs)
		}
		switch told.Outcome {
		case caller.NotRun, caller.Unreachable:
			if runs > 0 {
				c.add(NotRunIsTrue, id, "ran %d times, caller was told %s (%s)", runs, told.Outcome, told.Cause)
			}
		case caller.Answered:
			c.answer(told, runs)
		}
	}
}

func (c *check) answer(told caller.Result, runs int) {
	if told.Status >= http.StatusInternalServerError {
		return
	}
	id := told.Call.ID
	if !told.Own {
		c.add(AnswersOwn, id, "status %d carries another call's answer", told.Status)
	}
	if !told.Whole {
		c.add(AnswersWhole, id, "status %d with a part of the answer", told.Status)
	}
	// A call with a key may be answered with the run of the call before it.
	if runs == 0 && told.Call.Key == "" {
		c.add(AnswersOwn, id, "status %d, but the call did not run", told.Status)
	}
}

// keys counts the runs of calls that share an idempotency key.
func (c *check) keys() {
	runs := make(map[string]int)
	for _, t := range c.records.Targets {
		for _, run := range t.Runs {
			if run.IdempotencyKey != "" {
				runs[run.IdempotencyKey]++
			}
		}
	}
	for key, n := range runs {
		if n > 1 {
			c.add(RunsAtMostOnce, "key "+key, "ran %d times", n)
		}
	}
}

// drains looks for work that began too long after a target's drain.
func (c *check) drains() {
	for _, t := range c.records.Targets {
		if t.Drained.IsZero() {
			continue
		}
		for _, run := range t.Runs {
			if late := run.Begun.Sub(t.Drained); late > DrainBound {
				c.add(DrainedGetsNoWork, t.Name, "call %s began %s after the drain", run.CallID, late.Round(time.Millisecond))
			}
		}
	}
}

// stops looks for calls that planned stops cut.
func (c *check) stops() {
	if c.records.Unplanned || len(c.records.Stops) == 0 {
		return
	}
	for _, told := range c.records.Told {
		if told.Outcome == caller.Lost || told.Outcome == caller.Unknown {
			c.add(StopsCutNothing, told.Call.ID, "%s at %s: %s", told.Outcome, told.Call.Entry, told.Cause)
		}
	}
}
