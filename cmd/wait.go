package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const statusPollInterval = 200 * time.Millisecond

// countReached returns how many daemons have version v or a newer one in force,
// and the number of all daemons. The latter is at least the number of targets
// that are not gone, since each has a daemon, whose version may not be known yet.
func countReached(s *operator.Status, v versioner.Version) (reached, all int) {
	counts := s.DaemonsByVersion
	if len(counts) == 0 {
		counts = []operator.VersionCount{{Version: s.Version, Daemons: 1}}
	}
	for _, n := range counts {
		all += n.Daemons
		if n.Version >= v {
			reached += n.Daemons
		}
	}
	return reached, max(all, countPresent(s.Targets))
}

// countPresent returns the number of targets that are not gone.
func countPresent(targets []tracker.Record) int {
	n := 0
	for _, r := range targets {
		if r.State != tracker.StateGone {
			n++
		}
	}
	return n
}

// listStale returns a line for each daemon in s that is reported behind and has a
// version older than v. Each line starts with a newline.
func listStale(s *operator.Status, v versioner.Version) string {
	var b strings.Builder
	for _, l := range s.StaleDaemons {
		if l.Version < v {
			fmt.Fprintf(&b, "\n%s is at version %d: %s", l.InstanceID, l.Version, l.Reason)
		}
	}
	return b.String()
}

// waiter polls a daemon's status until a version is in force on every daemon.
type waiter struct {
	client  *client
	timeout time.Duration
}

// wait returns when version v is in force on every daemon, and fails after the
// timeout. It prints each change of the progress.
func (w *waiter) wait(c *cobra.Command, v versioner.Version) error {
	ctx, cancel := context.WithTimeout(c.Context(), w.timeout)
	defer cancel()
	lastProgress, stale := "", ""
	for {
		var s operator.Status
		progress := ""
		if err := w.client.get(ctx, operator.StatusPath, &s); err != nil {
			progress = fmt.Sprintf("no status: %v", firstLine(err))
		} else {
			n, all := countReached(&s, v)
			progress = fmt.Sprintf("version %d in force on %d of %d daemons", v, n, all)
			stale = listStale(&s, v)
			if n == all {
				fmt.Fprintln(c.OutOrStdout(), progress)
				return nil
			}
		}
		if progress != lastProgress {
			c.PrintErrln(progress)
			lastProgress = progress
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("accepted, but not yet in force everywhere: %s%s", lastProgress, stale)
		case <-time.After(statusPollInterval):
		}
	}
}
