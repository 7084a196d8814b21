// Package cmd is the command line: one struct per command, its usage and flags
// together. The work is done in the packages that the commands call.
package cmd

import (
	"context"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the process's exit status.
func Execute(ctx context.Context) int {
	root := &cobra.Command{
		Use:           "bambooweir",
		Short:         "Distribute service-mesh configuration and route calls by it",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		new(daemonCommand).command(),
		new(fakeStoreCommand).command(),
		new(fakeTargetCommand).command(),
		new(applyCommand).command(),
		new(planCommand).command(),
		new(showCommand).command(),
		new(historyCommand).command(),
		new(exceptionsCommand).command(),
		new(checkCommand).command(),
		new(demoCommand).command(),
		new(soakCommand).command(),
	)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &statusError{status: statusBadInput, err: err}
	})
	err := root.ExecuteContext(ctx)
	if err != nil {
		root.PrintErrln("bambooweir:", err)
	}
	return exitStatus(err)
}
