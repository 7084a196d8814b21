package announcer

import (
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/tracker"
)

// TestOwnPauseIsNoMissedHeartbeat guards against a target that is marked as gone since the
// daemon beside it was frozen, or got no processor: the check after the thaw came before the
// heartbeats that had arrived meanwhile were read. A target that then announces nothing must
// still be marked.
func TestOwnPauseIsNoMissedHeartbeat(t *testing.T) {
	const timeout = 4 * time.Second
	tests := []struct {
		name string
		// checks are the times of the checks after the announcement.
		checks []time.Duration
		want   tracker.State
	}{
		{"on time", every(500*time.Millisecond, 8), tracker.StateReady},
		{"silent", every(500*time.Millisecond, 9), tracker.StateGone},
		{"checks a little late", every(900*time.Millisecond, 5), tracker.StateGone},
		{"frozen", append(every(500*time.Millisecond, 2), 20*time.Second), tracker.StateReady},
		{"frozen at once", []time.Duration{20 * time.Second}, tracker.StateReady},
		{"frozen twice", append(every(500*time.Millisecond, 2), 20*time.Second, 20500*time.Millisecond, 40*time.Second), tracker.StateReady},
		{"silent after the thaw", append(every(500*time.Millisecond, 2), from(20*time.Second, 500*time.Millisecond, 8)...), tracker.StateGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var newest tracker.Record
				a := &Announcer{HeartbeatTimeout: timeout, OnChange: func(r tracker.Record) { newest = r }}
				a.checkHeartbeat(time.Now(), false)
				if err := a.Announce(Announcement{Service: "ledger-view", Address: "127.0.0.1:80", State: "ready"}); err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				for _, at := range tt.checks {
					a.checkHeartbeat(began.Add(at), false)
				}
				if newest.State != tt.want {
					t.Errorf("state: got %v, want %v", newest.State, tt.want)
				}
			})
		})
	}
}

// every returns n times, one each interval.
func every(interval time.Duration, n int) []time.Duration { return from(0, interval, n) }

// from returns n times after start, one each interval.
func from(start, interval time.Duration, n int) []time.Duration {
	var times []time.Duration
	for i := range n {
		times = append(times, start+time.Duration(i+1)*interval)
	}
	return times
}
