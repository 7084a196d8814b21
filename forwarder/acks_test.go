package forwarder

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/messenger"
)

// TestRefusalsOfTheTargetAreAcknowledged guards against a table of calls that fills with
// refusals of the target, which its daemon keeps until they are acknowledged: it then refuses
// all calls.
func TestRefusalsOfTheTargetAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t.Context(), t, "t1")
		m.targets["t1"].handle = func(*http.Request, string) (*http.Response, error) {
			res := respond("")
			res.StatusCode = http.StatusServiceUnavailable
			res.Header.Set(messenger.HeaderNames{}.WithDefaults().NotRun, "1")
			return res, nil
		}
		for range 10 {
			if got := m.call(t.Context(), "/postings", "1"); !got.contains("not-run", executor.CauseShed) {
				t.Fatalf("answer: got %d %s, want not-run", got.status, got.body)
			}
		}
		time.Sleep(2 * idleLimit)
		synctest.Wait()
		if got := m.targets["t1"].executor.Calls.Len(); got != 0 {
			t.Errorf("calls in the table: got %d, want 0", got)
		}
	})
}
