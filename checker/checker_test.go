package checker

import (
	"net/http"
	"testing"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/versioner"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sound returns records in which every promise was kept.
func sound() *Records {
	service := versioner.Entry{Key: versioner.Key{Kind: versioner.KindService, Name: "payout-desk"}, Service: new(versioner.Service)}
	route := versioner.Entry{Key: versioner.Key{Kind: versioner.KindRoute, Name: "payouts"}, Route: &versioner.Route{Service: "payout-desk"}}
	doc := new(versioner.Document).With([]versioner.Entry{service, route}, nil)
	digest, _ := doc.Digest()
	posting := func(id string, outcome caller.Outcome) caller.Result {
		return caller.Result{Call: caller.Call{ID: id, Method: http.MethodPost}, Outcome: outcome, Own: true, Whole: true}
	}
	return &Records{
		Applied: map[string][]applier.Applied{
			"d1": {{Version: 1, Digest: digest.String()}, {Version: 2, Digest: "b"}},
			"d2": {{Version: 2, Digest: "b"}, {Version: 2, Digest: "b"}},
		},
		Accepted:  map[versioner.Version]versioner.Digest{1: digest},
		Documents: []*versioner.Document{doc},
		Targets: []Target{{Name: "t1", Drained: start, Runs: []faketarget.Run{
			{CallID: "answered", IdempotencyKey: "k1", Begun: start.Add(DrainBound)},
		}}},
		Told:  []caller.Result{posting("answered", caller.Answered), posting("refused", caller.NotRun)},
		Stops: []Stop{{Daemon: "d1", At: start}},
		Changes: []caller.ToldChange{
			{Change: caller.Change{ID: "c1"}, Outcome: caller.Accepted, Version: 1},
			{Change: caller.Change{ID: "c3"}, Outcome: caller.NotAccepted},
		},
		Makers: map[versioner.Version]string{1: "c1", 2: "c2"},
	}
}

func TestCheckPassesSoundRecords(t *testing.T) {
	if got := Check(sound()); len(got) != 0 {
		t.Errorf("got %v, want no violation", got)
	}
}

func TestCheckCatchesEachMutation(t *testing.T) {
	addRun := func(r *Records, run faketarget.Run) { r.Targets[0].Runs = append(r.Targets[0].Runs, run) }
	for _, test := range []struct {
		name   string
		mutate func(*Records)
		want   Invariant
	}{
		{"version goes back", func(r *Records) {
			r.Applied["d2"] = append(r.Applied["d2"], applier.Applied{Version: 1, Digest: r.Applied["d1"][0].Digest})
		}, VersionsOnlyRise},
		{"version differs from the accepted one", func(r *Records) { r.Applied["d1"][0].Digest = "a part" }, VersionsWhole},
		{"daemons differ on a version", func(r *Records) { r.Applied["d2"][1].Digest = "a part" }, VersionsWhole},
		{"route points at nothing", func(r *Records) {
			r.Documents[0].Entries[0].Route.Service = "absent"
			digest, _ := r.Documents[0].Digest()
			r.Applied["d1"][0].Digest, r.Accepted[1] = digest.String(), digest
		}, ReferencesClosed},
		{"posting runs twice", func(r *Records) { addRun(r, faketarget.Run{CallID: "answered"}) }, RunsAtMostOnce},
		{"key runs twice", func(r *Records) { addRun(r, faketarget.Run{CallID: "again", IdempotencyKey: "k1"}) }, RunsAtMostOnce},
		{"refused call ran", func(r *Records) { addRun(r, faketarget.Run{CallID: "refused"}) }, NotRunIsTrue},
		{"answer cut short", func(r *Records) { r.Told[0].Whole = false }, AnswersWhole},
		{"answer of another call", func(r *Records) { r.Told[0].Own = false }, AnswersOwn},
		{"answer without a run", func(r *Records) { r.Targets[0].Runs = nil }, AnswersOwn},
		{"work after the drain", func(r *Records) {
			r.Targets[0].Runs[0].Begun = start.Add(DrainBound + time.Millisecond)
		}, DrainedGetsNoWork},
		{"accepted change is not there", func(r *Records) { r.Makers[1] = "c4" }, ChangesToldTruly},
		{"refused change is there", func(r *Records) { r.Makers[2] = "c3" }, ChangesToldTruly},
		{"stop cuts a call", func(r *Records) { r.Told[1].Outcome = caller.Lost }, StopsCutNothing},
		{"stop leaves a call undecided", func(r *Records) { r.Told[1].Outcome = caller.Unknown }, StopsCutNothing},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := sound()
			test.mutate(r)
			for _, v := range Check(r) {
				if v.Invariant == test.want {
					return
				}
			}
			t.Errorf("got %v, want %s", Check(r), test.want)
		})
	}
}
