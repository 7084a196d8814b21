package limiter

import (
	"fmt"
	"testing"
	"time"
)

// A call that may not end before the process must be refused; one that certainly or nearly
// certainly does must not be.
func TestEndsInTime(t *testing.T) {
	const unknown = 0
	tests := []struct {
		left, untilDeadline, meanRun time.Duration
		want                         bool
	}{
		{5 * time.Second, 2 * time.Second, unknown, true},
		{5 * time.Second, 2 * time.Second, 2 * time.Second, true},
		{3800 * time.Millisecond, 4 * time.Second, unknown, false},
		{3800 * time.Millisecond, 4 * time.Second, 80 * time.Millisecond, true},
		{3800 * time.Millisecond, 4 * time.Second, 2500 * time.Millisecond, false},
		{4 * time.Second, 4 * time.Second, unknown, false},
		{time.Second, 4 * time.Second, 125 * time.Millisecond, true},
		{time.Second, 4 * time.Second, 126 * time.Millisecond, false},
		{0, time.Millisecond, unknown, false},
		{-time.Second, -time.Second, time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.left, tt.untilDeadline, tt.meanRun), func(t *testing.T) {
			if got := EndsInTime(tt.left, tt.untilDeadline, tt.meanRun); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
