package projector

import (
	"fmt"
	"io"
	"math"
)

// WriteMarkdown writes the rows as a table, those that do not fit first.
func WriteMarkdown(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| Role | Quantity | Value | ± | Unit | Budget | Fits | Formula | Carried by |")
	fmt.Fprintln(w, "| --- | --- | ---: | ---: | --- | ---: | --- | --- | --- |")
	for _, fits := range []bool{false, true} {
		for _, r := range rows {
			if r.Fits() == fits {
				writeRow(w, r)
			}
		}
	}
}

func writeRow(w io.Writer, r Row) {
	fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
		r.Role, r.Quantity, short(r.Estimate.Value), halfWidth(r.Estimate), r.Unit,
		budget(r), verdict(r), r.Formula, r.Mechanism)
}

// short formats a value with three significant digits.
func short(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func halfWidth(e Estimate) string {
	if math.IsNaN(e.HalfWidth) {
		return "not known"
	}
	return short(e.HalfWidth)
}

func budget(r Row) string {
	if r.Budget == 0 {
		return "-"
	}
	return short(r.Budget)
}

// verdict says whether the value fits, and whether its interval does.
func verdict(r Row) string {
	switch {
	case r.Budget == 0:
		return "-"
	case !r.Fits():
		return "no"
	case math.IsNaN(r.Estimate.HalfWidth), r.Estimate.Value+r.Estimate.HalfWidth > r.Budget:
		return "yes, not surely"
	default:
		return "yes"
	}
}
