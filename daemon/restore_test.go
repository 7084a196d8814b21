package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/tracker"
)

// TestRestoredStoreGetsItsRecordsBack guards against what a daemon wrote once, and the store
// lost, being forgotten at the end of all daemons: quarantined requests, and departures in the
// daemon's failure domain.
func TestRestoredStoreGetsItsRecordsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(fakestorer.Store)
		d := New(&loader.Daemon{InstanceID: "d1", FailureDomain: "mobile-bay", Platform: true}, store, zap.NewNop())
		departed := tracker.Record{
			InstanceID: "d2", Incarnation: 1, Sequence: 1, Service: "payout-desk", Domain: "mobile-bay",
			PeerAddress: "10.0.0.2:7101", State: tracker.StateGone, Epoch: 1000, TargetLeaving: true,
		}
		elsewhere, ready := departed, departed
		elsewhere.InstanceID, elsewhere.Domain = "d3", "selma-row"
		ready.InstanceID, ready.State, ready.TargetLeaving = "d4", tracker.StateReady, false
		d.table.Merge([]tracker.Record{departed, elsewhere, ready})
		request := quarantiner.NewDigest("magnolia", "", "GET", "/shares/7", nil)
		for run := range uint64(3) {
			d.quarantine.ReportCrash(request, "payout-desk", "magnolia", quarantiner.Crash{Run: run, IsTrial: true})
		}
		<-d.quarantine.Unsaved() // it has been saved
		d.handleRestore(1, 2)
		time.Sleep(2 * recordRestoreJitter)
		select {
		case <-d.quarantine.Unsaved():
		default:
			t.Error("quarantined request: not marked for saving")
		}
		items, err := store.List(t.Context(), "departures/")
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, item := range items {
			got = append(got, item.Key)
		}
		if len(got) != 1 || got[0] != "departures/d2" {
			t.Errorf("departures in the store: got %v, want that of d2", got)
		}
	})
}
