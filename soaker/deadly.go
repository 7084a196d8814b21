package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	// InnocentNotQuarantined is the invariant that no call but the deadly one is refused as
	// quarantined, whatever ends the targets that run it.
	InnocentNotQuarantined checker.Invariant = "innocent-not-quarantined"
	// DeadlyStopped is the invariant that a deadly lookup, repeated at all daemons after all
	// other faults have ended, ends at most maxDeadlyRuns targets later than touchTime after
	// the third.
	DeadlyStopped checker.Invariant = "deadly-stopped"

	// maxDeadlyRuns and touchTime are what the users allow.
	maxDeadlyRuns = 3
	touchTime     = 3 * time.Second
	// deadlyRepeats is how often the lookup is repeated at each daemon, one after the other.
	deadlyRepeats = 4
	// revivalInterval is the time between two looks for targets that have ended.
	revivalInterval = 100 * time.Millisecond
)

// violate records a violation of an invariant.
func (s *soak) violate(invariant checker.Invariant, subject, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Violations = append(s.result.Violations, checker.Violation{Invariant: invariant, Subject: subject, Detail: detail})
}

// reviveTargets starts targets again that have ended by themselves, until ctx ends.
func (s *soak) reviveTargets(ctx context.Context) {
	for sleeper.Sleep(ctx, revivalInterval) == nil {
		for _, name := range targetNames(s) {
			claimed := s.claim([]string{name})
			if len(claimed) == 0 {
				continue
			}
			if !s.fleet.IsRunning(name) {
				if err := s.fleet.Restart(name); err != nil {
					s.logf("%s stays down: %v", name, err)
				}
			}
			s.release(claimed)
		}
	}
}

// deadlyRuns returns when targets began to run the deadly lookup, in order.
func (s *soak) deadlyRuns() ([]time.Time, error) {
	var runs []time.Time
	for _, t := range s.fleet.Targets() {
		journal, err := os.Open(s.fleet.JournalPath(t.Name))
		if err != nil {
			return nil, err
		}
		events, err := faketarget.ReadJournal(journal)
		journal.Close()
		if err != nil {
			return nil, err
		}
		for _, e := range events {
			if e.Run != nil && strings.HasSuffix(e.Run.Path, faketarget.DeadlySuffix) {
				runs = append(runs, e.Run.Begun)
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	return runs, nil
}

// repeatDeadly repeats the deadly lookup at all daemons.
func (s *soak) repeatDeadly(ctx context.Context, round string) {
	for n := range deadlyRepeats {
		for _, d := range s.fleet.Daemons() {
			s.callOnce(ctx, caller.Call{
				Method: http.MethodGet, Path: deadlyPath, Content: "deadly", Entry: d.Name, ID: fmt.Sprintf("deadly-%s-%d-%s", round, n, d.Name),
			})
		}
	}
}

// checkDeadlyStopped repeats the deadly lookup at all daemons of the settled fleet, and again
// once touchTime has passed since it ended the third target.
func (s *soak) checkDeadlyStopped(ctx context.Context) error {
	from := time.Now()
	s.repeatDeadly(ctx, "first")
	runs, err := s.deadlyRuns()
	if err != nil || len(runs) < 3 {
		return err
	}
	if at := runs[2].Add(touchTime); at.After(from) {
		from = at
	}
	if sleeper.Sleep(ctx, time.Until(from)) != nil {
		return ctx.Err()
	}
	s.repeatDeadly(ctx, "later")
	if runs, err = s.deadlyRuns(); err != nil {
		return err
	}
	runs = slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(from) })
	if got := len(runs); got > maxDeadlyRuns {
		s.violate(DeadlyStopped, deadlyPath, fmt.Sprintf("ended %d targets after all faults, %s after the third or later, want at most %d", got, touchTime, maxDeadlyRuns))
	}
	return nil
}
