package cmd

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/soaker"
)

// soakCommand runs a small fleet under random faults.
type soakCommand struct {
	cfg  soaker.Config
	logs string
}

func (s *soakCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run a small fleet of processes under random faults and check what held",
		Long: `Soak starts a stand-in of the store, daemons and stand-in targets as processes
of their own, makes calls and changes, and kills, freezes, stops and cuts at
random. The seed fixes which faults, calls and changes are drawn.

It ends with status 0, or 1 if a promise was seen broken.`,
		Example: "  bambooweir soak --seed 7 --duration 60s",
		Args:    cobra.NoArgs,
		RunE:    s.run,
	}
	c.Flags().Uint64Var(&s.cfg.Seed, "seed", 1, "seed of the random faults, calls and changes")
	c.Flags().DurationVar(&s.cfg.Duration, "duration", time.Minute, "time for which faults are injected")
	c.Flags().IntVar(&s.cfg.Daemons, "daemons", 0, "number of daemons, each beside a target (default 9)")
	c.Flags().StringVar(&s.logs, "logs", "", "directory that keeps the logs and journals")
	return c
}

func (s *soakCommand) run(c *cobra.Command, _ []string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	s.cfg.Program, s.cfg.Dir = program, s.logs
	if s.logs == "" {
		s.cfg.Dir, err = os.MkdirTemp("", "bambooweir-soak")
		defer func() { _ = os.RemoveAll(s.cfg.Dir) }()
	} else {
		err = os.MkdirAll(s.logs, 0o700)
	}
	if err != nil {
		return err
	}
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
		return fmt.Errorf("%d promises were broken", len(result.Violations))
	}
	return nil
}
