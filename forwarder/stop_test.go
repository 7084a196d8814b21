package forwarder

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
)

// TestLateRequestInStopIsNotCutOff guards against a request that is sent to a target late in a
// planned stop and is cut off, after it has begun, when the process ends.
func TestLateRequestInStopIsNotCutOff(t *testing.T) {
	const timeLeft = 3800 * time.Millisecond
	tests := []struct {
		name string
		// work is how long the target runs a request, limitMS the caller's time limit.
		work    time.Duration
		limitMS string
		// knowsRun is set if the entry daemon has learned the run time from an earlier answer.
		knowsRun bool
		want     int
	}{
		{"may run longer than the process", 2500 * time.Millisecond, "4000", false, http.StatusServiceUnavailable},
		{"runs long", 2500 * time.Millisecond, "4000", true, http.StatusServiceUnavailable},
		{"runs shortly", 80 * time.Millisecond, "4000", true, http.StatusOK},
		{"has an early deadline", 2500 * time.Millisecond, "3000", false, http.StatusOK},
	}
	for _, stopping := range []string{"entry", "target"} {
		for _, tt := range tests {
			t.Run(stopping+" daemon/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newMesh(t.Context(), t, "t1")
					target := m.targets["t1"]
					target.handle = func(_ *http.Request, body string) (*http.Response, error) {
						time.Sleep(tt.work)
						return respond("ran " + body), nil
					}
					if tt.knowsRun {
						target.executor.Load = func(*messenger.Call) executor.Load { return executor.Load{Slots: 12, Run: tt.work} }
						m.call(t.Context(), "/postings", "first")
					}
					end := time.Now().Add(timeLeft)
					if stopping == "entry" {
						m.forwarder.SetStopEnd(end)
					} else {
						target.executor.SetStopEnd(end)
					}
					ran := len(target.ran())
					got := m.call(t.Context(), "/postings", "late", messenger.HeaderDeadline, tt.limitMS)
					if got.status != tt.want {
						t.Errorf("answer: got %d %s, want %d", got.status, got.body, tt.want)
					}
					if time.Now().After(end) {
						t.Errorf("answer came %v after the end of the process", time.Since(end))
					}
					if got.status == http.StatusServiceUnavailable && (len(target.ran()) != ran || !got.contains("not-run")) {
						t.Errorf("refused: got %s with %d runs, want not-run with 0", got.body, len(target.ran())-ran)
					}
				})
			})
		}
	}
}

// TestAssumedRunTimeIsNoEvidence guards against a late request that is taken since its expected
// latency is short, although no target has reported a run time and the latency is assumed.
func TestAssumedRunTimeIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(Forwarder)
		f.SetStopEnd(time.Now().Add(time.Second))
		x := &exchange{deadline: time.Now().Add(4 * time.Second)}
		if f.endsInTime(x, picker.Choice{ExpectedLatency: 10 * time.Millisecond}) {
			t.Error("request with an assumed latency and a late deadline: got true, want false")
		}
	})
}
