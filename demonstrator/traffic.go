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

// traffic makes calls of all kinds in turn at all running daemons.
type traffic struct {
	caller *caller.Caller
	fleet  *fleet
	cancel context.CancelFunc
	wg     sync.WaitGroup
	done   atomic.Int64

	mu   sync.Mutex
	told []caller.Result
}

// callOnce makes one call outside the traffic.
func (t *traffic) callOnce(ctx context.Context, f *fleet) caller.Result {
	call := kinds()[0]
	call.URL, call.Entry = f.instances[0].callerURL(), f.instances[0].settings.InstanceID
	return caller.New().Do(ctx, call)
}

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

// run begins calls until running ends. The calls themselves go on to their end.
func (t *traffic) run(ctx, running context.Context) {
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	all := kinds()
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

func (t *traffic) do(ctx context.Context, call caller.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	told := t.caller.Do(ctx, call)
	t.fleet.recorder.AddResults(told)
	t.mu.Lock()
	t.told = append(t.told, told)
	t.mu.Unlock()
	t.done.Add(1)
}

// ended returns the number of calls that have come to their end.
func (t *traffic) ended() int64 { return t.done.Load() }

// await waits until n calls have come to their end.
func (t *traffic) await(ctx context.Context, n int64) error {
	for t.ended() < n {
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%d calls ended, want %d", t.ended(), n)
		}
	}
	return nil
}

// stop begins no further call and waits for those in flight.
func (t *traffic) stop() {
	t.cancel()
	t.wg.Wait()
}
