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

// batch is a number of equal calls that run in the background.
type batch struct {
	// stop ends a batch without a count.
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu   sync.Mutex
	ids  []string
	told []caller.Result
}

// plan says how the calls of a batch are made.
type plan struct {
	call    caller.Call
	entries []string
	// count is the number of calls; 0 means until end-calls.
	count int
	// id replaces the calls' IDs if it is set, as if a call were sent again.
	id string
	// past names a target that is called past its daemon; "" is none.
	past string
	// every is the time from the beginning of one call to that of the next.
	every   time.Duration
	timeout time.Duration
}

const (
	defaultEvery   = 10 * time.Millisecond
	defaultTimeout = 30 * time.Second
)

// call starts calls and returns at once.
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

func parsePlan(args []string) (plan, error) {
	p := plan{
		call:    caller.Call{ID: args[0], Method: args[2], Path: args[3]},
		entries: strings.Split(args[1], ","), count: 1, every: defaultEvery, timeout: defaultTimeout,
	}
	for _, option := range args[4:] {
		name, value, _ := strings.Cut(option, "=")
		var err error
		switch name {
		case "count":
			p.count, err = strconv.Atoi(value)
		case "every":
			p.every, err = time.ParseDuration(value)
		case "timeout":
			p.timeout, err = time.ParseDuration(value)
		case "bytes":
			p.call.BodyBytes, err = strconv.Atoi(value)
		case "past":
			p.past = value
		case "id":
			p.id = value
		case "key":
			p.call.Key = value
		default:
			err = errors.New("unknown option")
		}
		if err != nil {
			return plan{}, fmt.Errorf("%s: %w", option, err)
		}
	}
	return p, nil
}

func (s *scenario) runBatch(ctx context.Context, b *batch, p plan) {
	tick := time.NewTicker(p.every)
	defer tick.Stop()
	for i := 0; p.count == 0 || i < p.count; i++ {
		call := p.call
		call.ID = cmp.Or(p.id, fmt.Sprintf("%s-%d", p.call.ID, i))
		call.Entry = p.entries[i%len(p.entries)]
		d, err := s.fleet.Daemon(call.Entry)
		if err != nil {
			return
		}
		call.URL = d.CallerURL
		if t, err := s.fleet.Target(p.past); err == nil {
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

func (s *scenario) doCall(b *batch, call caller.Call, timeout time.Duration) {
	b.mu.Lock()
	b.ids = append(b.ids, call.ID)
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	told := s.caller.Do(ctx, call)
	s.recorder.AddResults(told)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = append(b.told, told)
}

// endCalls waits for the end of the calls; a batch without a count starts no
// further ones.
func (s *scenario) endCalls(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		b, err := s.batch(name)
		if err != nil {
			return err
		}
		b.stop()
		b.wg.Wait()
	}
	return nil
}

func (s *scenario) batch(name string) (*batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.batches[name]
	if !ok {
		return nil, fmt.Errorf("no calls %q", name)
	}
	return b, nil
}

// outcomes counts the calls that have ended. OUTCOME/CAUSE is counted as well
// as OUTCOME, and the two name a posting told not-run as "not-run/queue-full".
func (b *batch) outcomes() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{"begun": len(b.ids), "ended": len(b.told)}
	for _, told := range b.told {
		counts[string(told.Outcome)]++
		counts[string(told.Outcome)+"/"+told.Cause]++
		if told.Outcome == caller.Answered {
			counts["status/"+strconv.Itoa(told.Status)]++
		}
	}
	return counts
}

func (b *batch) has(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.ids, id)
}

// maxSamples is the number of calls that a failed assertion shows.
const maxSamples = 4

// samples describes the first calls that were not answered.
func (b *batch) samples() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for _, told := range b.told {
		if told.Outcome != caller.Answered && len(lines) < maxSamples {
			lines = append(lines, fmt.Sprintf("%s at %s: %s %s after %s", told.Call.ID, told.Call.Entry,
				told.Outcome, told.Cause, told.Finished.Sub(told.Begun).Round(time.Millisecond)))
		}
	}
	return strings.Join(lines, "; ")
}
