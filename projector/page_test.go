package projector

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// TestCapacityPage holds the page's table against the series that it names.
func TestCapacityPage(t *testing.T) {
	series, err := ReadSeries("../docs/capacity-series.json")
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Project(DesignSize, DesignBudgets, series)
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	WriteMarkdown(&want, rows)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), want.String()) {
		t.Errorf("docs/CAPACITY.md lacks the projection of docs/capacity-series.json, want\n%s", want.String())
	}
}
