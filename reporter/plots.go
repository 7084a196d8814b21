package reporter

import (
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth         = 18 * vg.Centimeter
	plotHeight        = 11 * vg.Centimeter
	plotDirectoryMode = 0o755
	// legendRoom is the factor by which the axis of the worth is longer than the data, so
	// that the legend fits above them.
	legendRoom = 1.4
	barWidth   = 5 * vg.Millimeter
	// shownPrices is the number of prices that are drawn one by one. The others are
	// drawn together.
	shownPrices = 5
	// otherPrices is the name of those.
	otherPrices = "all others"
)

// Limits holds the limits on the busiest daemon by the name of the quantity, which are drawn
// in the plots of sweeps.
type Limits map[string]float64

// WritePlots draws the journal as SVG files into a folder: for each site the worth of its
// days by round and the prices in the newest round, and for each swept site the growth of
// each quantity that has a limit. It returns the paths.
func (j *Journal) WritePlots(dir string, limits Limits) ([]string, error) {
	if err := os.MkdirAll(dir, plotDirectoryMode); err != nil {
		return nil, errorx.Decorate(err, "making the folder of plots")
	}
	var paths []string
	save := func(name string, p *plot.Plot, err error) error {
		path := filepath.Join(dir, name+".svg")
		if err == nil {
			err = p.Save(plotWidth, plotHeight, path)
		}
		if err != nil {
			return errorx.Decorate(err, "drawing %s", path)
		}
		paths = append(paths, path)
		return nil
	}
	series := j.Series()
	for len(series) > 0 {
		n := 1
		for n < len(series) && series[n].Site == series[0].Site {
			n++
		}
		site := series[:n]
		p, err := drawWorth(site)
		if err := save("worth-"+site[0].Site, p, err); err != nil {
			return nil, err
		}
		p, err = drawPrices(site)
		if err := save("prices-"+site[0].Site, p, err); err != nil {
			return nil, err
		}
		series = series[n:]
	}
	for _, sweep := range j.newestSweeps() {
		for _, q := range sweep.Growth {
			limit, ok := limits[q.Name]
			if !ok {
				continue
			}
			p, err := drawGrowth(sweep.Site, q, limit)
			if err := save("growth-"+sweep.Site+"-"+fileName(q.Name), p, err); err != nil {
				return nil, err
			}
		}
	}
	return paths, nil
}

// fileName returns a name with letters and digits only, in kebab case.
func fileName(name string) string {
	return strings.Join(strings.FieldsFunc(strings.ToLower(name), func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9')
	}), "-")
}

// newestSweeps returns the newest sweep of each site that has a table.
func (j *Journal) newestSweeps() []*Play {
	var sweeps []*Play
	seen := make(map[string]bool)
	for i := len(j.Plays) - 1; i >= 0; i-- {
		if p := &j.Plays[i]; len(p.Growth) > 0 && !seen[p.Site] {
			seen[p.Site] = true
			sweeps = append(sweeps, p)
		}
	}
	return sweeps
}

// drawWorth draws the worth of a site's days by round.
func drawWorth(site []Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Worth of the days of " + site[0].Site
	p.X.Label.Text = "round"
	p.Y.Label.Text = "worth"
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, s := range site {
		var points plotter.XYs
		for i, r := range s.Rounds {
			points = append(points, plotter.XY{X: float64(i + 1), Y: r.Day.Worth})
		}
		lines = append(lines, s.Name, points)
	}
	err := plotutil.AddLinePoints(p, lines...)
	p.Y.Max *= legendRoom
	return p, err
}

// drawPrices draws the prices of a site's days in their newest rounds, as stacked bars.
func drawPrices(site []Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Prices of the days of " + site[0].Site + ", newest round"
	p.Y.Label.Text = "worth"
	p.Legend.Top = true
	var names []string
	totals := make(map[string]float64)
	var days []string
	for _, s := range site {
		days = append(days, s.Name)
		for _, price := range s.newest().Prices {
			if totals[price.Name] == 0 {
				names = append(names, price.Name)
			}
			totals[price.Name] += price.Worth
		}
	}
	names = largest(names, totals, shownPrices)
	var below *plotter.BarChart
	for i, name := range append(names, otherPrices) {
		values := make(plotter.Values, len(site))
		for k, s := range site {
			values[k] = s.newest().price(name, names)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		p.Add(bars)
		p.Legend.Add(name, bars)
		below = bars
	}
	p.NominalX(days...)
	p.Y.Max *= legendRoom
	return p, nil
}

// newest returns the day of the newest round.
func (s Series) newest() *Day { return s.Rounds[len(s.Rounds)-1].Day }

// price returns the price with a name, or for otherPrices the sum of those that are not among
// shown.
func (d *Day) price(name string, shown []string) (sum float64) {
	for _, price := range d.Prices {
		if price.Name == name || name == otherPrices && !slices.Contains(shown, price.Name) {
			sum += price.Worth
		}
	}
	return sum
}

// largest returns the n names with the largest totals, largest first.
func largest(names []string, totals map[string]float64, n int) []string {
	var top []string
	for len(top) < n && len(names) > 0 {
		best := 0
		for i, name := range names {
			if totals[name] > totals[names[best]] {
				best = i
			}
		}
		top = append(top, names[best])
		names = append(names[:best:best], names[best+1:]...)
	}
	return top
}

// drawGrowth draws how a quantity grows with the number of machines, with its limit.
func drawGrowth(site string, q Quantity, limit float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = q.Name + ", sweep of " + site
	p.X.Label.Text = "machines"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	middle, busiest := make(plotter.XYs, len(q.Machines)), make(plotter.XYs, len(q.Machines))
	for i, machines := range q.Machines {
		middle[i], busiest[i] = plotter.XY{X: machines, Y: q.Middle[i]}, plotter.XY{X: machines, Y: q.Busiest[i]}
	}
	if err := plotutil.AddLinePoints(p, "middle", middle, "busiest", busiest); err != nil {
		return nil, err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: q.Machines[0], Y: limit}, {X: q.Machines[len(q.Machines)-1], Y: limit}})
	if err != nil {
		return nil, err
	}
	line.Color = color.RGBA{R: 0xc0, A: 0xff}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add("limit "+strconv.FormatFloat(limit, 'g', -1, 64), line)
	p.Legend.Top = true
	p.Legend.Left = true
	return p, nil
}
