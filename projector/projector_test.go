package projector

import (
	"errors"
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	s := Series{Name: "bytes", Points: []Point{{32, 96}, {64, 160}, {128, 288}}}
	line, err := s.Fit()
	if err != nil {
		t.Fatalf("Fit: %v", err)
	}
	got := line.At(4900)
	want := 32 + 2*4900.0
	if math.Abs(got.Value-want) > 1e-6 {
		t.Errorf("At(4900).Value: got %v, want %v", got.Value, want)
	}
	if got.HalfWidth > 1e-6 {
		t.Errorf("At(4900).HalfWidth of exact points: got %v, want 0", got.HalfWidth)
	}
}

func TestFitWidensWithDistance(t *testing.T) {
	s := Series{Name: "bytes", Points: []Point{{32, 100}, {64, 150}, {128, 300}, {256, 540}}}
	line, err := s.Fit()
	if err != nil {
		t.Fatalf("Fit: %v", err)
	}
	near, far := line.At(128).HalfWidth, line.At(4900).HalfWidth
	if near >= far {
		t.Errorf("half width: got %v at 128 and %v at 4900, want it to grow", near, far)
	}
}

func TestFitNeedsTwoSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{32, 1}}, {{32, 1}, {32, 2}}} {
		_, err := Series{Name: "bytes", Points: points}.Fit()
		var few *TooFewPointsError
		if !errors.As(err, &few) {
			t.Errorf("Fit(%v): got %v, want a *TooFewPointsError", points, err)
		}
	}
}

func TestTwoYearsShape(t *testing.T) {
	if got, want := DesignSize.DomainSize(), 273; got != want {
		t.Errorf("DomainSize: got %d, want %d", got, want)
	}
	if got, want := DesignSize.Depth(), 2; got != want {
		t.Errorf("Depth: got %d, want %d", got, want)
	}
}

func flat(name string, y float64) Series {
	return Series{Name: name, Points: []Point{{1, y}, {2, y}, {3, y}}}
}

func TestProjectNamesWhatIsMissing(t *testing.T) {
	_, err := Project(DesignSize, DesignBudgets, []Series{flat(SeriesMemory, 20)})
	var missing *MissingSeriesError
	if !errors.As(err, &missing) {
		t.Fatalf("Project: got %v, want a *MissingSeriesError", err)
	}
}

func TestProjectHoldsRowsAgainstBudgets(t *testing.T) {
	var series []Series
	for _, name := range SeriesNames() {
		series = append(series, flat(name, 0.1))
	}
	series = append(series, flat(SeriesMemory, 300))
	rows, err := Project(DesignSize, DesignBudgets, series)
	if err != nil {
		t.Fatalf("Project: %v", err)
	}
	for _, r := range rows {
		want := r.Quantity != "memory"
		if got := r.Fits(); got != want {
			t.Errorf("%s, %s: Fits: got %v, want %v", r.Role, r.Quantity, got, want)
		}
	}
}
