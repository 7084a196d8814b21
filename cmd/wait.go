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

const waitInterval = 200 * time.Millisecond

// reached returns how many daemons have the version or a newer one in force,
// and how many there are. Each target that is not gone has a daemon beside it,
// also before that daemon's version was heard of.
func reached(s *operator.Status, v versioner.Version) (reached, all int) {
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
	return reached, max(all, present(s.Targets))
}

// present counts the targets that are not gone.
func present(targets []tracker.Record) int {
	n := 0
	for _, r := range targets {
		if r.State != tracker.StateGone {
			n++
		}
	}
	return n
}

// behind lists the laggards below the version, one a line.
func behind(s *operator.Status, v versioner.Version) string {
	var b strings.Builder
	for _, l := range s.StaleDaemons {
		if l.Version < v {
			fmt.Fprintf(&b, "\n%s is at version %d: %s", l.InstanceID, l.Version, l.Reason)
		}
	}
	return b.String()
}

// waiter waits until a version is in force everywhere.
type waiter struct {
	client  *client
	timeout time.Duration
}

func (w *waiter) wait(c *cobra.Command, v versioner.Version) error {
	ctx, cancel := context.WithTimeout(c.Context(), w.timeout)
	defer cancel()
	last, laggards := "", ""
	for {
		var s operator.Status
		progress := ""
		if err := w.client.get(ctx, operator.StatusPath, &s); err != nil {
			progress = fmt.Sprintf("no status: %v", firstLine(err))
		} else {
			n, all := reached(&s, v)
			progress = fmt.Sprintf("version %d in force on %d of %d daemons", v, n, all)
			laggards = behind(&s, v)
			if n == all {
				fmt.Fprintln(c.OutOrStdout(), progress)
				return nil
			}
		}
		if progress != last {
			c.PrintErrln(progress)
			last = progress
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("accepted, but not yet in force everywhere: %s%s", last, laggards)
		case <-time.After(waitInterval):
		}
	}
}
