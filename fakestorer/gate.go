package fakestorer

import (
	"context"
	"errors"
	"sync"
	"time"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
)

// Fault is a way in which the service fails one of its clients.
type Fault struct {
	// IsDown refuses all calls.
	IsDown bool
	// Delay is added to each call.
	Delay time.Duration
	// LosesAnswers lets writes take effect and then reports them as failed.
	LosesAnswers bool
}

// FaultInjector stands between one client and the service and fails its calls. Client
// must be set; the zero Fault passes all calls.
type FaultInjector struct {
	Client storer.Client

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	calls   int64
}

var _ storer.Client = (*FaultInjector)(nil)

// Set changes the fault. Calls that wait fail when the service goes down.
func (g *FaultInjector) Set(f Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}

// Calls returns the number of calls that were let through.
func (g *FaultInjector) Calls() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

func (g *FaultInjector) state() (Fault, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.fault, g.changed
}

var errFault = errors.New("fault")

// pass runs one call under the fault.
func pass[T any](ctx context.Context, g *FaultInjector, op string, isWrite bool, call func(context.Context) (T, error)) (T, error) {
	var none T
	fault, changed := g.state()
	if err := sleeper.Sleep(ctx, fault.Delay); err != nil {
		return none, &storer.UnavailableError{Op: op, Cause: err}
	}
	if fault.IsDown {
		return none, &storer.UnavailableError{Op: op, Cause: errFault}
	}
	g.mu.Lock()
	g.calls++
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.cancelWhenDown(ctx, cancel, changed)
	out, err := call(ctx)
	now, _ := g.state()
	if now.IsDown || (isWrite && now.LosesAnswers) {
		return none, &storer.UnavailableError{Op: op, Cause: errFault}
	}
	return out, err
}

// cancelWhenDown ends a waiting call when the service goes down under it.
func (g *FaultInjector) cancelWhenDown(ctx context.Context, cancel context.CancelFunc, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		var fault Fault
		if fault, changed = g.state(); fault.IsDown {
			cancel()
			return
		}
	}
}

func noValue(err error) (struct{}, error) { return struct{}{}, err }

// Get implements storer.Client.
func (g *FaultInjector) Get(ctx context.Context, key string) (storer.Item, error) {
	return pass(ctx, g, "get", false, func(ctx context.Context) (storer.Item, error) { return g.Client.Get(ctx, key) })
}

// List implements storer.Client.
func (g *FaultInjector) List(ctx context.Context, prefix string) ([]storer.Item, error) {
	return pass(ctx, g, "list", false, func(ctx context.Context) ([]storer.Item, error) { return g.Client.List(ctx, prefix) })
}

// CompareAndSwap implements storer.Client.
func (g *FaultInjector) CompareAndSwap(ctx context.Context, key string, value []byte, expect storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	return pass(ctx, g, "compare-and-swap", true, func(ctx context.Context) (storer.Revision, error) {
		return g.Client.CompareAndSwap(ctx, key, value, expect, lease)
	})
}

// Delete implements storer.Client.
func (g *FaultInjector) Delete(ctx context.Context, key string, expect storer.Revision) error {
	_, err := pass(ctx, g, "delete", true, func(ctx context.Context) (struct{}, error) {
		return noValue(g.Client.Delete(ctx, key, expect))
	})
	return err
}

// Watch implements storer.Client.
func (g *FaultInjector) Watch(ctx context.Context, key string, after storer.Revision, wait time.Duration) (storer.Item, error) {
	return pass(ctx, g, "watch", false, func(ctx context.Context) (storer.Item, error) { return g.Client.Watch(ctx, key, after, wait) })
}

// Grant implements storer.Client.
func (g *FaultInjector) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	return pass(ctx, g, "grant", true, func(ctx context.Context) (storer.LeaseID, error) { return g.Client.Grant(ctx, ttl) })
}

// Renew implements storer.Client.
func (g *FaultInjector) Renew(ctx context.Context, id storer.LeaseID) error {
	_, err := pass(ctx, g, "renew", true, func(ctx context.Context) (struct{}, error) {
		return noValue(g.Client.Renew(ctx, id))
	})
	return err
}

// Revoke implements storer.Client.
func (g *FaultInjector) Revoke(ctx context.Context, id storer.LeaseID) error {
	_, err := pass(ctx, g, "revoke", true, func(ctx context.Context) (struct{}, error) {
		return noValue(g.Client.Revoke(ctx, id))
	})
	return err
}
