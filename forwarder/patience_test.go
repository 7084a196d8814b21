package forwarder

import (
	"testing"
	"time"
)

func TestPatienceTellsWhoCameBack(t *testing.T) {
	var p patience
	start := time.Now()
	for _, tt := range []struct {
		name  string
		after time.Duration
		left  int64
		want  int64
	}{
		{"the first tells nothing", 0, 1500, 0},
		{"another new one", time.Second, 1490, 0},
		{"one that came back", time.Second, 1200, 300},
		{"one that may wait longer", 2 * time.Second, 2000, 0},
		{"measured against that", 2 * time.Second, 1500, 500},
		{"still remembered in the next window", 8 * time.Second, 1500, 500},
		{"forgotten after two", 20 * time.Second, 1500, 0},
	} {
		if got := p.waited("r", tt.left, start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: got %d ms, want %d", tt.name, got, tt.want)
		}
	}
	if got := p.waited("other", 100, start); got != 0 {
		t.Errorf("another route: got %d ms, want 0", got)
	}
}
