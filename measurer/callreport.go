package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as aligned text tables.
func (r *CallsReport) WriteTable(w io.Writer) error {
	m := r.Machine
	fmt.Fprintf(w, "seed %d; %d CPUs, GOMAXPROCS %d, %s, %s, load average %s\n", r.Seed, m.CPUs, m.GoMaxProcs, m.GoVersion, m.System, m.LoadAverage)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeLatency(tw)
	r.writeOverload(tw)
	r.writeSlowTarget(tw)
	return tw.Flush()
}

func (r *CallsReport) writeLatency(w io.Writer) {
	if len(r.Latency) == 0 {
		return
	}
	fmt.Fprint(w, "\nlatency in µs, open loop, direct calls and calls through the path side by side\n")
	fmt.Fprint(w, "rate\tclass\tpath\tdirect p50\tp99\tp99.9\tthrough p50\tp99\tp99.9\tadded p50\tp99\tp99.9\tanswered\tnot\tchanges\tscans\tlost\t\n")
	for _, x := range r.Latency {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s%s%s%d\t%d\t%d\t%d\t%d\t\n", x.Rate, x.Class, x.Path,
			x.Direct.tableCells(), x.Through.tableCells(), x.Added.tableCells(), x.Answered, x.NotAnswered, x.Changes, x.Scans, x.ScansNotAnswered)
	}
}

func (r *CallsReport) writeOverload(w io.Writer) {
	if len(r.Overload) == 0 {
		return
	}
	fmt.Fprintf(w, "\noverload: %d targets, %d slots, %v a call; offered, answered and refused in %% of capacity, latency in µs\n", overloadTargets, overloadSlots, overloadServiceTime)
	fmt.Fprint(w, "variant\tstream\toffered\tanswered\trefused\tfailed\tp50\tp99\tp99.9\t\n")
	for _, x := range r.Overload {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%s\n", x.Variant, x.Stream, x.Offered, x.Answered, x.Refused, x.Failed, x.Latency.tableCells())
	}
}

func (r *CallsReport) writeSlowTarget(w io.Writer) {
	if len(r.SlowTarget) == 0 {
		return
	}
	fmt.Fprintf(w, "\nslow target: one of %d takes %v in place of %v, %d lookups/s; latency in µs\n", slowTargets, slowServiceTime, fastServiceTime, slowRate)
	fmt.Fprint(w, "variant\tp50\tp99\tp99.9\tslow share %\truns %\tnot answered\t\n")
	for _, x := range r.SlowTarget {
		fmt.Fprintf(w, "%s\t%s%.1f\t%.1f\t%d\t\n", x.Variant, x.Latency.tableCells(), x.SlowShare, x.Runs, x.NotAnswered)
	}
}

// tableCells returns the quantiles as table cells, each ended by a tab.
func (q Quantiles) tableCells() string { return fmt.Sprintf("%d\t%d\t%d\t", q.P50, q.P99, q.P999) }
