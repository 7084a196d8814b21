// Package cmd is the command line: one struct per command, its usage and flags
// together. The work is done in the packages that the commands call.
package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the process's exit status.
func Execute(ctx context.Context) int {
	root := newRoot()
	err := root.ExecuteContext(ctx)
	if err != nil {
		root.PrintErrln("bambooweir:", err)
	}
	return exitStatus(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "bambooweir",
		Short: "Distribute service-mesh configuration and route calls by it",
		Long: `Bambooweir distributes the configuration of a service mesh that partners share, and
routes calls by it. One daemon runs beside each target.

` + statusHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
		RunE:          unknownCommand,

		SuggestionsMinimumDistance: 2,
	}
	root.AddCommand(
		new(daemonCommand).command(),
		new(fakeStoreCommand).command(),
		new(fakeTargetCommand).command(),
		new(applyCommand).command(),
		newMeasureCommand(),
		new(planCommand).command(),
		new(showCommand).command(),
		new(historyCommand).command(),
		new(exceptionsCommand).command(),
		new(checkCommand).command(),
		new(statusCommand).command(),
		new(versionCommand).command(),
		new(demoCommand).command(),
		new(soakCommand).command(),
		new(explainCommand).command(),
	)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput(err) })
	for _, c := range root.Commands() {
		c.Args = badArgs(c.Args)
	}
	return root
}

// unknownCommand prints the help, or refuses what is no command.
func unknownCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return c.Help()
	}
	hint := ""
	if near := c.SuggestionsFor(args[0]); len(near) > 0 {
		hint = ", did you mean " + strings.Join(near, " or ") + "?"
	}
	return badInput(fmt.Errorf("unknown command %q%s", args[0], hint))
}

// badArgs gives wrong arguments the exit status of bad input.
func badArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	if check == nil {
		return nil
	}
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return badInput(err)
		}
		return nil
	}
}
