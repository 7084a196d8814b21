package spreader

import "testing"

// TestFleetFollowsARestoredStore guards against relays that watch nothing, or a fleet
// without relays, after the store has come back from an older copy, twice in a row.
func TestFleetFollowsARestoredStore(t *testing.T) {
	for _, tt := range []struct {
		name      string
		hasNarrow bool
	}{{"every daemon watches", false}, {"relays watch", true}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newExternalFleet(t)
			f.settings.HasNarrowLink = tt.hasNarrow
			beforeRelays := f.store.Copy()
			f.startMembers(4, "mobile-bay", "selma-row")
			f.waitConverged()
			f.waitRelays()
			copied := f.store.Copy()
			for range 3 {
				f.writeExternal()
			}
			f.waitConverged()
			f.store.Restore(copied)
			f.writeExternal()
			f.waitConverged()
			f.waitRelays()
			f.store.Restore(beforeRelays)
			f.store.Restore(beforeRelays)
			late := f.start("late", "selma-row", f.ip+":0")
			f.writeExternal()
			f.waitConverged(append(f.membersOf("selma-row"), late)...)
			f.waitConverged()
			f.waitRelays()
		})
	}
}
