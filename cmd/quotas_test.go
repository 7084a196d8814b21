package cmd

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/quoter"
)

func TestQuotasListsTenantsWithTheirHomes(t *testing.T) {
	e := echo.New()
	views := []quoter.View{{Tenant: "vestergaard", OverLimit: 7, Home: "d3", HomeState: &quoter.HomeState{Left: 4.5, Share: 1}}}
	(&operator.API{Quotas: func() []quoter.View { return views }}).Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	for _, output := range []string{"table", "json"} {
		got, status := runCommand(t, new(quotasCommand).command(), "--daemon", server.URL, "--output", output)
		for _, want := range []string{"vestergaard", "7", "d3", "4.5"} {
			if status != 0 || !strings.Contains(got, want) {
				t.Errorf("--output %s: got status %d and %q, want %q in it", output, status, got, want)
			}
		}
	}
}
