package reporter

import (
	"flag"
	"os"
	"strings"
	"testing"
)

const (
	capacityPage = "../docs/CAPACITY.md"
	tablesBegin  = "<!-- sweeps: begin -->\n"
	tablesEnd    = "<!-- sweeps: end -->\n"
	// targetMachines is the size that the site files name as the target.
	targetMachines = 4883
)

var update = flag.Bool("update", false, "write the tables of the capacity page anew")

// TestCapacityPageHoldsTheSweeps fails if the tables of docs/CAPACITY.md are not those of the
// newest sweeps in the journal.
func TestCapacityPageHoldsTheSweeps(t *testing.T) {
	j, err := Read("../journal")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(page), tablesBegin)
	got, after, ok2 := strings.Cut(rest, tablesEnd)
	if !ok || !ok2 {
		t.Fatalf("%s: got no marks around the tables, want %s and %s", capacityPage, tablesBegin, tablesEnd)
	}
	want := j.SweepTables(targetMachines)
	if *update {
		if err := os.WriteFile(capacityPage, []byte(before+tablesBegin+want+tablesEnd+after), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got != want {
		t.Errorf("%s: got tables\n%s\nwant\n%s\ngo test ./reporter -run CapacityPage -update writes them", capacityPage, got, want)
	}
}
