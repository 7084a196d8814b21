package cmd

import (
	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/demonstrator"
)

// demoCommand shows a small fleet at work.
type demoCommand struct{}

func (d *demoCommand) command() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Show a small fleet at work, in this process and under 30 s",
		Long: `Demo brings up a stand-in of the platform's store, a daemon beside each of 24
stand-in targets, and callers, all in this process. It makes changes, kills a
relay, cuts the store off for a moment, and says what became of every call.

It ends with status 0, or 1 if a promise was seen broken.`,
		Example: "  bambooweir demo",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return demonstrator.Run(c.Context(), c.OutOrStdout())
		},
	}
}
