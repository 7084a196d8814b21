package measurer

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth         = 16 * vg.Centimeter
	plotHeight        = 10 * vg.Centimeter
	plotDirectoryMode = 0o755
)

// WriteTable writes the report as an aligned text table.
func (r *ConvergenceReport) WriteTable(w io.Writer) error {
	m := r.Machine
	fmt.Fprintf(w, "seed %d; %d CPUs, GOMAXPROCS %d, %s, %s, load average %s\n", r.Seed, m.CPUs, m.GoMaxProcs, m.GoVersion, m.System, m.LoadAverage)
	fmt.Fprint(w, "bytes at the socket, sent and received; TCP/IP adds about 52 bytes a segment\n\n")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "mode\tdaemons\ttargets\twindow ms\tp50 ms\tp99\tmax\tB/change mean\tbusiest\tidle B/s mean\tbusiest\tstore/change\tidle store/s\tidle CPU %\tCPU %\tMB\t\n")
	for _, x := range r.Rows {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t\n",
			x.Mode, x.Daemons, x.Targets, x.CoalesceMS, x.P50MS, x.P99MS, x.MaxMS, x.BytesPerChange, x.BytesPerChangeBusiest,
			x.IdleBytes, x.IdleBytesBusiest, x.StoreCallsPerChange, x.IdleStoreCalls, x.IdleCPUPercent, x.CPUPercent, x.MemoryMB)
	}
	return tw.Flush()
}

// curve describes a plot of one quantity of the rows against another.
type curve struct {
	file, title, x, y string
	xOf, yOf          func(ConvergenceRow) float64
	// isSweep reports whether each line joins the rows of one fleet size with
	// different windows; otherwise it joins the rows of one window with different
	// fleet sizes.
	isSweep bool
}

var curves = []curve{
	{file: "convergence.svg", title: "Convergence, p99", x: "daemons", y: "ms",
		xOf: func(r ConvergenceRow) float64 { return float64(r.Daemons) }, yOf: func(r ConvergenceRow) float64 { return r.P99MS }},
	{file: "bytes.svg", title: "Idle bytes of the busiest daemon", x: "daemons", y: "bytes a second",
		xOf: func(r ConvergenceRow) float64 { return float64(r.Daemons) }, yOf: func(r ConvergenceRow) float64 { return r.IdleBytesBusiest }},
	{file: "store.svg", title: "Idle store calls", x: "daemons", y: "calls a second",
		xOf: func(r ConvergenceRow) float64 { return float64(r.Daemons) }, yOf: func(r ConvergenceRow) float64 { return r.IdleStoreCalls }},
	{file: "coalescing.svg", title: "Coalescing: convergence against bytes", x: "bytes a change, mean", y: "p99, ms", isSweep: true,
		xOf: func(r ConvergenceRow) float64 { return r.BytesPerChange }, yOf: func(r ConvergenceRow) float64 { return r.P99MS }},
}

// WritePlots draws the report's curves as SVG files into the directory.
func (r *ConvergenceReport) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, plotDirectoryMode); err != nil {
		return errorx.Decorate(err, "making the directory of plots")
	}
	for _, c := range curves {
		if err := r.draw(c, filepath.Join(dir, c.file)); err != nil {
			return errorx.Decorate(err, "drawing %s", c.file)
		}
	}
	return nil
}

// draw draws one curve, with a line for each mode and window or fleet size.
func (r *ConvergenceReport) draw(c curve, path string) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = c.x
	p.Y.Label.Text = c.y
	var names []string
	lines := make(map[string]plotter.XYs)
	for _, row := range r.Rows {
		name := fmt.Sprintf("%s, window %d ms", row.Mode, row.CoalesceMS)
		if c.isSweep {
			name = fmt.Sprintf("%s, %d daemons", row.Mode, row.Daemons)
		}
		if _, ok := lines[name]; !ok {
			names = append(names, name)
		}
		lines[name] = append(lines[name], plotter.XY{X: c.xOf(row), Y: c.yOf(row)})
	}
	var series []any
	for _, name := range names {
		series = append(series, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
