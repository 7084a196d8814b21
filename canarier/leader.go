package canarier

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/recoverer"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// leaderKey is the key that the leader holds under a lease.
	leaderKey = "rollout/leader"
	// roundInterval is the time between two rounds of the leader.
	roundInterval = 250 * time.Millisecond
	// watcherCheckInterval is how often a daemon checks whether it watches for orders, and
	// claimInterval how often it tries to lead.
	watcherCheckInterval = time.Second
	claimInterval        = time.Second
	// watchWait is the longest wait of one watch for orders.
	watchWait = 5 * time.Second
	// storeTimeout bounds the calls of a round, which a stalled store must not delay.
	storeTimeout = 600 * time.Millisecond
	// refreshesPerTTL is how many equal directives are sent while the share of one applies.
	refreshesPerTTL = 3
	// ttlPart is the part of RollbackWithin for which the share of a directive applies: a daemon
	// that hears nothing stops in time by itself.
	ttlPart = 0.6
	// movedTTL is the same once the whole traffic has moved: the old targets may then stop
	// before a new leader is found.
	movedTTL = 15 * time.Second
	// unknownServiceWait is how long an order may name a service before the configuration does.
	unknownServiceWait = 3 * time.Second
	// fleetWait is how long a leader that does not know the whole fleet waits for the rest. It
	// then decides by the targets that it knows, but never that a service has moved already.
	fleetWait = 3 * time.Second
	// maxUnseenTime and maxUnseenPart bound the time for which an order may have been in the store
	// before a daemon that begins to watch found it there, the second as a part of its duration.
	maxUnseenTime = 4 * time.Second
	maxUnseenPart = 0.25
	// returnTime is how long after its loss a target counts as one that may come back.
	returnTime = 30 * time.Second
)

// Codec reads and writes the store's values.
type Codec struct {
	// OrderPrefix and StatusPrefix begin the keys of orders and states, which the service's
	// name ends.
	OrderPrefix, StatusPrefix string
	// DecodeOrder reads an order for the service. If it fails, the order holds what could be
	// read.
	DecodeOrder  func(service string, value []byte) (Order, error)
	EncodeStatus func(Status) ([]byte, error)
	DecodeStatus func(value []byte) (Status, error)
}

// Leader watches for orders while this daemon is a relay, and decides them while it holds the
// leader's key. All fields but Log must be set before Run.
//
// Invariant: a larger share and a final state are in the store before they are announced; a
// smaller share is announced first.
type Leader struct {
	Store storer.PrefixWatcher
	Codec Codec
	Part  *Part
	Table *tracker.Table
	// InstanceID is written to the leader's key.
	InstanceID string
	// IsWatcher reports whether this daemon watches the store for its failure domain.
	IsWatcher func() bool
	// HasService reports whether the configuration in force has the service.
	HasService func(service string) bool
	// KnowsFleet reports whether Table has a record of every instance of the fleet. A daemon
	// that has just started knows a part of them at first.
	KnowsFleet func() bool
	// ExposureShare bounds the share of a service's calls that a bad version may get.
	ExposureShare float64
	// RollbackWithin is the time in which a bad version must get no more calls.
	RollbackWithin time.Duration
	// LeaseTTL is how long the leader's key stays after its last renewal.
	LeaseTTL time.Duration
	Log      *zap.Logger

	wakeOnce sync.Once
	wake     chan struct{}

	mu sync.Mutex
	// orders holds the orders that are not decided as far as this daemon knows.
	orders map[string]seenOrder
	// runs holds the orders that this daemon decides, nil unless it leads. It is used by the
	// rounds alone, but for the judges, which mu guards.
	runs      map[string]*run
	lease     storer.LeaseID
	term      uint64
	nextClaim time.Time
	renewedAt time.Time
}

// seenOrder is an order with when it was first seen.
type seenOrder struct {
	Order
	err    error
	seenAt time.Time
	// wasThere says that the order was found when this daemon began to watch, so that it may
	// have been given some time before.
	wasThere bool
}

// began returns when the order was given, or before that if it may have been unseen for a while:
// a version that is good is completed in its time all the same.
func (o *seenOrder) began() time.Time {
	if !o.wasThere {
		return o.seenAt
	}
	return o.seenAt.Add(-min(maxUnseenTime, time.Duration(maxUnseenPart*float64(o.Duration))))
}

// Run watches for orders and decides them until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.wakeOnce.Do(func() { l.wake = make(chan struct{}, 1) })
	var wg sync.WaitGroup
	wg.Go(func() { l.lead(ctx) })
	for ctx.Err() == nil {
		if !l.IsWatcher() {
			l.setOrders(nil)
			_ = sleeper.Sleep(ctx, watcherCheckInterval)
			continue
		}
		if err := l.watch(ctx); err != nil && ctx.Err() == nil {
			l.Part.Counters.StoreFailures.Add(1)
			_ = sleeper.Sleep(ctx, watcherCheckInterval)
		}
	}
	wg.Wait()
}

// watch reads all orders and waits for changes, until a call fails or this daemon is no longer
// a watcher.
func (l *Leader) watch(ctx context.Context) error {
	at, err := l.readOrders(ctx, true)
	for err == nil && l.IsWatcher() {
		var unchanged *storer.NotFoundError
		var compacted *storer.CompactedError
		at, err = l.Store.AwaitChange(ctx, l.Codec.OrderPrefix, at, watchWait)
		switch {
		case errors.As(err, &unchanged):
			err = nil
		case err == nil, errors.As(err, &compacted):
			at, err = l.readOrders(ctx, false)
		}
	}
	return err
}

// readOrders reads all orders and states, announces them, and returns the revision at which it
// read them. isFirst says that this daemon begins to watch.
func (l *Leader) readOrders(ctx context.Context, isFirst bool) (storer.Revision, error) {
	items, at, err := l.Store.ListAt(ctx, l.Codec.OrderPrefix)
	if err != nil {
		return at, err
	}
	if len(items) == 0 {
		l.setOrders(nil)
		return at, nil
	}
	states, err := l.Store.List(ctx, l.Codec.StatusPrefix)
	if err != nil {
		return at, err
	}
	statuses := make(map[string]Status)
	for _, item := range states {
		if st, ok := l.decodeStatus(item); ok {
			statuses[item.Key[len(l.Codec.StatusPrefix):]] = st
		}
	}
	open := make(map[string]seenOrder)
	for _, item := range items {
		o := l.decodeOrder(item)
		o.wasThere = isFirst
		st, ok := statuses[o.Service]
		if ok && st.isVerdict() && st.Version == o.Version && o.err == nil {
			l.Part.Publish(finalDirective(st, o.Revision, 0))
			continue
		}
		if o.err == nil && !l.isMoved(o.Order, st) && !l.isCompleted(o.Order) {
			l.Part.Publish(Directive{Service: o.Service, Version: o.Version, Revision: o.Revision, State: StateRunning, Barred: st.Barred})
		}
		open[o.Service] = o
	}
	l.setOrders(open)
	return at, nil
}

// decodeOrder returns the order of an item. A panic or an invalid order is its error.
func (l *Leader) decodeOrder(item storer.Item) (o seenOrder) {
	service := item.Key[len(l.Codec.OrderPrefix):]
	defer recoverer.Recover(l.logger(), "order", func() {
		o = seenOrder{Order: Order{Service: service, Revision: uint64(item.Revision)}, err: errDecodePanic, seenAt: time.Now()}
	})
	order, err := l.Codec.DecodeOrder(service, item.Value)
	order.Service, order.Revision = service, uint64(item.Revision)
	return seenOrder{Order: order, err: err, seenAt: time.Now()}
}

// errDecodePanic means that decoding a value panicked.
var errDecodePanic = errors.New("decoding the value failed")

// decodeStatus returns the state that an item holds, and false if it can't be read.
func (l *Leader) decodeStatus(item storer.Item) (st Status, ok bool) {
	defer recoverer.Recover(l.logger(), "rollout-status", func() { ok = false })
	st, err := l.Codec.DecodeStatus(item.Value)
	if err != nil {
		l.Part.Counters.Malformed.Add(1)
		l.logger().Warn("rollout-malformed", zap.String("key", item.Key), zap.Error(err))
		return Status{}, false
	}
	return st, true
}

// isMoved reports whether the service has no other version than the order's, and no order for it
// runs: then there is nothing to move. Targets of another version that this daemon has not met
// yet, or that were lost a short time ago, may still come to serve beside those it knows.
func (l *Leader) isMoved(o Order, st Status) bool {
	room := l.room(o)
	return room.NewTargets > 0 && room.OldTargets == 0 && (st.State != StateRunning || st.Version != o.Version) &&
		l.KnowsFleet() && !l.mayReturn(o)
}

// mayReturn reports whether targets of another version were lost a short time ago.
func (l *Leader) mayReturn(o Order) bool {
	return slices.ContainsFunc(l.Table.GoneSince(time.Now().Add(-returnTime)), func(r tracker.Record) bool {
		return r.IsLost() && r.Service == o.Service && r.Version != o.Version && !l.Part.IsBarred(o.Service, r.Version)
	})
}

// isCompleted reports whether this daemon knows that an order for the version has completed.
func (l *Leader) isCompleted(o Order) bool {
	known, ok := l.Part.Known(o.Service)
	return ok && known.State == StateCompleted && known.Version == o.Version
}

// room returns the room of a service's targets.
func (l *Leader) room(o Order) Room {
	var room Room
	for _, r := range l.Table.Service(o.Service) {
		switch {
		case r.Version == o.Version:
			room.NewTargets++
			room.NewSlots += max(1, r.Slots)
		case !l.Part.IsBarred(o.Service, r.Version):
			room.OldTargets++
			room.OldSlots += max(1, r.Slots)
		}
	}
	room.IsPartial = !l.KnowsFleet()
	return room
}

// setOrders replaces the undecided orders and wakes the leader's rounds.
func (l *Leader) setOrders(orders map[string]seenOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, o := range orders {
		if old, ok := l.orders[service]; ok && old.Version == o.Version {
			o.seenAt, o.wasThere = old.seenAt, old.wasThere
			orders[service] = o
		}
	}
	l.orders = orders
	if len(orders) > 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// openOrders returns the undecided orders, sorted by service.
func (l *Leader) openOrders() []seenOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []seenOrder
	for _, service := range slices.Sorted(maps.Keys(l.orders)) {
		open = append(open, l.orders[service])
	}
	return open
}

// closeDecided removes the orders that another daemon has decided.
func (l *Leader) closeDecided() {
	for _, o := range l.openOrders() {
		if d, ok := l.Part.Known(o.Service); ok && d.State.IsFinal() && d.Version == o.Version && d.Revision >= o.Revision {
			l.closeOrder(o.Order)
		}
	}
}

// closeOrder removes an order that is decided.
func (l *Leader) closeOrder(o Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, o.Service)
	if l.orders[o.Service].Revision == o.Revision {
		delete(l.orders, o.Service)
	}
}

// lead makes rounds while there are undecided orders, until ctx ends.
func (l *Leader) lead(ctx context.Context) {
	for ctx.Err() == nil {
		l.closeDecided()
		if orders := l.openOrders(); len(orders) > 0 {
			l.round(ctx, orders)
			_ = sleeper.Sleep(ctx, roundInterval)
			continue
		}
		l.resign(ctx)
		select {
		case <-ctx.Done():
		case <-l.wake:
		}
	}
	l.resign(ctx)
}

// directiveTTL returns how long the share of a directive applies.
func (l *Leader) directiveTTL() time.Duration {
	return time.Duration(ttlPart * float64(l.RollbackWithin))
}

// logger returns Log, or a logger that discards everything if Log is nil.
func (l *Leader) logger() *zap.Logger {
	if l.Log == nil {
		return noLog
	}
	return l.Log
}

// finalDirective returns the directive of a decided order.
func finalDirective(st Status, revision, term uint64) Directive {
	return Directive{
		Service: st.Service, Version: st.Version, Revision: max(revision, st.Revision), Term: term, State: st.State, Reason: st.Reason, Barred: st.Barred,
	}
}
