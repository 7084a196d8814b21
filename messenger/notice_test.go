package messenger

import (
	"errors"
	"net/http"
	"testing"
)

// TestParseNotice guards against a malformed limit that would stop all calls or end a daemon.
func TestParseNotice(t *testing.T) {
	names := HeaderNames{}.WithDefaults()
	tests := []struct {
		limit, leaving string
		want           TargetNotice
		malformed      bool
	}{
		{"", "", TargetNotice{}, false},
		{"41.8", "", TargetNotice{IsLimited: true, CallsPerSecond: 41.8}, false},
		{"0", "", TargetNotice{IsLimited: true}, false},
		{"0.05", "1", TargetNotice{IsLimited: true, CallsPerSecond: 0.05, IsLeaving: true}, false},
		{"-3", "", TargetNotice{}, true},
		{"NaN", "", TargetNotice{}, true},
		{"Inf", "1", TargetNotice{IsLeaving: true}, true},
		{"1e999", "", TargetNotice{}, true},
		{"many", "", TargetNotice{}, true},
		{"", "0", TargetNotice{}, false},
	}
	for _, tt := range tests {
		h := http.Header{}
		if tt.limit != "" {
			h.Set(names.RateLimit, tt.limit)
		}
		if tt.leaving != "" {
			h.Set(names.Leaving, tt.leaving)
		}
		run := TargetRun{ID: "r1", Epoch: 3}
		tt.want.Run = run
		got, err := HeaderNames{}.ParseNotice(h, run)
		var malformed *MalformedLimitError
		if got != tt.want || errors.As(err, &malformed) != tt.malformed {
			t.Errorf("limit %q, leaving %q: got %+v and %v, want %+v, malformed %t", tt.limit, tt.leaving, got, err, tt.want, tt.malformed)
		}
	}
}
