package fakestorer

import (
	"context"
	"errors"
	"sync"
	"time"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
)

// Fault is a failure mode of the service as one client sees it.
type Fault struct {
	// IsDown makes all calls fail.
	IsDown bool
	// Delay is the time by which each call is delayed.
	Delay time.Duration
	// LosesAnswers makes writes fail after they have taken effect.
	LosesAnswers bool
}

// FaultInjector is a storer.Client that injects faults into the calls to another Client,
// which must be set. With the zero Fault it only forwards the calls.
type FaultInjector struct {
	Client storer.Client

	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes. It is nil until Set or
	// currentFault creates it.
	changed chan struct{}
	// calls counts the calls forwarded to Client.
	calls int64
}

var _ storer.Client = (*FaultInjector)(nil)

// Set replaces the fault. A fault with IsDown also fails the calls in flight.
func (fi *FaultInjector) Set(fault Fault) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.fault = fault
	if fi.changed != nil {
		close(fi.changed)
	}
	fi.changed = make(chan struct{})
}

// Calls returns the number of calls forwarded to Client.
func (fi *FaultInjector) Calls() int64 {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.calls
}

// currentFault returns the fault, and a channel that is closed when it changes.
func (fi *FaultInjector) currentFault() (Fault, <-chan struct{}) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if fi.changed == nil {
		fi.changed = make(chan struct{})
	}
	return fi.fault, fi.changed
}

// errFault is the cause in the errors of calls that fail because of a Fault.
var errFault = errors.New("fault")

// callWithFault forwards one call under the fault. A call during which the service
// goes down fails, even if it took effect.
func callWithFault[T any](ctx context.Context, fi *FaultInjector, op string, isWrite bool, call func(context.Context) (T, error)) (T, error) {
	var zero T
	fault, changed := fi.currentFault()
	if err := sleeper.Sleep(ctx, fault.Delay); err != nil {
		return zero, &storer.UnavailableError{Op: op, Cause: err}
	}
	if fault.IsDown {
		return zero, &storer.UnavailableError{Op: op, Cause: errFault}
	}
	fi.mu.Lock()
	fi.calls++
	fi.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go fi.cancelWhenDown(ctx, cancel, changed)
	out, err := call(ctx)
	current, _ := fi.currentFault()
	if current.IsDown || (isWrite && current.LosesAnswers) {
		return zero, &storer.UnavailableError{Op: op, Cause: errFault}
	}
	return out, err
}

// cancelWhenDown cancels a call in flight when the service goes down.
func (fi *FaultInjector) cancelWhenDown(ctx context.Context, cancel context.CancelFunc, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		var fault Fault
		if fault, changed = fi.currentFault(); fault.IsDown {
			cancel()
			return
		}
	}
}

// noValue adapts a result without a value to callWithFault.
func noValue(err error) (struct{}, error) { return struct{}{}, err }

// Get implements storer.Client.
func (fi *FaultInjector) Get(ctx context.Context, key string) (storer.Item, error) {
	return callWithFault(ctx, fi, "get", false, func(ctx context.Context) (storer.Item, error) { return fi.Client.Get(ctx, key) })
}

// List implements storer.Client.
func (fi *FaultInjector) List(ctx context.Context, prefix string) ([]storer.Item, error) {
	return callWithFault(ctx, fi, "list", false, func(ctx context.Context) ([]storer.Item, error) { return fi.Client.List(ctx, prefix) })
}

// ListAt implements storer.PrefixWatcher. Client must be one.
func (fi *FaultInjector) ListAt(ctx context.Context, prefix string) ([]storer.Item, storer.Revision, error) {
	var at storer.Revision
	items, err := callWithFault(ctx, fi, "list", false, func(ctx context.Context) ([]storer.Item, error) {
		items, revision, err := fi.Client.(storer.PrefixWatcher).ListAt(ctx, prefix)
		at = revision
		return items, err
	})
	return items, at, err
}

// AwaitChange implements storer.PrefixWatcher. Client must be one.
func (fi *FaultInjector) AwaitChange(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) (storer.Revision, error) {
	return callWithFault(ctx, fi, "watch", false, func(ctx context.Context) (storer.Revision, error) {
		return fi.Client.(storer.PrefixWatcher).AwaitChange(ctx, prefix, after, wait)
	})
}

// ListStale implements storer.Client.
func (fi *FaultInjector) ListStale(ctx context.Context, prefix string) ([]storer.Item, error) {
	return callWithFault(ctx, fi, "list", false, func(ctx context.Context) ([]storer.Item, error) { return fi.Client.ListStale(ctx, prefix) })
}

// CompareAndSwap implements storer.Client.
func (fi *FaultInjector) CompareAndSwap(ctx context.Context, key string, value []byte, expect storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	return callWithFault(ctx, fi, "compare-and-swap", true, func(ctx context.Context) (storer.Revision, error) {
		return fi.Client.CompareAndSwap(ctx, key, value, expect, lease)
	})
}

// Delete implements storer.Client.
func (fi *FaultInjector) Delete(ctx context.Context, key string, expect storer.Revision) error {
	_, err := callWithFault(ctx, fi, "delete", true, func(ctx context.Context) (struct{}, error) {
		return noValue(fi.Client.Delete(ctx, key, expect))
	})
	return err
}

// Watch implements storer.Client.
func (fi *FaultInjector) Watch(ctx context.Context, key string, after storer.Revision, wait time.Duration) (storer.Item, error) {
	return callWithFault(ctx, fi, "watch", false, func(ctx context.Context) (storer.Item, error) { return fi.Client.Watch(ctx, key, after, wait) })
}

// Grant implements storer.Client.
func (fi *FaultInjector) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	return callWithFault(ctx, fi, "grant", true, func(ctx context.Context) (storer.LeaseID, error) { return fi.Client.Grant(ctx, ttl) })
}

// Renew implements storer.Client.
func (fi *FaultInjector) Renew(ctx context.Context, id storer.LeaseID) error {
	_, err := callWithFault(ctx, fi, "renew", true, func(ctx context.Context) (struct{}, error) {
		return noValue(fi.Client.Renew(ctx, id))
	})
	return err
}

// Revoke implements storer.Client.
func (fi *FaultInjector) Revoke(ctx context.Context, id storer.LeaseID) error {
	_, err := callWithFault(ctx, fi, "revoke", true, func(ctx context.Context) (struct{}, error) {
		return noValue(fi.Client.Revoke(ctx, id))
	})
	return err
}
