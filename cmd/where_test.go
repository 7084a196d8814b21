package cmd

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/forwarder"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/picker"
)

// TestWherePrintsAndExits guards against a refusal that scripts take for success, a message
// that does not say what was refused, and a key that is printed.
func TestWherePrintsAndExits(t *testing.T) {
	const key = "key-of-magnolia"
	t.Setenv(apiKeyVariable, key)
	target := picker.Candidate{
		TargetView: picker.TargetView{InstanceID: "t1", Service: "ledger-view", Domain: "mobile-bay", Use: "in-use"}, OddsPercent: 75, Reason: "local", ExpectedMS: 40,
	}
	ejected := picker.Candidate{TargetView: picker.TargetView{InstanceID: "t2", Use: "ejected", Cause: "calls to the target failed", OutForMS: 1500}}
	for _, tt := range []struct {
		path       string
		answer     forwarder.Explanation
		wantStatus int
		want       []string
	}{
		{
			"/shares/7", forwarder.Explanation{
				InstanceID: "d1", Version: 3, Route: "shares", Tenant: "clerks", RatePerS: 5,
				Parts: []forwarder.ExplainedPart{{Service: "ledger-view", SharePercent: 100, Targets: []picker.Candidate{target, ejected}}},
			},
			statusOK, []string{"shares", "clerks", "t1", "75", "ejected"},
		},
		{
			"/none", forwarder.Explanation{InstanceID: "d1", Refusal: &forwarder.ExpectedRefusal{Cause: "no-route", Status: 404}},
			statusRefused, []string{"d1 would refuse POST ledger.example/none with 404: no-route"},
		},
		{
			"/shares/7", forwarder.Explanation{InstanceID: "d1", Refusal: &forwarder.ExpectedRefusal{Cause: "unknown-api-key", Status: 401}},
			statusRefused, []string{"with 401: unknown-api-key"},
		},
	} {
		var asked forwarder.Query
		e := echo.New()
		(&operator.API{Explain: func(q forwarder.Query) *forwarder.Explanation { asked = q; return &tt.answer }}).Register(e)
		server := httptest.NewServer(e)
		for _, output := range []string{"table", "json"} {
			got, status := runCommand(t, new(whereCommand).command(), "ledger.example", tt.path, "--method", "POST", "--daemon", server.URL, "--output", output)
			if status != tt.wantStatus || strings.Contains(got, key) {
				t.Errorf("--output %s: got status %d and %q, want status %d and no key", output, status, got, tt.wantStatus)
			}
			for _, word := range tt.want {
				if !strings.Contains(got, word) {
					t.Errorf("--output %s: got %q, want it to contain %q", output, got, word)
				}
			}
			if want := (forwarder.Query{Host: "ledger.example", Method: "POST", Path: tt.path, APIKey: key}); asked != want {
				t.Errorf("asked: got %+v, want %+v", asked, want)
			}
		}
		server.Close()
	}
	got, status := runCommand(t, new(whereCommand).command(), "h", "/x", "--daemon", "http://"+launcher.NewAddress())
	if status != statusFailure || !strings.Contains(got, "refused") || strings.Contains(got, key) {
		t.Errorf("no daemon: got status %d and %q, want status %d and the cause", status, got, statusFailure)
	}
	if got, status := runCommand(t, new(whereCommand).command(), "h", "x"); status != statusBadInput {
		t.Errorf("path without a slash: got status %d and %q, want %d", status, got, statusBadInput)
	}
}

// TestWhereRepeatsNoMalformedQuery guards against a key that comes back in the error for a
// query that can't be decoded.
func TestWhereRepeatsNoMalformedQuery(t *testing.T) {
	e := echo.New()
	(&operator.API{Explain: func(forwarder.Query) *forwarder.Explanation { return new(forwarder.Explanation) }}).Register(e)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", operator.WherePath, strings.NewReader(`{"api-key": "secret", "bytes": "secret"}`)))
	if w.Code != 400 || strings.Contains(w.Body.String(), "secret") {
		t.Errorf("got %d %s, want 400 without a part of the query", w.Code, w.Body)
	}
}
