package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/versioner"
)

const waitInterval = 200 * time.Millisecond

// convergence is the part of a daemon's status that apply --wait reads.
type convergence struct {
	Version versioner.Version `json:"version"`
	// DaemonsByVersion counts the daemons of the fleet by the version that they
	// have in force. A daemon that knows only of itself leaves it out.
	DaemonsByVersion []versionCount `json:"daemons-by-version"`
	// Laggards names a few daemons that are behind.
	Laggards []laggard `json:"laggards"`
}

type laggard struct {
	InstanceID string            `json:"instance-id"`
	Version    versioner.Version `json:"version"`
	Reason     string            `json:"reason"`
}

type versionCount struct {
	Version versioner.Version `json:"version"`
	Daemons int               `json:"daemons"`
}

// reached returns how many daemons have the version or a newer one in force,
// and how many there are.
func (s *convergence) reached(v versioner.Version) (reached, all int) {
	counts := s.DaemonsByVersion
	if len(counts) == 0 {
		counts = []versionCount{{Version: s.Version, Daemons: 1}}
	}
	for _, n := range counts {
		all += n.Daemons
		if n.Version >= v {
			reached += n.Daemons
		}
	}
	return reached, all
}

// behind lists the laggards below the version, one a line.
func (s *convergence) behind(v versioner.Version) string {
	var b strings.Builder
	for _, l := range s.Laggards {
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
	last, behind := "", ""
	for {
		var s convergence
		progress := ""
		if err := w.client.get(ctx, operator.StatusPath, &s); err != nil {
			progress = fmt.Sprintf("no status: %v", firstLine(err))
		} else {
			reached, all := s.reached(v)
			progress = fmt.Sprintf("version %d in force on %d of %d daemons", v, reached, all)
			behind = s.behind(v)
			if reached == all {
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
			return fmt.Errorf("accepted, but not yet in force everywhere: %s%s", last, behind)
		case <-time.After(waitInterval):
		}
	}
}
