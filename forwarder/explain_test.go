package forwarder

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// TestExplainAgreesWithServeHTTP guards against an explanation that says another cause, status,
// tenant or target than callers get.
func TestExplainAgreesWithServeHTTP(t *testing.T) {
	const key = "key-of-magnolia"
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		priority := 1
		public := versioner.Entry{
			Key:   versioner.Key{Kind: versioner.KindRoute, Name: "hours"},
			Route: &versioner.Route{Partner: "magnolia", PathPrefix: "/hours", Service: "payout-desk", Class: versioner.ClassLookup, Public: true},
		}
		tenant := versioner.Entry{
			Key:    versioner.Key{Kind: versioner.KindTenant, Name: "clerks"},
			Tenant: &versioner.Tenant{KeySHA256: []string{versioner.HashKey(key)}, Priority: &priority, RatePerS: 5, Burst: 2},
		}
		if _, err := m.forwarder.Applier.Offer(m.forwarder.Applier.Current().Document.With([]versioner.Entry{public, tenant}, nil)); err != nil {
			t.Fatal(err)
		}
		queries := []Query{
			{Path: "/lookups/1", APIKey: key}, {Path: "/lookups/1", APIKey: "other"}, {Path: "/lookups/1"},
			{Path: "/hours"}, {Path: "/hours?x=1", APIKey: key}, {Path: "/none", APIKey: key}, {Method: http.MethodPost, Path: "/postings", APIKey: key},
		}
		compare := func() {
			for _, q := range queries {
				if q.Method == "" {
					q.Method = http.MethodGet
				}
				q.Host = "desk.example"
				wantSameOutcome(t, m.forwarder, q)
			}
		}
		compare()
		x := m.forwarder.Explain(Query{Host: "desk.example", Method: http.MethodGet, Path: "/lookups/1", APIKey: key})
		if x.Tenant != "clerks" || x.Priority != priority || x.RatePerS != 5 || x.Burst != 2 || x.Route != "lookups" || x.TimeoutMS != testTimeoutMS {
			t.Errorf("got %+v, want the route lookups with its time limit and the tenant clerks with its priority and quota", x)
		}
		if b, err := json.Marshal(x); err != nil || strings.Contains(string(b), key) || strings.Contains(string(b), versioner.HashKey(key)) {
			t.Errorf("got %s, error %v, want no key", b, err)
		}
		m.targets["a"].announce(tracker.StateGone, true)
		compare()
		m.forwarder.Applier = new(applier.Applier)
		m.forwarder.Drain()
		compare()
	})
}

// wantSameOutcome sends the request and compares its outcome with the explanation.
func wantSameOutcome(t *testing.T, f *Forwarder, q Query) {
	t.Helper()
	x := f.Explain(q)
	r := httptest.NewRequestWithContext(t.Context(), q.Method, q.Path, nil)
	r.Host = q.Host
	r.Header.Set(f.Headers.WithDefaults().APIKey, q.APIKey)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	var p Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	status, cause := http.StatusOK, ""
	if x.Refusal != nil {
		status, cause = x.Refusal.Status, x.Refusal.Cause
	}
	if w.Code != status || p.Cause != cause {
		t.Errorf("%s %s: explained status %d, cause %q, but the caller got %d %s", q.Method, q.Path, status, cause, w.Code, w.Body)
	}
}

// TestExplainListsTheSplit guards against an explanation of one service of several, and against
// one that takes a turn of the split.
func TestExplainListsTheSplit(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		other := versioner.Entry{Key: versioner.Key{Kind: versioner.KindService, Name: "ledger-view"}, Service: &versioner.Service{Partner: "magnolia"}}
		split := versioner.Entry{
			Key: versioner.Key{Kind: versioner.KindRoute, Name: "split"},
			Route: &versioner.Route{
				Partner: "magnolia", PathPrefix: "/split", Class: versioner.ClassLookup,
				Split: []versioner.Part{{Service: "payout-desk", Weight: 3}, {Service: "ledger-view", Weight: 1}},
			},
		}
		if _, err := m.forwarder.Applier.Offer(m.forwarder.Applier.Current().Document.With([]versioner.Entry{other, split}, nil)); err != nil {
			t.Fatal(err)
		}
		route := m.forwarder.Applier.Current().Route("h", "/split", http.MethodGet)
		counts := make(map[string]int)
		for range 8 {
			counts[route.NextPolicy().Service]++
			x := m.forwarder.Explain(Query{Host: "h", Method: http.MethodGet, Path: "/split"})
			if len(x.Parts) != 2 || x.Parts[0].SharePercent != 75 || x.Parts[1].SharePercent != 25 || x.Refusal != nil {
				t.Fatalf("got %+v, want two services with 75%% and 25%%", x)
			}
		}
		if counts["payout-desk"] != 6 || counts["ledger-view"] != 2 {
			t.Errorf("turns: got %v, want 6 and 2 of 8", counts)
		}
	})
}
