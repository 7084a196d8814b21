package cmd

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/measurer"
	"bambooweir.example/bambooweir/projector"
)

const seriesFileMode = 0o644

// measureCapacityCommand measures the cost of each role at small fleet sizes, or
// reads saved measurements, and projects it to the planned fleet size.
type measureCapacityCommand struct {
	plan       measurer.CapacityPlan
	from, save string
}

func (m *measureCapacityCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use: "capacity", Short: "Measure what each role costs and project it to 4,900 daemons",
		Args: cobra.NoArgs, RunE: m.run,
		Example: "  bambooweir measure capacity --save docs/capacity-series.json\n" +
			"  bambooweir measure capacity --from docs/capacity-series.json",
	}
	f := c.Flags()
	f.StringVar(&m.from, "from", "", "file of saved series to project instead of measuring")
	f.StringVar(&m.save, "save", "", "file to write the measured series to")
	f.IntSliceVar(&m.plan.Daemons, "daemons", []int{32, 64, 128}, "fleet sizes, a list")
	f.IntSliceVar(&m.plan.Targets, "targets", []int{500, 2000, 4900}, "targets in the table, a list")
	f.IntSliceVar(&m.plan.Domains, "domains", []int{1, 2, 4, 6}, "failure domains, a list")
	f.IntSliceVar(&m.plan.Fanouts, "fan-outs", []int{2, 4, 16}, "fan-outs of the distribution tree, a list")
	f.IntSliceVar(&m.plan.Rates, "rates", []int{60, 200, 600}, "calls per second, a list")
	f.IntSliceVar(&m.plan.Links, "links", []int{50, 100, 200}, "open links, a list")
	f.IntVar(&m.plan.Changes, "changes", 20, "changes, and membership records, in each fleet")
	f.IntVar(&m.plan.Services, "services", 130, "services in the configuration")
	f.DurationVar(&m.plan.Idle, "idle", 10*time.Second, "duration of each measurement without changes")
	f.DurationVar(&m.plan.Duration, "duration", 5*time.Second, "duration of each measurement of calls")
	f.Uint64Var(&m.plan.Seed, "seed", 0, "seed of the change log and of the times of the calls; 0 means a random seed")
	return c
}

func (m *measureCapacityCommand) run(c *cobra.Command, _ []string) error {
	series, err := m.series(c)
	if err != nil {
		return err
	}
	rows, err := projector.Project(projector.DesignSize, projector.DesignBudgets, series)
	if err != nil {
		return err
	}
	projector.WriteMarkdown(c.OutOrStdout(), rows)
	return nil
}

// series reads the series from the file given by --from, or measures them and
// saves them to the file given by --save.
func (m *measureCapacityCommand) series(c *cobra.Command) ([]projector.Series, error) {
	if m.from != "" {
		return projector.ReadSeries(m.from)
	}
	if m.plan.Seed == 0 {
		m.plan.Seed = rand.Uint64()
	}
	m.plan.Command = strings.Join(append([]string{"bambooweir"}, os.Args[1:]...), " ")
	m.plan.Progress = func(step string) { c.PrintErrln(time.Now().Format(time.TimeOnly), step) }
	series, err := measurer.MeasureCapacity(c.Context(), m.plan)
	if err != nil || m.save == "" {
		return series, err
	}
	b, err := json.MarshalIndent(series, "", "  ")
	if err != nil {
		return nil, errorx.Decorate(err, "encoding series")
	}
	return series, os.WriteFile(m.save, append(b, '\n'), seriesFileMode)
}
