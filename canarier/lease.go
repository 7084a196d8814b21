package canarier

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/storer"
)

// holdLease claims or renews the leader's key and reports whether this daemon leads. A leader
// that can't reach the store still leads, but can raise no share, as that needs the store.
func (l *Leader) holdLease(ctx context.Context) bool {
	if l.lease != 0 && time.Since(l.renewedAt) < l.LeaseTTL/3 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if l.lease == 0 {
		return l.claim(ctx)
	}
	err := l.Store.Renew(ctx, l.lease)
	var missing *storer.NotFoundError
	switch {
	case err == nil:
		l.renewedAt = time.Now()
	case errors.As(err, &missing):
		l.lose()
		return l.claim(ctx)
	default:
		l.Part.Counters.StoreFailures.Add(1)
	}
	return true
}

// claim tries to take the leader's key, at most once in claimInterval.
func (l *Leader) claim(ctx context.Context) bool {
	if time.Now().Before(l.nextClaim) {
		return false
	}
	l.nextClaim = time.Now().Add(claimInterval)
	var missing *storer.NotFoundError
	if _, err := l.Store.Get(ctx, leaderKey); !errors.As(err, &missing) {
		return false
	}
	lease, err := l.Store.Grant(ctx, l.LeaseTTL)
	if err != nil {
		l.Part.Counters.StoreFailures.Add(1)
		return false
	}
	began := time.Now()
	revision, err := l.Store.CompareAndSwap(ctx, leaderKey, []byte(l.InstanceID), 0, lease)
	if err != nil {
		l.revoke(ctx, lease)
		return false
	}
	l.lease, l.term, l.renewedAt = lease, uint64(revision), began
	l.mu.Lock()
	l.runs = make(map[string]*run)
	l.mu.Unlock()
	l.Part.Lead(l.judge)
	l.logger().Info("rollout-leader-begun", zap.Uint64("term", revision.Number()))
	return true
}

// resign gives the leader's key back, if this daemon holds it.
func (l *Leader) resign(ctx context.Context) {
	if l.lease == 0 {
		return
	}
	lease := l.lease
	l.lose()
	l.revoke(ctx, lease)
}

// lose stops leading.
func (l *Leader) lose() {
	l.Part.Lead(nil)
	l.lease = 0
	l.mu.Lock()
	l.runs = nil
	l.mu.Unlock()
	l.logger().Info("rollout-leader-ended")
}

// revoke ends a lease, also after ctx has ended.
func (l *Leader) revoke(ctx context.Context, lease storer.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	_ = l.Store.Revoke(ctx, lease)
}

// judge takes in evidence.
func (l *Leader) judge(e *Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[e.Service]; r != nil && r.order.Revision == e.Revision {
		r.judge.Add(e)
	}
}
