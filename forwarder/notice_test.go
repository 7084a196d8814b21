package forwarder

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// handleLimited returns a handler of a target that names a rate limit on its answers and
// calls arrived for each request.
func handleLimited(perSecond string, arrived func()) func(*http.Request, string) (*http.Response, error) {
	return func(*http.Request, string) (*http.Response, error) {
		arrived()
		time.Sleep(200 * time.Millisecond)
		res := respond("ok")
		res.Header.Set(messenger.HeaderNames{}.WithDefaults().RateLimit, perSecond)
		return res, nil
	}
}

// TestRestartedDaemonKeepsTheLimitOfItsTarget guards against the burst that a daemon lets
// through after a restart, until its target's first answer names the limit again.
func TestRestartedDaemonKeepsTheLimitOfItsTarget(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.kill()
		a.slots, a.epoch = 12, 7
		a.start()
		start := time.Now()
		var mu sync.Mutex
		var arrivals []time.Duration
		a.handle = handleLimited("0.5", func() {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, time.Since(start))
		})
		for i := range 2000 {
			m.start("/lookups", "1")
			time.Sleep(10 * time.Millisecond)
			if i == 800 || i == 1200 {
				a.kill()
				a.start()
			}
		}
		time.Sleep(testTimeoutMS * time.Millisecond)
		const most = 1.5*4*0.5 + 5
		for from := time.Second; from < 16*time.Second; from += 100 * time.Millisecond {
			got := 0
			for _, at := range arrivals {
				if at >= from && at < from+4*time.Second {
					got++
				}
			}
			if got > most {
				t.Fatalf("in 4 s from %v: got %d calls, want at most %v", from, got, most)
			}
		}
	})
}
