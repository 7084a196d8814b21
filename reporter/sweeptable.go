package reporter

import (
	"fmt"
	"strings"
)

// SweepTables returns a table in Markdown for the newest sweep of each site: the middle and the
// busiest value of each quantity at each size, the power by which the busiest grows, and where
// that leads at a number of machines that was not played. A quantity that does not grow stays
// as it was at the largest size.
func (j *Journal) SweepTables(machines float64) string {
	var b strings.Builder
	for _, sweep := range j.newestSweeps() {
		sizes := sweep.Growth[0].Machines
		fmt.Fprintf(&b, "Sweep %s of %s:\n\n| |", sweep.ID, sweep.Site)
		for _, size := range sizes {
			fmt.Fprintf(&b, " %g |", size)
		}
		fmt.Fprintf(&b, " power | at %g |\n|---%s|---|---|\n", machines, strings.Repeat("|---", len(sizes)))
		if len(sweep.Days) > 0 {
			fmt.Fprintf(&b, "| served |")
			for _, size := range sizes {
				fmt.Fprintf(&b, " %s |", sweep.servedAt(size))
			}
			fmt.Fprint(&b, " - | - |\n")
		}
		for _, q := range sweep.Growth {
			fmt.Fprintf(&b, "| %s |", q.Name)
			for i := range sizes {
				fmt.Fprintf(&b, " %g / %g |", q.Middle[i], q.Busiest[i])
			}
			last := q.Busiest[len(q.Busiest)-1]
			fmt.Fprintf(&b, " %.2f | %.4g |\n", q.Power(), max(last, q.At(machines)))
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// servedAt returns the share that was served on the day of a sweep with a number of machines,
// or "-" if there is none.
func (p *Play) servedAt(machines float64) string {
	name := fmt.Sprintf("sweep-%g", machines)
	for _, d := range p.Days {
		if d.Name == name {
			return fmt.Sprintf("%.3f", d.Served)
		}
	}
	return "-"
}
