package cmd

import (
	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/demonstrator"
)

// demoCommand runs the demonstration.
type demoCommand struct{}

func (d *demoCommand) command() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a demonstration with a small fleet in this process, in under 30 s",
		Long: `Demo starts a fake of the platform's store, 24 fake targets with a daemon beside
each, and callers, all in this process. It makes changes, kills a relay, cuts the
connections to the store for a moment, and reports the outcome of every call.

Exit status: 0 done, 1 if an invariant was violated or the demo failed.`,
		Example: "  bambooweir demo",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return demonstrator.Run(c.Context(), c.OutOrStdout())
		},
	}
}
