package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	callInterval   = 5 * time.Millisecond
	callTimeout    = 6 * time.Second
	changeInterval = 400 * time.Millisecond
	changeTimeout  = 20 * time.Second
	maxBodyBytes   = 64 << 10 // exclusive bound of the random body length of a call
	// deadlyOneIn and popularOneIn are how rare a lookup that ends its target, and one that
	// many callers send, are among the lookups.
	deadlyOneIn  = 64
	popularOneIn = 8
	// deadlyPath and popularContent identify them.
	deadlyPath     = "/shares" + faketarget.DeadlySuffix
	popularContent = "popular"
)

// makeCalls starts random calls until activeCtx ends. It does not cut short those
// that are in flight then.
func (s *soak) makeCalls(ctx, activeCtx context.Context, random *rand.Rand) {
	defer s.wg.Done()
	for n := 0; sleeper.Sleep(activeCtx, callInterval) == nil; n++ {
		call, repeats := s.drawCall(random, n)
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.doCall(ctx, call, repeats)
		}()
	}
}

// drawCall returns a random call without a URL. For a call with an idempotency key
// it also returns the entry daemons at which doCall repeats the call, in order,
// until it is answered.
func (s *soak) drawCall(random *rand.Rand, n int) (caller.Call, []string) {
	call := caller.Call{Method: http.MethodGet, Path: "/shares/7", BodyBytes: random.IntN(maxBodyBytes)}
	call.APIKey, call.Tenant = s.keyOfCall(n)
	daemons := s.fleet.Daemons()
	call.Entry = daemons[random.IntN(len(daemons))].Name
	var repeats []string
	if random.IntN(2) == 0 {
		call.Method, call.Path = http.MethodPost, "/payouts"
		if random.IntN(4) == 0 {
			call.Key = fmt.Sprintf("key-%d", n)
			repeats = []string{daemons[random.IntN(len(daemons))].Name, call.Entry}
		}
	}
	call.ID = fmt.Sprintf("call-%d", n)
	if call.Method == http.MethodGet {
		drawContent(random, &call)
	}
	return call, repeats
}

// drawContent makes a few lookups deadly or popular.
func drawContent(random *rand.Rand, call *caller.Call) {
	switch {
	case random.IntN(deadlyOneIn) == 0:
		call.Path, call.Content, call.BodyBytes = deadlyPath, "deadly", 0
	case random.IntN(popularOneIn) == 0:
		call.Content, call.BodyBytes = popularContent, 0
	}
}

// doCall makes a call and repeats it at the given entry daemons until it is
// answered.
func (s *soak) doCall(ctx context.Context, call caller.Call, repeats []string) {
	result := s.callOnce(ctx, call)
	call.Content = call.ID
	for i, entry := range repeats {
		if result.Outcome == caller.Answered {
			return
		}
		call.ID = fmt.Sprintf("%s-again-%d", call.Content, i)
		call.Entry = entry
		result = s.callOnce(ctx, call)
	}
}

// callOnce makes a call and records its result.
func (s *soak) callOnce(ctx context.Context, call caller.Call) caller.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := s.fleet.Daemon(call.Entry)
	if err != nil {
		return caller.Result{Call: call, Outcome: caller.Unreachable}
	}
	call.URL = d.CallerURL
	if call.APIKey == "" {
		call.APIKey, call.Tenant = steadyKey, steadyTenant
	}
	result := s.caller.Do(ctx, call)
	s.recorder.AddResults(result)
	if result.Cause == executor.CauseQuarantined && call.Path != deadlyPath {
		s.violate(InnocentNotQuarantined, call.ID, fmt.Sprintf("%s %s at %s", call.Method, call.Path, call.Entry))
	}
	return result
}

// makeChanges submits changes to random daemons, one per changeInterval, until
// activeCtx ends. It does not wait for the end of a change before the next.
func (s *soak) makeChanges(ctx, activeCtx context.Context, random *rand.Rand) {
	defer s.wg.Done()
	for n := 0; sleeper.Sleep(activeCtx, changeInterval) == nil; n++ {
		daemons := s.fleet.Daemons()
		d := daemons[random.IntN(len(daemons))]
		change := caller.Change{
			ID: fmt.Sprintf("change-%d", n), Entry: d.Name, URL: d.OperatorURL,
			Author: "ada", Reason: "soak", Edits: drawEdits(random, n),
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.applyOnce(ctx, change)
		}()
	}
}

// applyOnce submits a change, records its result and returns it.
func (s *soak) applyOnce(ctx context.Context, change caller.Change) caller.ChangeResult {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result := s.caller.Apply(ctx, change)
	s.recorder.AddChange(result)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Changes[result.Outcome]++
	return result
}

// drawEdits returns a random edit file for one of a few entries, so that
// concurrent changes may edit the same entry.
func drawEdits(random *rand.Rand, n int) string {
	switch random.IntN(3) {
	case 0:
		return fmt.Sprintf("[class.lookup]\ntimeout-ms = %d\n", 1000+n)
	case 1:
		return fmt.Sprintf("[route.extra-%d]\npartner = \"magnolia\"\npath-prefix = \"/extra/%d\"\nservice = \"ledger-view\"\nclass = \"lookup\"\n", random.IntN(8), n)
	default:
		return fmt.Sprintf("[exception.soak-%d]\npartner = \"magnolia\"\nservice = \"payout-desk\"\nsetting = \"posting.timeout-ms\"\nvalue = %d\nreason = \"soak\"\n", random.IntN(4), 8000+n)
	}
}
