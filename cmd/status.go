package cmd

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
)

// inUse is the value of the USE column for a target that the daemon sends calls to.
const inUse = "in-use"

// statusCommand prints the status of a daemon and its view of the fleet.
type statusCommand struct {
	client
	output outputFlag
	all    bool
}

func (s *statusCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "status",
		Short: "Show a daemon, the versions in force in the fleet, and the targets",
		Long: `Status shows the version in force on a daemon and the daemon's place in the
distribution tree, the number of daemons per version in force, the daemons that
are behind, and the targets that the daemon does not use, each with the reason.`,
		Example: `  bambooweir status
  bambooweir status --all
  bambooweir status --output json`,
		Args: cobra.NoArgs,
		RunE: s.run,
	}
	s.addDaemonFlag(c)
	s.output.addFlag(c, outputJSON)
	c.Flags().BoolVar(&s.all, "all", false, "also list the targets in use")
	return c
}

func (s *statusCommand) run(c *cobra.Command, _ []string) error {
	var status operator.Status
	if err := s.get(c.Context(), operator.StatusPath, &status); err != nil {
		return err
	}
	if s.output.value == outputJSON {
		return printJSON(c, status)
	}
	w := c.OutOrStdout()
	printDaemon(w, &status)
	if err := printFleet(c, &status); err != nil {
		return err
	}
	if err := printRollouts(c, &status); err != nil {
		return err
	}
	return s.printTargets(c, &status)
}

// printRollouts prints a table of the roll-outs, or nothing if there are none. The answers are
// known to the leader only.
func printRollouts(c *cobra.Command, status *operator.Status) error {
	if len(status.Rollouts) == 0 {
		return nil
	}
	fmt.Fprintln(c.OutOrStdout())
	rows := [][]string{{"ROLL-OUT", "VERSION", "STATE", "STAGE", "SHARE", "REASON", "NEW TARGETS", "OLD TARGETS", "FAILED", "BARRED"}}
	for _, r := range status.Rollouts {
		failed := ""
		if r.IsLeader {
			failed = fmt.Sprintf("%d of %d", r.Failures, r.Answers)
		}
		rows = append(rows, []string{
			r.Service, r.Version, r.State, r.Stage, fmt.Sprintf("%g%%", r.SharePercent), orDash(r.Reason),
			fmt.Sprint(r.NewTargets), fmt.Sprint(r.OldTargets), orDash(failed), orDash(strings.Join(r.Barred, ", ")),
		})
	}
	return printTable(c, rows)
}

// printDaemon prints which version is in force on the daemon and the daemon's place in
// the distribution tree.
func printDaemon(w io.Writer, status *operator.Status) {
	fmt.Fprintf(w, "instance %s in failure domain %s\n", status.InstanceID, status.FailureDomain)
	if status.Version == 0 {
		fmt.Fprintln(w, "no version in force: calls are refused as not run")
	} else {
		fmt.Fprintf(w, "version %d in force, digest %s, %s\n", status.Version, status.Digest, confirmationText(status))
	}
	if status.Role != "" {
		fmt.Fprintf(w, "%s, parent %s, depth %d, %d children\n", status.Role, orDash(status.Parent), status.Depth, status.Children)
	}
}

// confirmationText says whether the store has confirmed the version in force, and how
// old the daemon's information from the store is.
func confirmationText(status *operator.Status) string {
	if !status.IsConfirmed {
		return "not confirmed by the store"
	}
	return fmt.Sprintf("confirmed, version %d was newest %s ago", status.HeadVersion, formatAge(time.Duration(status.HeadAgeMS)*time.Millisecond))
}

// printFleet prints the number of daemons for each version in force and a table of the
// stale daemons. It prints nothing if the status counts no daemons.
func printFleet(c *cobra.Command, status *operator.Status) error {
	if len(status.DaemonsByVersion) == 0 {
		return nil
	}
	fmt.Fprintln(c.OutOrStdout())
	rows := [][]string{{"VERSION", "DAEMONS"}}
	for _, n := range status.DaemonsByVersion {
		rows = append(rows, []string{fmt.Sprint(n.Version), fmt.Sprint(n.Daemons)})
	}
	if err := printTable(c, rows); err != nil || len(status.StaleDaemons) == 0 {
		return err
	}
	fmt.Fprintln(c.OutOrStdout())
	rows = [][]string{{"BEHIND", "VERSION", "REASON"}}
	for _, l := range status.StaleDaemons {
		rows = append(rows, []string{l.InstanceID, fmt.Sprint(l.Version), l.Reason})
	}
	return printTable(c, rows)
}

// printTargets prints how many targets are in use, and a table of the others, or of
// all targets with --all.
func (s *statusCommand) printTargets(c *cobra.Command, status *operator.Status) error {
	w := c.OutOrStdout()
	rows := [][]string{{"SERVICE", "TARGET", "FAILURE DOMAIN", "USE", "CAUSE", "IN FLIGHT"}}
	used := 0
	for _, t := range status.TargetViews {
		if t.Use == inUse {
			used++
		}
		if t.Use != inUse || s.all {
			rows = append(rows, []string{t.Service, t.InstanceID, t.Domain, t.Use, orDash(t.Cause), fmt.Sprint(t.InFlight)})
		}
	}
	if len(status.TargetViews) == 0 {
		_, err := fmt.Fprintf(w, "\n%d targets known\n", len(status.Targets))
		return err
	}
	fmt.Fprintf(w, "\n%d of %d targets in use\n", used, len(status.TargetViews))
	if len(rows) == 1 {
		return nil
	}
	return printTable(c, rows)
}
