package measurer

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"bambooweir.example/bambooweir/versioner"
)

func TestMeasureCallsReportsLatency(t *testing.T) {
	plan := CallsPlan{
		Rates: []int{50}, Duration: 300 * time.Millisecond, Classes: []string{versioner.ClassLookup, versioner.ClassPosting},
		Size: 512, ChangesPerSecond: 10, Scans: true, Seed: 1, Runs: []string{RunLatency},
	}
	report, err := MeasureCalls(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(report.Latency); got != 3 {
		t.Fatalf("latency rows: got %d, want 3: two classes over links and one local", got)
	}
	for _, row := range report.Latency {
		if row.Answered != 15 || row.NotAnswered != 0 || row.Scans == 0 || row.ScansNotAnswered != 0 || row.Changes == 0 {
			t.Errorf("row: got %+v, want 15 answered, some scans and changes, and none unanswered", row)
		}
		if row.Direct.P50 <= 0 || row.Added != row.Through.minus(row.Direct) {
			t.Errorf("row: got %+v, want positive latencies, and Added the difference of Through and Direct", row)
		}
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "seed 1;") {
		t.Errorf("table: got %q, %v, want the seed", table.String(), err)
	}
}

func TestMeasureCallsRejectsInvalidPlans(t *testing.T) {
	valid := CallsPlan{Duration: time.Second}
	for _, tt := range []struct {
		name string
		edit func(*CallsPlan)
		want string
	}{
		{"run", func(p *CallsPlan) { p.Runs = []string{RunLatency, "other"} }, "runs:"},
		{"class", func(p *CallsPlan) { p.Classes = []string{"other"} }, "class:"},
		{"rate", func(p *CallsPlan) { p.Rates = []int{0} }, "rate:"},
		{"duration", func(p *CallsPlan) { p.Duration = 0 }, "duration"},
	} {
		p := valid
		tt.edit(&p)
		if _, err := MeasureCalls(t.Context(), p); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got error %v, want one that contains %q", tt.name, err, tt.want)
		}
	}
}
