package cmd

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/measurer"
	"bambooweir.example/bambooweir/versioner"
)

const (
	defaultMeasureDuration = 5 * time.Second
	defaultCallBytes       = 512
)

// measureCallsCommand measures latency and goodput of calls.
type measureCallsCommand struct {
	plan   measurer.CallsPlan
	output string
}

func (m *measureCallsCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use: "calls", Short: "Measure latency, goodput under overload, and calls while one target is slow",
		Args: cobra.NoArgs, RunE: m.run,
	}
	f := c.Flags()
	f.IntSliceVar(&m.plan.Rates, "rate", []int{60, 600, 4000}, "calls per second, a list")
	f.DurationVar(&m.plan.Duration, "duration", defaultMeasureDuration, "duration of each measurement")
	f.StringSliceVar(&m.plan.Classes, "class", []string{versioner.ClassLookup, versioner.ClassInternalRead}, "call classes, a list")
	f.IntVar(&m.plan.Size, "size", defaultCallBytes, "length of answers, in bytes")
	f.Float64Var(&m.plan.ChangesPerSecond, "changes-per-second", 1, "configuration changes per second made during the calls; 0 means none")
	f.BoolVar(&m.plan.Scans, "scans", false, "send scans of 2 MiB during the calls")
	f.StringSliceVar(&m.plan.Runs, "runs", []string{measurer.RunLatency, measurer.RunOverload, measurer.RunSlowTarget}, "parts to measure, a list")
	f.StringVar(&m.output, "output", "table", "table or json")
	f.Uint64Var(&m.plan.Seed, "seed", 0, "seed of the times of the calls; 0 means a random seed")
	return c
}

func (m *measureCallsCommand) run(c *cobra.Command, _ []string) error {
	if m.output != "table" && m.output != "json" {
		return fmt.Errorf("--output must be table or json, got %q", m.output)
	}
	if m.plan.Seed == 0 {
		m.plan.Seed = rand.Uint64()
	}
	report, err := measurer.MeasureCalls(c.Context(), m.plan)
	if err != nil {
		return err
	}
	if m.output == "table" {
		return report.WriteTable(c.OutOrStdout())
	}
	enc := json.NewEncoder(c.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}
