package cmd

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/quarantiner"
)

func TestQuarantineListsRequestsThatAreNotRun(t *testing.T) {
	table := new(quarantiner.Table)
	quarantined, suspected := quarantiner.Digest{1}, quarantiner.Digest{2}
	for run := range uint64(3) {
		table.ReportCrash(quarantined, "ledger-view", "magnolia", quarantiner.Crash{Run: run, IsTrial: true})
	}
	table.ReportCrash(suspected, "ledger-view", "magnolia", quarantiner.Crash{Run: 1})
	e := echo.New()
	(&operator.API{Quarantine: table}).Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	for _, output := range []string{"table", "json"} {
		got, status := runCommand(t, new(quarantineCommand).command(), "--daemon", server.URL, "--output", output)
		if status != 0 || !strings.Contains(got, quarantined.String()) || !strings.Contains(got, "ledger-view") {
			t.Errorf("--output %s: got status %d and %q, want the quarantined request", output, status, got)
		}
		if strings.Contains(got, suspected.String()) {
			t.Errorf("--output %s: got %q, want no suspect", output, got)
		}
	}
}
