package quarantiner

import (
	"context"
	"errors"
	"slices"
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

// TestGateAdmitsOneCallAtATime guards against several targets' worth of crashes in one trial:
// repeats of a request that come while it is tried wait for the verdict.
func TestGateAdmitsOneCallAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		first, second := Digest{1}, Digest{2}
		if !hasEntered(enter(t.Context(), &g, first)) {
			t.Fatal("a request was not admitted by an open gate")
		}
		ctx, cancel := context.WithCancel(t.Context())
		repeat, leaving, waiting := enter(t.Context(), &g, first), enter(ctx, &g, second), enter(t.Context(), &g, second)
		again := enter(t.Context(), &g, second)
		cancel()
		synctest.Wait()
		if err := <-leaving; !errors.Is(err, context.Canceled) {
			t.Errorf("a call that left: got %v, want %v", err, context.Canceled)
		}
		if hasEntered(repeat) || hasEntered(waiting) || hasEntered(again) {
			t.Fatal("a call was admitted beside another one")
		}
		for i, next := range []<-chan error{repeat, waiting, again} {
			g.Leave()
			synctest.Wait()
			if !hasEntered(next) {
				t.Fatalf("call %d that waited was not admitted in its turn", i)
			}
			for _, later := range []<-chan error{repeat, waiting, again}[i+1:] {
				if hasEntered(later) {
					t.Fatalf("call %d that waited was not admitted alone", i)
				}
			}
		}
	})
}

// TestGateAdmitsCallsThatAreNotOnTrialTogether guards against innocent requests that wait for
// each other after a single crash.
func TestGateAdmitsCallsThatAreNotOnTrialTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		if !hasEntered(enter(t.Context(), &g, Digest{1})) {
			t.Fatal("a request on trial was not admitted by an open gate")
		}
		var others []<-chan error
		for range 3 {
			others = append(others, enter(t.Context(), &g, Digest{}))
		}
		if slices.ContainsFunc(others, hasEntered) {
			t.Fatal("a call was admitted beside a request on trial")
		}
		g.Leave()
		others = append(others, enter(t.Context(), &g, Digest{}))
		onTrial := enter(t.Context(), &g, Digest{1})
		for i, o := range others {
			if !hasEntered(o) {
				t.Errorf("call %d: not admitted beside the others", i)
			}
		}
		if hasEntered(onTrial) {
			t.Error("a request on trial was admitted beside others")
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
