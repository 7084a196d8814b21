package forwarder

import (
	"fmt"
	"net/http"
	"testing"
)

// TestInvalidStatusIsNoAnswer guards against a status that reaches the caller as an answer,
// 0 even as a 200, although HTTP defines none such for a final response. Here a target's
// daemon passes it on, as an earlier version does. Only a lookup may be sent again.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 42, 100, 199, 600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
				invalid := true
				m.targets["a"].handle = func(_ *http.Request, body string) (*http.Response, error) {
					res := respond("ran " + body)
					if invalid {
						res.StatusCode = status
					}
					invalid = false
					return res, nil
				}
				wantResponse(t, m.call(m.ctx, "/postings", "1"), "502", "unknown", causeDamaged)
				invalid = true
				wantResponse(t, m.call(m.ctx, "/lookups", "2"), "200", "ran 2")
				wantRuns(t, m.targets["a"], "1", "2", "2")
			})
		})
	}
}
