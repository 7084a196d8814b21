package cmd

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/tallier"
	"bambooweir.example/bambooweir/versioner"
)

// TestTenantsListsTheBusiest checks that the command shows the counts of tenants with their
// configuration, of a tenant that was removed, and of all others.
func TestTenantsListsTheBusiest(t *testing.T) {
	a := new(applier.Applier)
	doc := new(versioner.Document).With([]versioner.Entry{{
		Key:    versioner.Key{Kind: versioner.KindTenant, Name: "north"},
		Tenant: &versioner.Tenant{KeySHA256: []string{versioner.HashKey("k")}, Priority: new(int), RatePerS: 12.5, Burst: 40},
	}}, nil)
	if _, err := a.Offer(doc); err != nil {
		t.Fatal(err)
	}
	counts, unknownKeys := &tallier.Tallier{Max: 2}, new(expvar.Int)
	for _, tenant := range []string{"rare", "north", "north", "north", "removed", "removed"} {
		counts.Add(tenant, tallier.OverQuota)
	}
	unknownKeys.Add(7)
	e := echo.New()
	(&operator.API{Applier: a, Tenants: counts, UnknownKeys: unknownKeys}).Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	want := map[string][]string{
		"table": {"north 1 0 12.5/s+40 3 0 0 3 0", "removed removed - - 2 0 0 2 0", "(others) - - - 1 0 0 1 0", "7 requests without a known API key"},
		"json":  {`"tenant": "north", "asked": 3`, `"over-quota": 3`, `"rate-per-s": 12.5`, `"unknown-keys": 7`},
	}
	for output, words := range want {
		got, status := runCommand(t, new(tenantsCommand).command(), "--daemon", server.URL, "--output", output)
		got = strings.Join(strings.Fields(got), " ")
		for _, word := range words {
			if status != 0 || !strings.Contains(got, word) {
				t.Errorf("--output %s: got status %d and %q, want %q in it", output, status, got, word)
			}
		}
	}
}
