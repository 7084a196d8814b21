package executor

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/requester"
)

// After a crash with two suspects beside each other, the innocent one would count as guilty.
func TestSuspectsOnTrialRunAlone(t *testing.T) {
	tests := []struct {
		name string
		// crashes is the number of crashes held against each request.
		crashes int
		// paths are the requests that come at the same time.
		paths []string
		// want is how many of them run at the same time.
		want int
	}{
		{name: "no crash", paths: []string{"/a", "/b", "/c"}, want: 3},
		{name: "one crash", crashes: 1, paths: []string{"/a", "/b", "/c"}, want: 3},
		{name: "two crashes", crashes: 2, paths: []string{"/a", "/b", "/c"}, want: 1},
		{name: "two crashes, repeats", crashes: 2, paths: []string{"/a", "/a", "/a"}, want: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				running, most := 0, 0
				x := newExecutor("http://target")
				x.Quarantine = new(quarantiner.Table)
				x.Exchange = func(context.Context, string, *requester.Request) (*requester.Response, error) {
					mu.Lock()
					running++
					most = max(most, running)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
					mu.Lock()
					running--
					mu.Unlock()
					return &requester.Response{Status: http.StatusOK, Header: http.Header{}}, nil
				}
				var wg sync.WaitGroup
				for _, path := range tt.paths {
					call := newLookup(path)
					for run := range tt.crashes {
						x.Quarantine.ReportCrash(call.ContentDigest(), call.Service, "", quarantiner.Crash{Run: uint64(run)})
					}
					call.Suspicions = x.Quarantine.Find(call.ContentDigest())
					wg.Go(func() {
						if got := x.Run(t.Context(), call); got.Outcome != messenger.OutcomeAnswered {
							t.Errorf("%s: got %v %s, want an answer", path, got.Outcome, got.Cause)
						}
					})
				}
				wg.Wait()
				if most != tt.want {
					t.Errorf("calls at the same time: got %d, want %d", most, tt.want)
				}
			})
		})
	}
}

// A call that reached a target by chance, before its entry daemon knew of a crash, must not
// run there as one more.
func TestSuspectIsRefusedWhereItIsNotOnTrial(t *testing.T) {
	x := newExecutor("http://target")
	x.Quarantine = new(quarantiner.Table)
	call := newLookup("/a")
	x.Quarantine.ReportCrash(call.ContentDigest(), call.Service, "", quarantiner.Crash{Run: 1})
	got := x.Run(t.Context(), call)
	if got.Outcome != messenger.OutcomeNotRun || got.Cause != CauseSuspected || len(got.Suspicions) != 1 {
		t.Errorf("answer: got %v %s with %d records, want not-run %s with 1", got.Outcome, got.Cause, len(got.Suspicions), CauseSuspected)
	}
}

// A request may be quarantined while one of its calls waits for a slot.
func TestCallThatWaitsWhenItsRequestIsQuarantinedIsNotRun(t *testing.T) {
	x := newExecutor("http://target")
	x.Quarantine = new(quarantiner.Table)
	call := newLookup("/a")
	x.Admit = func(context.Context, *messenger.Call) (func(), *messenger.Answer) {
		for run := range uint64(3) {
			x.Quarantine.ReportCrash(call.ContentDigest(), call.Service, "", quarantiner.Crash{Run: run, IsTrial: true})
		}
		return func() {}, nil
	}
	x.Exchange = func(context.Context, string, *requester.Request) (*requester.Response, error) {
		t.Error("the call ran")
		return &requester.Response{Status: http.StatusOK, Header: http.Header{}}, nil
	}
	if got := x.Run(t.Context(), call); got.Outcome != messenger.OutcomeNotRun || got.Cause != CauseQuarantined || got.RetryAfterMS < 500_000 {
		t.Errorf("answer: got %v %s, retry after %d ms; want not-run %s, after most of the term", got.Outcome, got.Cause, got.RetryAfterMS, CauseQuarantined)
	}
}
