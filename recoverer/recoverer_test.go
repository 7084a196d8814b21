package recoverer

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// A panic must be counted, logged with its cause, and what was being handled ended.
// Without a panic, nothing may happen.
func TestRecover(t *testing.T) {
	for _, panics := range []bool{false, true} {
		core, logs := observer.New(zapcore.ErrorLevel)
		before, ended := Panics.Value(), false
		func() {
			defer Recover(zap.New(core), "call", func() { ended = true })
			if panics {
				panic("test")
			}
		}()
		want := 0
		if panics {
			want = 1
		}
		if got := int(Panics.Value() - before); got != want {
			t.Errorf("panics=%v: counted: got %d, want %d", panics, got, want)
		}
		if got := logs.FilterMessage("panic-contained").Len(); got != want {
			t.Errorf("panics=%v: log lines: got %d, want %d", panics, got, want)
		}
		if ended != panics {
			t.Errorf("panics=%v: ended: got %v, want %v", panics, ended, panics)
		}
	}
}
