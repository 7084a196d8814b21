package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"bambooweir.example/bambooweir/tracker"
)

// An idempotent call that crashes every target that runs it must not be retried at all
// of them: retries would take down the whole service.
func TestUnknownAttemptsAreBounded(t *testing.T) {
	tests := []struct {
		limit, want int
	}{
		{limit: -1, want: 6},
		{limit: 0, want: 2},
		{limit: 1, want: 1},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("limit=%d", tt.limit), func(t *testing.T) {
			runInMesh(t, []string{"a", "b", "c", "d", "e", "f"}, func(t *testing.T, m *mesh) {
				m.forwarder.MaxUnknownAttempts = tt.limit
				for n := range 100 {
					wantResponse(t, m.call(m.ctx, "/lookups", fmt.Sprint(n)), "200")
				}
				for _, f := range m.targets {
					f.handle = func(r *http.Request, body string) (*http.Response, error) {
						if body != "deadly" {
							return respond("ran " + body), nil
						}
						go func() {
							f.kill()
							f.announce(tracker.StateGone, false)
						}()
						<-r.Context().Done()
						return nil, errors.New("target crashed")
					}
				}
				wantResponse(t, m.call(m.ctx, "/lookups", "deadly"), "unknown")
				crashed := 0
				for _, f := range m.targets {
					if f.down {
						crashed++
					}
				}
				if crashed != tt.want {
					t.Errorf("crashed targets: got %d, want %d", crashed, tt.want)
				}
			})
		})
	}
}
