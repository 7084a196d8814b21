package announcer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// targetEvent is an announcement or a departure of a run, which may arrive late
// or more than once.
type targetEvent struct {
	Announcement
	departs bool
	// hasEpoch reports whether a departure names the epoch of its run.
	hasEpoch bool
}

// drawEvent draws an event of one of six runs: two in each of three epochs.
func drawEvent(t *rapid.T) targetEvent {
	epoch := rapid.Uint64Range(1, 3).Draw(t, "epoch")
	ev := targetEvent{departs: rapid.IntRange(0, 5).Draw(t, "departs") == 0}
	ev.hasEpoch = rapid.Bool().Draw(t, "has epoch")
	ev.RunID, ev.Epoch = fmt.Sprintf("run-%d-%d", epoch, rapid.IntRange(0, 1).Draw(t, "run")), epoch
	ev.Sequence = rapid.Uint64Range(1, 6).Draw(t, "sequence")
	ev.State = rapid.SampledFrom([]string{"ready", "draining", "gone"}).Draw(t, "state")
	ev.Service, ev.Address, ev.Slots = "payout-desk", "10.0.0.1:80", 12
	return ev
}

// TestAnnouncementsStateMachine applies late, duplicate and out-of-order events.
// A run whose departure was applied must never accept calls again, and an older
// announcement must never replace a newer one.
func TestAnnouncementsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newRecorder()
		departed := make(map[run]bool)
		var accepted []Announcement
		for _, ev := range rapid.SliceOfN(rapid.Custom(drawEvent), 1, 40).Draw(t, "events") {
			switch {
			case ev.departs && ev.hasEpoch:
				_ = a.Depart(ev.RunID, ev.Epoch)
				departed[ev.run()] = true
			case ev.departs:
				// The run id contains the epoch here, so a departure without it
				// still identifies one run.
				_ = a.Depart(ev.RunID, 0)
				departed[ev.run()] = true
			case a.Announce(ev.Announcement) == nil:
				accepted = append(accepted, ev.Announcement)
			}
			current := a.Current()
			if departed[current.run()] && !a.Draining() {
				t.Fatalf("after %+v: departed run %s still accepts calls", ev, current.RunID)
			}
			for _, other := range accepted {
				switch {
				case other.Epoch > current.Epoch:
					t.Fatalf("after %+v: epoch %d is in force, %d was accepted", ev, current.Epoch, other.Epoch)
				case other.run() == current.run() && other.Sequence > current.Sequence:
					t.Fatalf("after %+v: sequence %d is in force, %d was accepted", ev, current.Sequence, other.Sequence)
				}
			}
			if len(accepted) > 0 && current.State != "ready" && !a.Draining() {
				t.Fatalf("after %+v: the target accepts calls in state %q", ev, current.State)
			}
		}
	})
}
