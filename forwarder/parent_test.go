package forwarder

import (
	"net/http"
	"testing"

	"bambooweir.example/bambooweir/messenger"
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

// A nested call must not go before callers that are more urgent than its parent, and must keep
// the priority of its route if that is less urgent already.
func TestNestedCallInheritsPriority(t *testing.T) {
	first, second := 0, 1
	for _, tt := range []struct {
		name               string
		route, parent      int
		tenant, wantTenant *int
		want               int
		parentID           string
		isOff              bool
	}{
		{"less urgent parent", 1, 2, &first, &first, 2, "parent", false},
		{"more urgent parent", 1, 0, &second, &second, 1, "parent", false},
		{"parent without a tenant", 1, 2, nil, nil, 2, "parent", false},
		{"no parent", 1, 2, &first, nil, 1, "", false},
		{"switched off", 1, 2, &first, nil, 1, "parent", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &Forwarder{FindPriority: func(string) (int, *int) { return tt.parent, tt.tenant }}
			if tt.isOff {
				f.FindPriority = nil
			}
			call := messenger.Call{Priority: tt.route}
			f.inheritPriority(&call, tt.parentID)
			if call.Priority != tt.want || call.TenantPriority != tt.wantTenant {
				t.Errorf("got priority %d, tenant's %v, want %d, %v", call.Priority, call.TenantPriority, tt.want, tt.wantTenant)
			}
		})
	}
}
