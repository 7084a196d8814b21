package cmd

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/measurer"
	"bambooweir.example/bambooweir/spreader"
)

// measureConvergenceCommand measures the distribution of changes to a fleet.
type measureConvergenceCommand struct {
	plan       measurer.ConvergencePlan
	coalesceMS []int
	plots      string
	output     outputFlag
}

func (m *measureConvergenceCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use: "convergence", Short: "Measure how fast and at what cost changes reach a fleet, against two baselines",
		Args: cobra.NoArgs, RunE: m.run,
	}
	f := c.Flags()
	f.StringSliceVar(&m.plan.Modes, "mode", []string{"tree", "watch", "poll"}, "distribution modes, a list")
	f.IntSliceVar(&m.plan.Daemons, "daemons", []int{32, 64, 128}, "fleet sizes, a list")
	f.IntVar(&m.plan.Domains, "domains", 6, "failure domains")
	f.IntVar(&m.plan.Changes, "changes", 40, "changes to accept, half of them in bursts")
	f.IntSliceVar(&m.coalesceMS, "coalesce-ms", []int{25}, "coalescing windows of mode tree, in milliseconds, a list")
	f.DurationVar(&m.plan.Poll, "poll", 5*time.Second, "poll interval of mode poll")
	f.DurationVar(&m.plan.Settle, "settle", 3*time.Second, "pause between the completed start of a fleet and its measurement")
	f.DurationVar(&m.plan.Idle, "idle", 10*time.Second, "duration of the measurement without changes")
	f.IntVar(&m.plan.Targets, "targets", 4900, "targets in the table")
	f.IntVar(&m.plan.Services, "services", 130, "services in the configuration")
	f.Uint64Var(&m.plan.Seed, "seed", 0, "seed of the change log; 0 means a random seed")
	f.StringVar(&m.plots, "plot", "", "directory to write plots to, as SVG")
	m.output.addFlag(c, outputJSON)
	return c
}

func (m *measureConvergenceCommand) run(c *cobra.Command, _ []string) error {
	modes := []string{string(spreader.ModeTree), string(spreader.ModeWatch), string(spreader.ModePoll)}
	for _, mode := range m.plan.Modes {
		if !slices.Contains(modes, mode) {
			return fmt.Errorf("--mode must be one of %v, got %q", modes, mode)
		}
	}
	if len(m.coalesceMS) == 0 || m.plan.Domains < 1 || m.plan.Changes < 1 || slices.ContainsFunc(m.plan.Daemons, func(n int) bool { return n < 1 }) {
		return fmt.Errorf("--coalesce-ms, --domains, --changes and --daemons must be positive")
	}
	for _, ms := range m.coalesceMS {
		m.plan.Coalesce = append(m.plan.Coalesce, time.Duration(ms)*time.Millisecond)
	}
	if m.plan.Seed == 0 {
		m.plan.Seed = rand.Uint64()
	}
	report, err := measurer.MeasureConvergence(c.Context(), m.plan)
	if err != nil {
		return err
	}
	if m.plots != "" {
		if err := report.WritePlots(m.plots); err != nil {
			return err
		}
	}
	if m.output.value == outputJSON {
		return printJSON(c, report)
	}
	return report.WriteTable(c.OutOrStdout())
}
