package quarantiner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

// enter starts a call at the gate and returns the channel on which its result arrives.
func enter(ctx context.Context, g *Gate, request Digest) <-chan error {
	result := make(chan error, 1)
	go func() { result <- g.Enter(ctx, request) }()
	synctest.Wait()
	return result
}

// hasEntered reports whether the call was admitted.
func hasEntered(result <-chan error) bool {
	select {
	case err := <-result:
		return err == nil
	default:
		return false
	}
}

func TestGateAdmitsOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		first, second := Digest{1}, Digest{2}
		for range 2 {
			if !hasEntered(enter(t.Context(), &g, first)) {
				t.Fatal("a request and its repeat were not admitted together")
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		leaving, waiting, repeat := enter(ctx, &g, second), enter(t.Context(), &g, second), enter(t.Context(), &g, first)
		cancel()
		synctest.Wait()
		if err := <-leaving; !errors.Is(err, context.Canceled) {
			t.Errorf("a call that left: got %v, want %v", err, context.Canceled)
		}
		g.Leave()
		synctest.Wait()
		if hasEntered(waiting) || hasEntered(repeat) {
			t.Fatal("another request was admitted while the first one ran, or a repeat overtook it")
		}
		g.Leave()
		synctest.Wait()
		if !hasEntered(waiting) || hasEntered(repeat) {
			t.Fatal("the next request was not admitted alone")
		}
		g.Leave()
		synctest.Wait()
		if !hasEntered(repeat) {
			t.Error("the last call was not admitted")
		}
	})
}

func TestGateRefusesMoreThanItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_ = g.Enter(ctx, Digest{1})
		for range maxWaiting {
			enter(ctx, &g, Digest{2})
		}
		var full *GateFullError
		if err := g.Enter(ctx, Digest{2}); !errors.As(err, &full) {
			t.Errorf("one call more: got %v, want a *GateFullError", err)
		}
	})
}
