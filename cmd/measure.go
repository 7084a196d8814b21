package cmd

import "github.com/spf13/cobra"

// newMeasureCommand returns the parent of the commands that measure the system.
func newMeasureCommand() *cobra.Command {
	c := &cobra.Command{Use: "measure", Short: "Measure the system in one process over real sockets"}
	c.AddCommand(new(measureCallsCommand).command(), new(measureConvergenceCommand).command(), new(measureCapacityCommand).command())
	return c
}
