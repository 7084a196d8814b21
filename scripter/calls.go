package scripter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/caller"
)

// batch is a series of calls of the same kind that run in the background.
type batch struct {
	// stop ends a batch without a count; it does nothing to one with a count.
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	ids     []string // of the calls that have begun
	results []caller.Result
}

// batchPlan says which calls a batch makes and when.
type batchPlan struct {
	call caller.Call
	// entries holds the names of the entry daemons, which are used in turn.
	entries []string
	// count is the number of calls; 0 means that calls start until end-calls.
	count int
	// fixedID is the ID of all calls, as if one call were sent again and again. If
	// it is "", each call has its own ID, NAME-N.
	fixedID string
	// directTarget names a target that is called directly, bypassing the daemons;
	// "" is none.
	directTarget string
	// interval is the time from the beginning of one call to that of the next.
	interval time.Duration
	timeout  time.Duration // of each call
}

// Defaults of the options every and timeout of the call command.
const (
	defaultInterval    = 10 * time.Millisecond
	defaultCallTimeout = 30 * time.Second
)

// call starts a batch of calls in the background.
func (s *scenario) call(_ *testscript.TestScript, args []string) error {
	p, err := parsePlan(args)
	if err != nil {
		return err
	}
	for _, entry := range p.entries {
		if _, err := s.fleet.Daemon(entry); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(s.ctx)
	b := &batch{stop: stop}
	if p.count > 0 {
		ctx, b.stop = s.ctx, func() {}
		stop()
	}
	s.mu.Lock()
	s.batches[args[0]] = b
	s.mu.Unlock()
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		s.runBatch(ctx, b, p)
	}()
	return nil
}

// parsePlan parses the arguments of the call command.
func parsePlan(args []string) (batchPlan, error) {
	p := batchPlan{
		call:    caller.Call{ID: args[0], Method: args[2], Path: args[3]},
		entries: strings.Split(args[1], ","), count: 1, interval: defaultInterval, timeout: defaultCallTimeout,
	}
	for _, option := range args[4:] {
		name, value, _ := strings.Cut(option, "=")
		var err error
		switch name {
		case "count":
			p.count, err = strconv.Atoi(value)
		case "every":
			p.interval, err = time.ParseDuration(value)
		case "timeout":
			p.timeout, err = time.ParseDuration(value)
		case "bytes":
			p.call.BodyBytes, err = strconv.Atoi(value)
		case "past":
			p.directTarget = value
		case "id":
			p.fixedID = value
		case "key":
			p.call.Key = value
		case "content":
			p.call.Content = value
		default:
			err = errors.New("unknown option")
		}
		if err != nil {
			return batchPlan{}, fmt.Errorf("%s: %w", option, err)
		}
	}
	return p, nil
}

// runBatch starts the calls of a batch, one per interval.
func (s *scenario) runBatch(ctx context.Context, b *batch, p batchPlan) {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for i := 0; p.count == 0 || i < p.count; i++ {
		call := p.call
		call.ID = cmp.Or(p.fixedID, fmt.Sprintf("%s-%d", p.call.ID, i))
		call.Entry = p.entries[i%len(p.entries)]
		d, err := s.fleet.Daemon(call.Entry)
		if err != nil {
			return
		}
		call.URL = d.CallerURL
		if t, err := s.fleet.Target(p.directTarget); err == nil {
			call.URL = t.URL
		}
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			s.doCall(b, call, p.timeout)
		}()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// doCall makes one call of a batch and records its result.
func (s *scenario) doCall(b *batch, call caller.Call, timeout time.Duration) {
	b.mu.Lock()
	b.ids = append(b.ids, call.ID)
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	result := s.caller.Do(ctx, call)
	s.recorder.AddResults(result)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, result)
}

// endCalls waits until the calls of the named batches have ended. A batch without
// a count starts no further calls.
func (s *scenario) endCalls(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		b, err := s.findBatch(name)
		if err != nil {
			return err
		}
		b.stop()
		b.wg.Wait()
	}
	return nil
}

// findBatch returns the batch with the given name.
func (s *scenario) findBatch(name string) (*batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.batches[name]
	if !ok {
		return nil, fmt.Errorf("no batch of calls named %q", name)
	}
	return b, nil
}

// countOutcomes returns the numbers that conditions on outcomes can name: the
// calls that have begun and ended, and those that ended by OUTCOME and by
// OUTCOME/CAUSE, for example not-run and not-run/queue-full. Answered calls are
// also counted as status/CODE.
func (b *batch) countOutcomes() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{"begun": len(b.ids), "ended": len(b.results)}
	for _, result := range b.results {
		counts[string(result.Outcome)]++
		counts[string(result.Outcome)+"/"+result.Cause]++
		if result.Outcome == caller.Answered {
			counts["status/"+strconv.Itoa(result.Status)]++
		}
	}
	return counts
}

// hasID reports whether a call of the batch with this ID has begun.
func (b *batch) hasID(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.ids, id)
}

// maxDescribedCalls is the number of unanswered calls that a failed assertion
// lists.
const maxDescribedCalls = 4

// describeUnanswered describes the first maxDescribedCalls calls that ended
// without an answer.
func (b *batch) describeUnanswered() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for _, result := range b.results {
		if result.Outcome != caller.Answered && len(lines) < maxDescribedCalls {
			lines = append(lines, fmt.Sprintf("%s at %s: %s %s after %s", result.Call.ID, result.Call.Entry,
				result.Outcome, result.Cause, result.Finished.Sub(result.Begun).Round(time.Millisecond)))
		}
	}
	return strings.Join(lines, "; ")
}
