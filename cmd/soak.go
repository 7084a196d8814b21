package cmd

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/soaker"
)

// soakCommand runs a small fleet under random faults and checks the invariants.
type soakCommand struct {
	cfg  soaker.Config
	logs string
}

func (s *soakCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run a small fleet of processes under random faults and check the invariants",
		Long: `Soak starts a fake of the store, daemons and fake targets as separate processes,
makes calls and changes, kills, freezes and stops processes at random, and cuts
their connections. The seed determines which faults, calls and changes are chosen.

Exit status: 0 done, 1 if an invariant was violated or the run failed.`,
		Example: "  bambooweir soak --seed 7 --duration 60s",
		Args:    cobra.NoArgs,
		RunE:    s.run,
	}
	c.Flags().Uint64Var(&s.cfg.Seed, "seed", 1, "seed of the random faults, calls and changes")
	c.Flags().DurationVar(&s.cfg.Duration, "duration", time.Minute, "how long faults are injected")
	c.Flags().IntVar(&s.cfg.Daemons, "daemons", 0, "number of daemons, each beside a target (default 9)")
	c.Flags().StringVar(&s.logs, "logs", "", "directory to keep the logs and journals in; by default they are deleted")
	c.AddCommand(new(soakVersionsCommand).command())
	return c
}

func (s *soakCommand) run(c *cobra.Command, _ []string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	dir, remove, err := logsDir(s.logs)
	if err != nil {
		return err
	}
	defer remove()
	s.cfg.Program, s.cfg.Dir = program, dir
	result, err := soaker.Run(c.Context(), s.cfg, c.OutOrStdout())
	if err != nil {
		return err
	}
	w := c.OutOrStdout()
	fmt.Fprintf(w, "seed:       %d\nduration:   %s\n", result.Seed, result.Duration.Round(time.Millisecond))
	fmt.Fprintf(w, "calls:      %v\ncauses:     %v\nchanges:    %v\nfaults:     %v\n", result.Calls, result.Causes, result.Changes, result.Faults)
	fmt.Fprintf(w, "settled in: %s\nviolations: %d\n", result.Settled.Round(time.Millisecond), len(result.Violations))
	for _, line := range checker.Summarize(result.Violations) {
		fmt.Fprintln(w, "  "+line)
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d invariant violations", len(result.Violations))
	}
	return nil
}

// logsDir makes the directory named logs, or a temporary one if logs is "", and returns it with
// a function that removes it if it is temporary.
func logsDir(logs string) (dir string, remove func(), err error) {
	if logs != "" {
		return logs, func() {}, os.MkdirAll(logs, 0o700)
	}
	dir, err = os.MkdirTemp("", "bambooweir-soak")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
