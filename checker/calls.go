package checker

import (
	"net/http"
	"time"

	"bambooweir.example/bambooweir/caller"
)

// isPosting reports whether a call must run at most once.
func isPosting(call caller.Call) bool { return call.Method == http.MethodPost }

// checkCalls compares the outcomes that callers received with the runs that
// targets recorded.
func (c *checkRun) checkCalls() {
	for _, result := range c.records.Results {
		id, runs := result.Call.ID, c.runs[result.Call.ID]
		if isPosting(result.Call) && runs > 1 {
			c.addViolation(RunsAtMostOnce, id, "ran %d times", runs)
		}
		switch result.Outcome {
		case caller.NotRun, caller.Unreachable:
			if runs > 0 {
				c.addViolation(NotRunIsTrue, id, "ran %d times, but the caller got %s (%s)", runs, result.Outcome, result.Cause)
			}
		case caller.Answered:
			c.checkAnswer(result, runs)
		}
	}
}

// checkAnswer checks an answered call. It ignores 5xx answers: a target that sheds
// a call, for example, answers 503 without running it.
func (c *checkRun) checkAnswer(result caller.Result, runs int) {
	if result.Status >= http.StatusInternalServerError {
		return
	}
	id := result.Call.ID
	if !result.IDMatches {
		c.addViolation(AnswersOwn, id, "status %d carries another call's answer", result.Status)
	}
	if !result.BodyComplete {
		c.addViolation(AnswersWhole, id, "status %d with an incomplete answer", result.Status)
	}
	// A call with a key may get the answer of an earlier call with that key.
	if runs == 0 && result.Call.Key == "" {
		c.addViolation(AnswersOwn, id, "status %d, but the call did not run", result.Status)
	}
}

// checkKeys checks that the calls that share an idempotency key ran at most once
// in total.
func (c *checkRun) checkKeys() {
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
			c.addViolation(RunsAtMostOnce, "key "+key, "ran %d times", n)
		}
	}
}

// checkTenants checks what targets were told about the callers of calls with API keys.
func (c *checkRun) checkTenants() {
	calls := make(map[string]caller.Call)
	for _, result := range c.records.Results {
		if result.Call.APIKey != "" {
			calls[result.Call.ID] = result.Call
		}
	}
	for _, t := range c.records.Targets {
		for _, run := range t.Runs {
			call, ok := calls[run.CallID]
			switch {
			case !ok:
			case run.APIKey != "":
				c.addViolation(TenantsToldTruly, run.CallID, "target %s was told the API key", t.Name)
			case call.Tenant == "":
				c.addViolation(TenantsToldTruly, run.CallID, "ran, but no tenant holds its key")
			case run.Tenant != call.Tenant:
				c.addViolation(TenantsToldTruly, run.CallID, "target %s was told the tenant %q, want %q", t.Name, run.Tenant, call.Tenant)
			}
		}
	}
}

// checkDrains looks for runs that began later than DrainGracePeriod after the
// drain of their target.
func (c *checkRun) checkDrains() {
	for _, t := range c.records.Targets {
		if t.Drained.IsZero() {
			continue
		}
		for _, run := range t.Runs {
			if elapsed := run.Begun.Sub(t.Drained); elapsed > DrainGracePeriod {
				c.addViolation(DrainedGetsNoWork, t.Name, "call %s began %s after the drain", run.CallID, elapsed.Round(time.Millisecond))
			}
		}
	}
}

// checkStops looks for calls that planned stops interrupted. It reports nothing
// if faults were injected, because they interrupt calls too.
func (c *checkRun) checkStops() {
	if c.records.FaultsInjected || len(c.records.Stops) == 0 {
		return
	}
	for _, result := range c.records.Results {
		if result.Outcome == caller.Lost || result.Outcome == caller.Unknown {
			c.addViolation(StopsCutNothing, result.Call.ID, "%s at %s: %s", result.Outcome, result.Call.Entry, result.Cause)
		}
	}
}
