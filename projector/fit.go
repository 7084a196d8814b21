package projector

import (
	"encoding/json"
	"fmt"
	"math"
	"os"

	"github.com/joomcode/errorx"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the level of the prediction intervals that Line.At returns.
const confidence = 0.95

// Point is one measurement: the value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a quantity measured at several sizes.
type Series struct {
	// Name is unique within a file, in kebab case.
	Name string `json:"name"`
	// XUnit and YUnit are the units of the axes.
	XUnit string `json:"x-unit"`
	YUnit string `json:"y-unit"`
	// Command is the command that measured the points.
	Command string  `json:"command"`
	Points  []Point `json:"points"`
}

// TooFewPointsError reports a series with too few distinct sizes to fit a line.
type TooFewPointsError struct {
	Series string
	Points int
}

// Error implements error.
func (e *TooFewPointsError) Error() string {
	return fmt.Sprintf("series %s: %d points at different sizes, want at least 2", e.Series, e.Points)
}

// Line is the least-squares line through a series.
type Line struct {
	Intercept, Slope float64
	// ResidualDeviation is the standard deviation of the points around the line,
	// or 0 if the series has only two points.
	ResidualDeviation float64
	// Points is the number of points that the line was fitted to.
	Points int

	// sumSquaresX is the sum of the squared distances of the sizes from meanX.
	meanX, sumSquaresX float64
}

// Fit returns the least-squares line through the points. It fails with a
// *TooFewPointsError if the points have fewer than two different sizes.
func (s Series) Fit() (Line, error) {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	meanX := stat.Mean(xs, nil)
	sumSquares := 0.0
	for _, x := range xs {
		sumSquares += (x - meanX) * (x - meanX)
	}
	if len(xs) < 2 || sumSquares == 0 {
		return Line{}, &TooFewPointsError{Series: s.Name, Points: len(xs)}
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	line := Line{Intercept: intercept, Slope: slope, Points: len(xs), meanX: meanX, sumSquaresX: sumSquares}
	if len(xs) > 2 {
		line.ResidualDeviation = residualDeviation(xs, ys, line)
	}
	return line, nil
}

// residualDeviation returns the standard deviation of the points around the line,
// with two degrees of freedom taken by the fit.
func residualDeviation(xs, ys []float64, line Line) float64 {
	sum := 0.0
	for i, x := range xs {
		d := ys[i] - line.value(x)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(xs)-2))
}

func (l Line) value(x float64) float64 { return l.Intercept + l.Slope*x }

// Estimate is a value with the half width of its 95 % prediction interval.
// HalfWidth is NaN if there were too few points to compute the interval.
type Estimate struct {
	Value     float64
	HalfWidth float64
}

// At returns the line's value at x with the prediction interval of a measurement
// at x.
func (l Line) At(x float64) Estimate {
	e := Estimate{Value: l.value(x), HalfWidth: math.NaN()}
	if l.Points <= 2 {
		return e
	}
	n := float64(l.Points)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 2}.Quantile((1 + confidence) / 2)
	d := x - l.meanX
	e.HalfWidth = t * l.ResidualDeviation * math.Sqrt(1+1/n+d*d/l.sumSquaresX)
	return e
}

// ReadSeries reads a JSON file that holds a list of series.
func ReadSeries(path string) ([]Series, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errorx.Decorate(err, "reading series")
	}
	var series []Series
	if err := json.Unmarshal(b, &series); err != nil {
		return nil, errorx.Decorate(err, "decoding %s", path)
	}
	return series, nil
}
