package forwarder

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// TestRestartedDaemonKeepsTheLimitOfItsTarget guards against the burst that a daemon lets
// through after a restart, until its target's first answer names the limit again.
func TestRestartedDaemonKeepsTheLimitOfItsTarget(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		a := m.targets["a"]
		a.kill()
		a.slots = 12
		a.setEpoch(7)
		a.start()
		start := time.Now()
		var mu sync.Mutex
		var arrivals []time.Duration
		a.handle = func(*http.Request, string) (*http.Response, error) {
			mu.Lock()
			arrivals = append(arrivals, time.Since(start))
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			res := respond("ok")
			res.Header.Set(messenger.HeaderNames{}.WithDefaults().RateLimit, "0.5")
			return res, nil
		}
		for i := range 2000 {
			m.start("/lookups", "1")
			time.Sleep(10 * time.Millisecond)
			if i == 800 || i == 1200 {
				a.kill()
				a.start()
			}
		}
		time.Sleep(testTimeoutMS * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
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

// TestLeavingTargetGetsNothingAfterItsDaemonRestarts guards against a daemon that was
// restarted, and has only heard an outdated heartbeat, sending calls to a target whose
// departure other daemons know from its answers.
func TestLeavingTargetGetsNothingAfterItsDaemonRestarts(t *testing.T) {
	tests := []struct {
		name  string
		epoch uint64
		want  int
	}{
		{"the same run", 7, 1},
		{"a new run", 8, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
				a := m.targets["a"]
				a.kill()
				a.setEpoch(7)
				time.Sleep(time.Second)
				a.start()
				a.handle = func(*http.Request, string) (*http.Response, error) {
					res := respond("ok")
					res.Header.Set(messenger.HeaderNames{}.WithDefaults().Leaving, "1")
					return res, nil
				}
				m.call(m.ctx, "/lookups", "1")
				a.kill()
				a.setEpoch(tt.epoch)
				time.Sleep(time.Second)
				a.start()
				time.Sleep(time.Second)
				m.start("/lookups", "2")
				time.Sleep(time.Second)
				if got := len(a.ran()); got != tt.want {
					t.Errorf("requests at the target: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}
