package tracker

import "testing"

// Whoever loses contact with a target's daemon marks its record as gone without a new
// sequence. That must replace the record in any state, or a target whose daemon died while it
// warmed up would stay warming for ever.
func TestGoneReplacesEveryState(t *testing.T) {
	for _, state := range []State{StateWarming, StateReady, StateDraining} {
		alive := Record{InstanceID: "d1", Incarnation: 5, Sequence: 3, State: state}
		gone := alive
		gone.State = StateGone
		if !gone.Newer(alive) || alive.Newer(gone) {
			t.Errorf("gone over %v: got %v, and %v the other way, want true and false", state, gone.Newer(alive), alive.Newer(gone))
		}
	}
}
