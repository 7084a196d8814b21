package demonstrator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	callInterval = 10 * time.Millisecond
	callTimeout  = 15 * time.Second
)

// traffic makes calls of all kinds in turn, at the daemons of all instances in
// turn. A daemon that is down gets calls too.
type traffic struct {
	caller         *caller.Caller
	fleet          *fleet
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	completedCalls atomic.Int64

	mu      sync.Mutex
	results []caller.Result
}

// callOnce makes one call, which the report does not count.
func (t *traffic) callOnce(ctx context.Context, f *fleet) caller.Result {
	call := callKinds()[0]
	call.URL, call.Entry = f.instances[0].callerURL(), f.instances[0].settings.InstanceID
	return caller.New().Do(ctx, call)
}

// start starts the traffic. ctx bounds the calls.
func (t *traffic) start(ctx context.Context, f *fleet) {
	t.caller, t.fleet = caller.New(), f
	running, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.run(ctx, running)
	}()
}

// run starts calls until running is done. Calls in flight continue under ctx.
func (t *traffic) run(ctx, running context.Context) {
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	all := callKinds()
	for n := 0; ; n++ {
		select {
		case <-running.Done():
			return
		case <-tick.C:
		}
		call := all[n%len(all)]
		call.ID = fmt.Sprintf("%s-%d", call.ID, n)
		entry := t.fleet.instances[n%len(t.fleet.instances)]
		call.URL, call.Entry = entry.callerURL(), entry.settings.InstanceID
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.do(ctx, call)
		}()
	}
}

// do makes one call and records its result.
func (t *traffic) do(ctx context.Context, call caller.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := t.caller.Do(ctx, call)
	t.fleet.recorder.AddResults(result)
	t.mu.Lock()
	t.results = append(t.results, result)
	t.mu.Unlock()
	t.completedCalls.Add(1)
}

// completed returns the number of calls that have ended, with any outcome.
func (t *traffic) completed() int64 { return t.completedCalls.Load() }

// await waits until n calls have ended.
func (t *traffic) await(ctx context.Context, n int64) error {
	for t.completed() < n {
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%d calls ended, want %d", t.completed(), n)
		}
	}
	return nil
}

// stop stops starting calls and waits for those in flight.
func (t *traffic) stop() {
	t.cancel()
	t.wg.Wait()
}
