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

// fault is what happens to one call of the store.
type fault int

const (
	_ fault = iota
	// faultLostBefore loses the request.
	faultLostBefore
	// faultLostAfter loses the answer after the call took effect.
	faultLostAfter
	// faultLate loses the answer at once; the call takes effect later.
	faultLate
)

// step is one entry of a fault script.
type step struct {
	delay time.Duration
	fault fault
	// cut is how long every later call is lost.
	cut time.Duration
}

// faultyClient is one editor's way to the store. Its script is used up call by
// call; after that every call succeeds.
type faultyClient struct {
	storer.Client
	// only limits the script to writes of these keys; empty means every call.
	only []string
	// late is how long after the loss a late call takes effect.
	late   time.Duration
	mu     sync.Mutex
	script []step
	// cutUntil is when calls get through again.
	cutUntil time.Time
	wg       sync.WaitGroup
}

var errInjected = errors.New("injected")

func (c *faultyClient) next(key string, write bool) step {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.cutUntil) {
		return step{fault: faultLostBefore}
	}
	if len(c.script) == 0 || len(c.only) > 0 && (!write || !slices.Contains(c.only, key)) {
		return step{}
	}
	s := c.script[0]
	c.script = c.script[1:]
	if s.cut > 0 {
		c.cutUntil = time.Now().Add(s.delay + s.cut)
	}
	return s
}

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
	case faultLostBefore:
		return none, lost
	case faultLostAfter:
		_, _ = do()
		return none, lost
	case faultLate:
		c.wg.Go(func() {
			time.Sleep(c.late)
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

func (c *cutAfterSwap) CompareAndSwap(ctx context.Context, key string, value []byte, expect storer.Revision, id storer.LeaseID) (storer.Revision, error) {
	if key == "config/head" {
		c.mu.Lock()
		c.script = append(c.script, c.cut...)
		c.cut = nil
		c.mu.Unlock()
	}
	return c.faultyClient.CompareAndSwap(ctx, key, value, expect, id)
}
