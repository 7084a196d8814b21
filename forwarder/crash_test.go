package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"bambooweir.example/bambooweir/tracker"
)

// A lookup that kills every target that runs it harms few of them.
func TestCrashLoopIsBounded(t *testing.T) {
	tests := []struct {
		limit, want int
	}{
		{limit: -1, want: 6},
		{limit: 0, want: 2},
		{limit: 1, want: 1},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("limit=%d", tt.limit), func(t *testing.T) {
			inMesh(t, []string{"a", "b", "c", "d", "e", "f"}, func(t *testing.T, m *mesh) {
				m.forwarder.MaxHarmed = tt.limit
				for n := range 100 {
					wantTold(t, m.call(m.ctx, "/lookups", fmt.Sprint(n)), "200")
				}
				for _, f := range m.targets {
					f.work = func(r *http.Request, body string) (*http.Response, error) {
						if body != "deadly" {
							return respond("ran " + body), nil
						}
						go func() {
							f.kill()
							f.announce(tracker.StateGone, false)
						}()
						<-r.Context().Done()
						return nil, errors.New("died")
					}
				}
				wantTold(t, m.call(m.ctx, "/lookups", "deadly"), "unknown")
				harmed := 0
				for _, f := range m.targets {
					if f.down {
						harmed++
					}
				}
				if harmed != tt.want {
					t.Errorf("targets that died: got %d, want %d", harmed, tt.want)
				}
			})
		})
	}
}
