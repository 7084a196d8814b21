package measurer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestMeasureConvergenceOfEachMode(t *testing.T) {
	plan := ConvergencePlan{
		Modes: []string{"tree", "watch", "poll"}, Daemons: []int{4}, Domains: 4, Changes: 2,
		Coalesce: []time.Duration{10 * time.Millisecond}, Poll: 50 * time.Millisecond,
		Idle: 100 * time.Millisecond, Targets: 20, Services: 3, Seed: 1,
	}
	report, err := MeasureConvergence(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(report.Rows), 3; got != want {
		t.Fatalf("rows: got %d, want %d", got, want)
	}
	for _, row := range report.Rows {
		if row.MaxMS <= 0 || row.P99MS > row.MaxMS || row.StoreCallsPerChange+row.IdleStoreCalls <= 0 {
			t.Errorf("%s: got %+v, want max > 0, p99 <= max, and some store calls", row.Mode, row)
		}
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil || table.Len() == 0 {
		t.Errorf("table: got %d bytes and error %v, want some bytes and no error", table.Len(), err)
	}
	dir := t.TempDir()
	if err := report.WritePlots(dir); err != nil {
		t.Fatal(err)
	}
	for _, c := range curves {
		if _, err := os.Stat(filepath.Join(dir, c.file)); err != nil {
			t.Error(err)
		}
	}
}
