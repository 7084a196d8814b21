package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
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
	// other faults have ended, ends at most maxDeadlyRuns targets.
	DeadlyStopped checker.Invariant = "deadly-stopped"

	// maxDeadlyRuns is the number of targets that may end once all daemons are in touch: the
	// users allow three.
	maxDeadlyRuns = 3
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

// countDeadlyRuns returns the number of targets that the deadly lookup has ended.
func (s *soak) countDeadlyRuns() (int, error) {
	n := 0
	for _, t := range s.fleet.Targets() {
		journal, err := os.Open(s.fleet.JournalPath(t.Name))
		if err != nil {
			return 0, err
		}
		events, err := faketarget.ReadJournal(journal)
		journal.Close()
		if err != nil {
			return 0, err
		}
		for _, e := range events {
			if e.Run != nil && strings.HasSuffix(e.Run.Path, faketarget.DeadlySuffix) {
				n++
			}
		}
	}
	return n, nil
}

// checkDeadlyStopped repeats the deadly lookup at all daemons of the settled fleet.
func (s *soak) checkDeadlyStopped(ctx context.Context) error {
	before, err := s.countDeadlyRuns()
	if err != nil {
		return err
	}
	for n := range deadlyRepeats {
		for _, d := range s.fleet.Daemons() {
			s.callOnce(ctx, caller.Call{
				Method: http.MethodGet, Path: deadlyPath, Content: "deadly", Entry: d.Name, ID: fmt.Sprintf("deadly-%d-%s", n, d.Name),
			})
		}
	}
	after, err := s.countDeadlyRuns()
	if err != nil {
		return err
	}
	if got := after - before; got > maxDeadlyRuns {
		s.violate(DeadlyStopped, deadlyPath, fmt.Sprintf("ended %d targets after all faults, want at most %d", got, maxDeadlyRuns))
	}
	return nil
}
