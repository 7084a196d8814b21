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
		// The answer of the first clears the others.
		{name: "two crashes, repeats", crashes: 2, paths: []string{"/a", "/a", "/a"}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				running, most, trials := 0, 0, 0
				x := newExecutor("http://target")
				x.Quarantine = new(quarantiner.Table)
				x.Exchange = func(_ context.Context, _ string, req *requester.Request) (*requester.Response, error) {
					isTrial := x.Quarantine.Judge(newLookup(req.Target).ContentDigest(), newLookup(req.Target).Service).IsOnTrial()
					mu.Lock()
					if running++; isTrial {
						trials++
					}
					most = max(most, running)
					if trials > 1 || trials == 1 && running > 1 {
						t.Errorf("%s: got %d trials among %d calls at the same time, want a trial alone", req.Target, trials, running)
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
					mu.Lock()
					if running--; isTrial {
						trials--
					}
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

// TestTrialRunsAtOneTargetOfTheFleet guards against trials of one request at several targets at
// once, when daemons know of different targets: after targets have come back together, or
// just after the crash of a trial.
func TestTrialRunsAtOneTargetOfTheFleet(t *testing.T) {
	tests := []struct {
		name       string
		holder     string
		settled    time.Duration
		sinceCrash time.Duration
		crashes    int
		wantCause  string // "" for an answer
	}{
		{name: "settled", holder: "a", settled: time.Second, crashes: 2},
		{name: "just changed", holder: "a", settled: 100 * time.Millisecond, crashes: 2, wantCause: CauseTrialUnsettled},
		{name: "another target", holder: "b", settled: time.Second, crashes: 2, wantCause: CauseTrialElsewhere},
		{name: "no target known", settled: time.Second, crashes: 2, wantCause: CauseTrialElsewhere},
		{name: "always changing", holder: "a", settled: 100 * time.Millisecond, sinceCrash: trialPatience, crashes: 2},
		{name: "not on trial", holder: "b", settled: 100 * time.Millisecond, crashes: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newExecutor("http://target")
				x.InstanceID = "a"
				x.Quarantine = new(quarantiner.Table)
				x.TrialHolder = func(string, quarantiner.Digest) (string, time.Duration) { return tt.holder, tt.settled }
				x.Exchange = func(context.Context, string, *requester.Request) (*requester.Response, error) {
					return &requester.Response{Status: http.StatusOK, Header: http.Header{}}, nil
				}
				call := newLookup("/a")
				for run := range tt.crashes {
					x.Quarantine.ReportCrash(call.ContentDigest(), call.Service, "", quarantiner.Crash{Run: uint64(run)})
				}
				call.Suspicions = x.Quarantine.Find(call.ContentDigest())
				time.Sleep(tt.sinceCrash)
				got := x.Run(t.Context(), call)
				if tt.wantCause == "" && got.Outcome != messenger.OutcomeAnswered {
					t.Errorf("got %v %s, want an answer", got.Outcome, got.Cause)
				}
				if tt.wantCause != "" && (got.Outcome != messenger.OutcomeNotRun || got.Cause != tt.wantCause || got.RetryAfterMS <= 0) {
					t.Errorf("got %v %s, retry after %d ms; want not-run %s, with a time", got.Outcome, got.Cause, got.RetryAfterMS, tt.wantCause)
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
