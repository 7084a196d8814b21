package sleeper_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/sleeper"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if err := sleeper.Sleep(t.Context(), time.Minute); err != nil {
			t.Errorf("Sleep: got %v, want no error", err)
		}
		if got := time.Since(start); got != time.Minute {
			t.Errorf("time passed: got %v, want %v", got, time.Minute)
		}
	})
}

func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for _, d := range []time.Duration{time.Minute, 0} {
			if err := sleeper.Sleep(ctx, d); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("Sleep(%v): got %v, want context.DeadlineExceeded", d, err)
			}
		}
	})
}
