// Package cmd implements the command line of bambooweir with one struct per
// command, which holds its flags and usage. The struct's method command returns the
// cobra command; its method run, if it has one, executes the command. The commands
// call other packages of this module to do the work.
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

// newRoot returns the root command with all subcommands. Errors in parsing flags, and
// errors in the arguments of its subcommands, have the exit status statusBadInput.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "bambooweir",
		Short: "Distribute service-mesh configuration and route calls",
		Long: `Bambooweir distributes the shared configuration of a service mesh and routes calls
as it says. One daemon runs beside each target.

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
		new(quarantineCommand).command(),
		new(tenantsCommand).command(),
		new(quotasCommand).command(),
		new(whereCommand).command(),
		new(checkCommand).command(),
		new(statusCommand).command(),
		new(versionCommand).command(),
		new(demoCommand).command(),
		new(soakCommand).command(),
		new(explainCommand).command(),
		new(reportCommand).command(),
	)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput(err) })
	wrapArgs(root)
	return root
}

// wrapArgs wraps the checks of arguments of all commands below c with badInputArgs.
func wrapArgs(c *cobra.Command) {
	for _, sub := range c.Commands() {
		sub.Args = badInputArgs(sub.Args)
		wrapArgs(sub)
	}
}

// unknownCommand prints the help if there are no arguments, and otherwise returns
// an error that suggests commands with similar names.
func unknownCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return c.Help()
	}
	hint := ""
	if suggestions := c.SuggestionsFor(args[0]); len(suggestions) > 0 {
		hint = ", did you mean " + strings.Join(suggestions, " or ") + "?"
	}
	return badInput(fmt.Errorf("unknown command %q%s", args[0], hint))
}

// badInputArgs wraps check so that its errors have the exit status
// statusBadInput.
func badInputArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
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
