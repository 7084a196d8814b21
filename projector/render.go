package projector

import (
	"fmt"
	"io"
	"math"
)

// WriteMarkdown writes the rows as a Markdown table, those over their budget
// first.
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
		r.Role, r.Quantity, formatValue(r.Estimate.Value), formatHalfWidth(r.Estimate), r.Unit,
		formatBudget(r), formatFit(r), r.Formula, r.Mechanism)
}

// formatValue formats a value with three significant digits.
func formatValue(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func formatHalfWidth(e Estimate) string {
	if math.IsNaN(e.HalfWidth) {
		return "not known"
	}
	return formatValue(e.HalfWidth)
}

func formatBudget(r Row) string {
	if r.Budget == 0 {
		return "-"
	}
	return formatValue(r.Budget)
}

// formatFit returns whether the value is within its budget, with a note if the
// upper end of its interval is not, or is not known.
func formatFit(r Row) string {
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
