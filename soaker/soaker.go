// Package soaker runs a small fleet of real processes under calls, changes and
// random faults for a while, and decides whether every promise was kept.
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
	defaultDaemons = 9
	// faultsTogether is the number of faults that may run at once.
	faultsTogether = 2
	// settleBound is the time in which the fleet must converge once all faults
	// have ended.
	settleBound  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Config says what to run. Program, Dir and Duration must be set.
type Config struct {
	// Program is the bambooweir binary, Dir takes the logs and journals.
	Program, Dir string
	Seed         uint64
	Duration     time.Duration
	// Daemons is the number of daemons, each beside a target; 0 means nine.
	Daemons int
}

// Result is what a run did and saw.
type Result struct {
	Seed       uint64                       `json:"seed"`
	Duration   time.Duration                `json:"duration-ns"`
	Calls      map[caller.Outcome]int       `json:"calls"`
	Causes     map[string]int               `json:"causes"`
	Changes    map[caller.ChangeOutcome]int `json:"changes"`
	Faults     map[string]int               `json:"faults"`
	Settled    time.Duration                `json:"settled-ns"`
	Violations []checker.Violation          `json:"violations"`
}

// soak is one run.
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
	// claimed holds the processes and links that a fault hits now.
	claimed map[string]bool
}

// Run runs a soak and writes each fault to log.
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
	if err := s.bringUp(ctx); err != nil {
		return nil, err
	}
	faulty, end := context.WithTimeout(ctx, cfg.Duration)
	defer end()
	// Each part draws from its own generator, so that the seed fixes what each
	// does whatever the others' pace.
	s.wg.Add(2)
	go s.makeCalls(ctx, faulty, s.random(1))
	go s.makeChanges(ctx, faulty, s.random(2))
	var injectors errgroup.Group
	for n := range uint64(faultsTogether) {
		injectors.Go(func() error { return s.injectFaults(ctx, faulty, s.random(3+n)) })
	}
	if err := injectors.Wait(); err != nil {
		return nil, err
	}
	s.wg.Wait()
	return s.finish(ctx)
}

func (s *soak) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.cfg.Seed, part)) }

func (s *soak) say(format string, args ...any) {
	fmt.Fprintf(s.log, "%7.2fs  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// finish waits for convergence and decides.
func (s *soak) finish(ctx context.Context) (*Result, error) {
	begun := time.Now()
	late := s.settle(ctx)
	s.result.Settled = time.Since(begun)
	for _, t := range s.fleet.Targets() {
		if err := s.recorder.AddJournal(t.Name, s.fleet.JournalPath(t.Name)); err != nil {
			return nil, err
		}
	}
	for _, d := range s.fleet.Daemons() {
		s.recorder.PollDaemon(ctx, d.Name, d.OperatorURL)
	}
	s.result.Duration = time.Since(s.start)
	s.result.Calls, s.result.Causes = s.recorder.Counts(), s.recorder.Causes()
	s.result.Violations = append(s.recorder.Check(), late...)
	return &s.result, nil
}

// InForceEverywhere says that after all faults each daemon has the newest
// accepted version in force.
const InForceEverywhere checker.Invariant = "in-force-everywhere"

// settle waits until all daemons have the newest accepted version in force.
func (s *soak) settle(ctx context.Context) []checker.Violation {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	var late []checker.Violation
	for _, d := range s.fleet.Daemons() {
		for {
			got, err := readVersion(ctx, d.OperatorURL)
			if err == nil && got == s.recorder.Newest() {
				break
			}
			if sleeper.Sleep(ctx, pollInterval) != nil {
				detail := fmt.Sprintf("version %d in force, want %d (%v)", got, s.recorder.Newest(), err)
				late = append(late, checker.Violation{Invariant: InForceEverywhere, Subject: d.Name, Detail: detail})
				break
			}
		}
	}
	return late
}
