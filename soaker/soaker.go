// Package soaker implements the soak run: it runs a small fleet of real processes
// for a given time under calls, configuration changes and random faults, and then
// checks every invariant.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	defaultDaemonCount = 9
	// maxConcurrentFaults is the number of injectors, each of which runs one fault at
	// a time.
	maxConcurrentFaults = 2
	// convergenceTimeout is the time in which the fleet must converge once all
	// faults, calls and changes have ended.
	convergenceTimeout = 60 * time.Second
	pollInterval       = 50 * time.Millisecond
)

// Config configures a soak run. Program, Dir and Duration must be set.
type Config struct {
	// Program is the path of the bambooweir binary. Settings files, logs and
	// journals are written to Dir.
	Program, Dir string
	// Seed determines which calls, changes and faults are drawn.
	Seed uint64
	// Duration is the time for which calls, changes and faults are started.
	Duration time.Duration
	// Daemons is the number of daemons, each beside a target; 0 means
	// defaultDaemonCount.
	Daemons int
}

// Result holds the counts and the violations of a soak run.
type Result struct {
	Seed     uint64                       `json:"seed"`
	Duration time.Duration                `json:"duration-ns"`
	Calls    map[caller.Outcome]int       `json:"calls"`
	Causes   map[string]int               `json:"causes"`
	Changes  map[caller.ChangeOutcome]int `json:"changes"`
	Faults   map[string]int               `json:"faults"`
	// Settled is the time from the end of all faults, calls and changes until the
	// fleet converged or convergenceTimeout had passed.
	Settled    time.Duration       `json:"settled-ns"`
	Violations []checker.Violation `json:"violations"`
}

// soak is the state of one run.
type soak struct {
	cfg      Config
	log      io.Writer
	start    time.Time
	fleet    *launcher.Fleet
	recorder *checker.Recorder
	caller   *caller.Caller
	wg       sync.WaitGroup

	mu     sync.Mutex
	result Result
	// claimed holds the names of the processes and links that running faults hit.
	claimed map[string]bool
	// rotations is the number of keys that the rotating tenant was given after its first.
	rotations int
}

// Run performs a soak run and writes each fault to log.
func Run(ctx context.Context, cfg Config, log io.Writer) (*Result, error) {
	s := &soak{
		cfg: cfg, log: log, start: time.Now(), fleet: launcher.New(cfg.Program, cfg.Dir),
		recorder: new(checker.Recorder), caller: caller.New(), claimed: make(map[string]bool),
		result: Result{
			Seed: cfg.Seed, Calls: make(map[caller.Outcome]int),
			Changes: make(map[caller.ChangeOutcome]int), Faults: make(map[string]int),
		},
	}
	defer s.fleet.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.recorder.MarkFaultsInjected()
	if err := s.startFleet(ctx); err != nil {
		return nil, err
	}
	activeCtx, end := context.WithTimeout(ctx, cfg.Duration)
	defer end()
	// Each goroutine draws from its own random generator. What it draws depends only
	// on the seed, not on the timing of the others.
	s.wg.Add(3)
	go s.makeCalls(ctx, activeCtx, s.newRand(1))
	go s.makeChanges(ctx, activeCtx, s.newRand(2))
	go s.rotateKeys(ctx, activeCtx)
	var injectors errgroup.Group
	for n := range uint64(maxConcurrentFaults) {
		injectors.Go(func() error { return s.injectFaults(ctx, activeCtx, s.newRand(3+n)) })
	}
	go s.reviveTargets(ctx)
	if err := injectors.Wait(); err != nil {
		return nil, err
	}
	s.wg.Wait()
	return s.finish(ctx)
}

// newRand returns the random generator of one goroutine of the run.
func (s *soak) newRand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.cfg.Seed, part)) }

// logf writes a line with the time since the start of the run.
func (s *soak) logf(format string, args ...any) {
	fmt.Fprintf(s.log, "%7.2fs  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// finish waits for convergence, collects the records and returns the result.
func (s *soak) finish(ctx context.Context) (*Result, error) {
	begun := time.Now()
	unconverged := s.waitConverged(ctx)
	s.result.Settled = time.Since(begun)
	if err := s.checkDeadlyStopped(ctx); err != nil {
		return nil, err
	}
	unconverged = append(unconverged, s.checkRevocation(ctx)...)
	for _, t := range s.fleet.Targets() {
		if err := s.recorder.AddJournal(t.Name, s.fleet.JournalPath(t.Name)); err != nil {
			return nil, err
		}
	}
	for _, d := range s.fleet.Daemons() {
		s.recorder.PollDaemon(ctx, d.Name, d.OperatorURL)
	}
	s.result.Duration = time.Since(s.start)
	s.result.Calls, s.result.Causes = s.recorder.OutcomeCounts(), s.recorder.CauseCounts()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Violations = append(append(s.result.Violations, s.recorder.Check()...), unconverged...)
	return &s.result, nil
}

// InForceEverywhere is the invariant that each daemon has the newest accepted
// version in force within convergenceTimeout after all faults, calls and changes
// have ended.
const InForceEverywhere checker.Invariant = "in-force-everywhere"

// waitConverged waits until every daemon has had the newest accepted version in
// force. It returns a violation for each daemon that has not by
// convergenceTimeout.
func (s *soak) waitConverged(ctx context.Context) []checker.Violation {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	var unconverged []checker.Violation
	for _, d := range s.fleet.Daemons() {
		for {
			got, err := readVersion(ctx, d.OperatorURL)
			if err == nil && got == s.recorder.NewestVersion() {
				break
			}
			if sleeper.Sleep(ctx, pollInterval) != nil {
				detail := fmt.Sprintf("version %d in force, want %d (%v)", got, s.recorder.NewestVersion(), err)
				unconverged = append(unconverged, checker.Violation{Invariant: InForceEverywhere, Subject: d.Name, Detail: detail})
				break
			}
		}
	}
	return unconverged
}
