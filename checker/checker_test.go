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

// validRecords returns records in which every invariant holds.
func validRecords() *Records {
	service := versioner.Entry{Key: versioner.Key{Kind: versioner.KindService, Name: "payout-desk"}, Service: new(versioner.Service)}
	route := versioner.Entry{Key: versioner.Key{Kind: versioner.KindRoute, Name: "payouts"}, Route: &versioner.Route{Service: "payout-desk"}}
	doc := new(versioner.Document).With([]versioner.Entry{service, route}, nil)
	digest, _ := doc.Digest()
	newPosting := func(id string, outcome caller.Outcome) caller.Result {
		return caller.Result{Call: caller.Call{ID: id, Method: http.MethodPost, APIKey: "secret", Tenant: "north"}, Outcome: outcome, IDMatches: true, BodyComplete: true}
	}
	return &Records{
		Applied: map[string][]applier.Applied{
			"d1": {{Version: 1, Digest: digest.String()}, {Version: 2, Digest: "b"}},
			"d2": {{Version: 2, Digest: "b"}, {Version: 2, Digest: "b"}},
		},
		Accepted:  map[versioner.Version]versioner.Digest{1: digest},
		Documents: []*versioner.Document{doc},
		Targets: []Target{{Name: "t1", Drained: start, Runs: []faketarget.Run{
			{CallID: "answered", IdempotencyKey: "k1", Tenant: "north", Begun: start.Add(DrainGracePeriod)},
		}}},
		Results: []caller.Result{newPosting("answered", caller.Answered), newPosting("refused", caller.NotRun)},
		Stops:   []Stop{{Daemon: "d1", At: start}},
		Changes: []caller.ChangeResult{
			{Change: caller.Change{ID: "c1"}, Outcome: caller.Accepted, Version: 1},
			{Change: caller.Change{ID: "c3"}, Outcome: caller.NotAccepted},
		},
		ChangeIDs: map[versioner.Version]string{1: "c1", 2: "c2"},
	}
}

func TestCheckAcceptsValidRecords(t *testing.T) {
	if got := Check(validRecords()); len(got) != 0 {
		t.Errorf("got %v, want no violation", got)
	}
}

// TestCheckDetectsEachViolation guards against a checker that reports nothing: each
// case breaks one invariant in otherwise valid records.
func TestCheckDetectsEachViolation(t *testing.T) {
	addRun := func(r *Records, run faketarget.Run) { r.Targets[0].Runs = append(r.Targets[0].Runs, run) }
	for _, test := range []struct {
		name   string
		mutate func(*Records)
		want   Invariant
	}{
		{"daemon goes back to an older version", func(r *Records) {
			r.Applied["d2"] = append(r.Applied["d2"], applier.Applied{Version: 1, Digest: r.Applied["d1"][0].Digest})
		}, VersionsOnlyRise},
		{"digest differs from the accepted one", func(r *Records) { r.Applied["d1"][0].Digest = "a part" }, VersionsWhole},
		{"daemons have different digests of a version", func(r *Records) { r.Applied["d2"][1].Digest = "a part" }, VersionsWhole},
		{"route names an absent service", func(r *Records) {
			r.Documents[0].Entries[0].Route.Service = "absent"
			digest, _ := r.Documents[0].Digest()
			r.Applied["d1"][0].Digest, r.Accepted[1] = digest.String(), digest
		}, ReferencesClosed},
		{"a part of a route's split names an absent service", func(r *Records) {
			route := r.Documents[0].Entries[0].Route
			route.Split, route.Service = []versioner.Part{{Service: route.Service, Weight: 1}, {Service: "absent", Weight: 1}}, ""
			digest, _ := r.Documents[0].Digest()
			r.Applied["d1"][0].Digest, r.Accepted[1] = digest.String(), digest
		}, ReferencesClosed},
		{"posting runs twice", func(r *Records) { addRun(r, faketarget.Run{CallID: "answered"}) }, RunsAtMostOnce},
		{"two calls with one key run", func(r *Records) { addRun(r, faketarget.Run{CallID: "again", IdempotencyKey: "k1"}) }, RunsAtMostOnce},
		{"refused call runs", func(r *Records) { addRun(r, faketarget.Run{CallID: "refused"}) }, NotRunIsTrue},
		{"target is told the key", func(r *Records) { r.Targets[0].Runs[0].APIKey = "secret" }, TenantsToldTruly},
		{"target is told another tenant", func(r *Records) { r.Targets[0].Runs[0].Tenant = "north,south" }, TenantsToldTruly},
		{"target is told no tenant", func(r *Records) { r.Targets[0].Runs[0].Tenant = "" }, TenantsToldTruly},
		{"call with an unknown key runs", func(r *Records) { r.Results[0].Call.Tenant = "" }, TenantsToldTruly},
		{"answer is incomplete", func(r *Records) { r.Results[0].BodyComplete = false }, AnswersWhole},
		{"answer belongs to another call", func(r *Records) { r.Results[0].IDMatches = false }, AnswersOwn},
		{"answer without a run", func(r *Records) { r.Targets[0].Runs = nil }, AnswersOwn},
		{"call begins after the drain", func(r *Records) {
			r.Targets[0].Runs[0].Begun = start.Add(DrainGracePeriod + time.Millisecond)
		}, DrainedGetsNoWork},
		{"accepted change did not create its version", func(r *Records) { r.ChangeIDs[1] = "c4" }, ChangesToldTruly},
		{"refused change created a version", func(r *Records) { r.ChangeIDs[2] = "c3" }, ChangesToldTruly},
		{"call is lost in a planned stop", func(r *Records) { r.Results[1].Outcome = caller.Lost }, StopsCutNothing},
		{"outcome is unknown after a planned stop", func(r *Records) { r.Results[1].Outcome = caller.Unknown }, StopsCutNothing},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := validRecords()
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
