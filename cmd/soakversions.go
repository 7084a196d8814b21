package cmd

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/soaker"
)

// soakVersionsCommand runs a fleet on the platform's store and checks when each version is in
// force.
type soakVersionsCommand struct {
	cfg  soaker.VersionsConfig
	logs string
}

func (s *soakVersionsCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "versions",
		Short: "Change the configuration of a fleet of processes under faults and check when it is in force",
		Long: `Versions starts a fake of the platform's store and daemons as separate processes. A fault
begins just before each change of the configuration, and each daemon gets requests for the route
that the change adds. It is a violation if a daemon that runs and reaches the store does not know
the route in time. The seed determines the victims, the moments and the durations.

Exit status: 0 done, 1 if a version was late or the run failed.`,
		Example: "  bambooweir soak versions --daemons 70 --fault freeze-relays --seed 3",
		Args:    cobra.NoArgs,
		RunE:    s.run,
	}
	c.Flags().Uint64Var(&s.cfg.Seed, "seed", 1, "seed of the faults")
	c.Flags().IntVar(&s.cfg.Changes, "changes", 8, "number of changes")
	c.Flags().IntVar(&s.cfg.Daemons, "daemons", 40, "number of daemons, each beside a target")
	c.Flags().StringVar((*string)(&s.cfg.Fault), "fault", string(soaker.FreezeRelays), fmt.Sprintf("what begins before each change: one of %v", soaker.VersionFaults()))
	c.Flags().IntVar(&s.cfg.Victims, "victims", 3, "largest number of daemons that a fault hits at once")
	c.Flags().IntVar(&s.cfg.Burst, "burst", 1, "number of versions of one change, 0.1 s apart")
	c.Flags().DurationVar(&s.cfg.Bound, "bound", 2500*time.Millisecond, "time within which a version must be in force")
	c.Flags().DurationVar(&s.cfg.Touch, "touch", 3*time.Second, "time for which a daemon does not count after it was frozen, killed or cut off from the store")
	c.Flags().StringVar(&s.logs, "logs", "", "directory to keep the logs in; by default they are deleted")
	return c
}

func (s *soakVersionsCommand) run(c *cobra.Command, _ []string) error {
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
	result, err := soaker.RunVersions(c.Context(), s.cfg, c.OutOrStdout())
	if err != nil {
		return err
	}
	w := c.OutOrStdout()
	fmt.Fprintf(w, "seed:        %d\nrequests:    %d after the bound, %d by an older version\n", s.cfg.Seed, result.Judged, result.Late)
	if n := len(result.Lags); n > 0 {
		fmt.Fprintf(w, "lag:         p50 %s, p99 %s, max %s\n", result.Lags[n/2].Round(time.Millisecond), result.Lags[n*99/100].Round(time.Millisecond), result.Lags[n-1].Round(time.Millisecond))
	}
	fmt.Fprintf(w, "store calls: %v\nviolations:  %d\n", result.StoreCalls, len(result.Violations))
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d versions were late at a daemon", len(result.Violations))
	}
	return nil
}
