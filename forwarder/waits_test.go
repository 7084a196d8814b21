package forwarder

import (
	"testing"
	"time"
)

func TestWaitEstimate(t *testing.T) {
	var waits waitEstimator
	start := time.Now()
	for _, tt := range []struct {
		name  string
		after time.Duration
		left  int64
		want  int64
	}{
		{"first request", 0, 1500, 0},
		{"difference within the tolerance", time.Second, 1490, 0},
		{"repeated request", time.Second, 1200, 300},
		{"new maximum", 2 * time.Second, 2000, 0},
		{"difference to the new maximum", 2 * time.Second, 1500, 500},
		{"maximum of the previous window", 8 * time.Second, 1500, 500},
		{"maximum dropped after two windows", 20 * time.Second, 1500, 0},
	} {
		if got := waits.estimateMS("r", tt.left, start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: got %d ms, want %d", tt.name, got, tt.want)
		}
	}
	if got := waits.estimateMS("other", 100, start); got != 0 {
		t.Errorf("another route: got %d ms, want 0", got)
	}
}
