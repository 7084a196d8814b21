package acceptor_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/storer"
)

// fault is the kind of failure of one call of the store.
type fault int

const (
	_ fault = iota
	// faultRequestLost loses the request, so that the call takes no effect.
	faultRequestLost
	// faultAnswerLost loses the answer after the call takes effect.
	faultAnswerLost
	// faultRequestLate fails the call at once, but the request takes effect later.
	faultRequestLate
)

// step is the delay and the fault of one call in a fault script.
type step struct {
	delay time.Duration
	fault fault
	// outage is the time after this call during which every call is lost.
	outage time.Duration
}

// faultyClient is one editor's client of the store. Each call uses up one step of
// the script; when the script is empty, calls succeed.
type faultyClient struct {
	storer.Client
	// onlyKeys limits the script to writes of these keys; if empty, the script applies
	// to every call.
	onlyKeys []string
	// lateDelay is the time after which a late request takes effect.
	lateDelay time.Duration
	mu        sync.Mutex
	script    []step
	// outageUntil is the end of the present outage.
	outageUntil time.Time
	wg          sync.WaitGroup
}

var errInjected = errors.New("injected")

// next returns the step that applies to a call.
func (c *faultyClient) next(key string, write bool) step {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.outageUntil) {
		return step{fault: faultRequestLost}
	}
	if len(c.script) == 0 || len(c.onlyKeys) > 0 && (!write || !slices.Contains(c.onlyKeys, key)) {
		return step{}
	}
	s := c.script[0]
	c.script = c.script[1:]
	if s.outage > 0 {
		c.outageUntil = time.Now().Add(s.delay + s.outage)
	}
	return s
}

// call runs one operation of the store with the fault of its step.
func call[T any](ctx context.Context, c *faultyClient, key string, write bool, do func() (T, error)) (T, error) {
	s := c.next(key, write)
	var none T
	lost := &storer.UnavailableError{Op: key, Cause: errInjected}
	if s.delay > 0 {
		select {
		case <-ctx.Done():
			return none, lost
		case <-time.After(s.delay):
		}
	}
	switch s.fault {
	case faultRequestLost:
		return none, lost
	case faultAnswerLost:
		_, _ = do()
		return none, lost
	case faultRequestLate:
		c.wg.Go(func() {
			time.Sleep(c.lateDelay)
			_, _ = do()
		})
		return none, lost
	}
	return do()
}

func (c *faultyClient) Get(ctx context.Context, key string) (storer.Item, error) {
	return call(ctx, c, key, false, func() (storer.Item, error) { return c.Client.Get(ctx, key) })
}

func (c *faultyClient) CompareAndSwap(ctx context.Context, key string, value []byte, expect storer.Revision, id storer.LeaseID) (storer.Revision, error) {
	return call(ctx, c, key, true, func() (storer.Revision, error) {
		return c.Client.CompareAndSwap(context.WithoutCancel(ctx), key, value, expect, id)
	})
}

func (c *faultyClient) Delete(ctx context.Context, key string, expect storer.Revision) error {
	_, err := call(ctx, c, key, true, func() (struct{}, error) { return struct{}{}, c.Client.Delete(ctx, key, expect) })
	return err
}

var _ storer.Client = (*faultyClient)(nil)

func newStore() *fakestorer.Store { return new(fakestorer.Store) }

// CompareAndSwap adds the outage to the script at the first swap of the head.
func (c *outageAfterSwap) CompareAndSwap(ctx context.Context, key string, value []byte, expect storer.Revision, id storer.LeaseID) (storer.Revision, error) {
	if key == "config/head" {
		c.mu.Lock()
		c.script = append(c.script, c.outage...)
		c.outage = nil
		c.mu.Unlock()
	}
	return c.faultyClient.CompareAndSwap(ctx, key, value, expect, id)
}
