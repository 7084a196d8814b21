package forwarder

import (
	"net/http"
	"testing"

	"bambooweir.example/bambooweir/retrier"
)

// A call that a target makes while it runs a retry must be marked as belonging to one,
// so that it is counted as a retry and not retried itself. Targets that do not copy the
// mark would otherwise multiply retries along a chain of calls.
func TestNestedCallOfARetriedRunIsMarked(t *testing.T) {
	for _, isRetry := range []bool{false, true} {
		runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
			m.forwarder.Headers.RequestID = "X-Id"
			m.forwarder.FindRunning = func(id string) (bool, bool) { return id == "parent-0001", isRetry }
			marked := false
			m.targets["a"].handle = func(r *http.Request, _ string) (*http.Response, error) {
				marked = r.Header.Get(retrier.AttemptHeader) != ""
				return respond("ran"), nil
			}
			wantResponse(t, m.call(m.ctx, "/lookups", "", "X-Id", "parent-0001-1"), "200")
			if marked != isRetry {
				t.Errorf("call of a run with isRetry=%v: marked: got %v, want %v", isRetry, marked, isRetry)
			}
		})
	}
}
