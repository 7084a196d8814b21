// Package quoter holds the calls of each tenant to one quota over all daemons.
//
// One daemon, the tenant's home, keeps the tenant's token bucket. The daemons at which
// calls of the tenant arrive ask the home for grants, a few ahead of need. The home is
// the highest-ranked instance for the tenant in rendezvous hashing; the next in rank
// takes over if it can't be reached. docs/design/quotas.md describes the protocol and
// why its sum stays within the bound.
package quoter

import (
	"context"
	"expvar"
	"fmt"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limit is the quota of a tenant over all daemons.
type Limit struct {
	// RatePerS is the number of calls per second.
	RatePerS float64
	// Burst is the number of calls that may be made at once beyond the rate.
	Burst float64
}

// Bounds states by how much calls may exceed a Limit: in any Window, the calls that run
// stay within (rate x Window + burst) x (1 + OverRatio) + Slack.
type Bounds struct {
	// Window is the time over which the bound holds; 0 means 5 s.
	Window time.Duration
	// OverRatio is a share of the limit.
	OverRatio float64
	// Slack is a number of calls.
	Slack float64
}

const (
	defaultWindow = 5 * time.Second
	// minGrantLifetime and maxGrantLifetime bound how long a grant may be used.
	minGrantLifetime = 50 * time.Millisecond
	maxGrantLifetime = 250 * time.Millisecond
)

// window returns Window or its default.
func (b Bounds) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

// grantLifetime returns how long a grant may be used after it was asked for. Grants that
// are used late exceed the rate by this time at most, which is half of OverRatio.
func (b Bounds) grantLifetime() time.Duration {
	d := time.Duration(b.OverRatio / 2 * float64(b.window()))
	return min(max(d, minGrantLifetime), maxGrantLifetime)
}

// startLevel returns the content of the bucket of a home that does not know what the home
// before it has granted.
func (b Bounds) startLevel() float64 { return b.Slack / 10 }

// capacity returns the capacity of a tenant's bucket at a home that grants the share of the
// rate: each part of a split fleet has one.
func (b Bounds) capacity(l Limit, share float64) float64 {
	return max(1, (l.Burst+b.Slack/4)*share)
}

// Ask is a request for grants of a tenant.
type Ask struct {
	Tenant string `cbor:"1,keyasint"`
	// Need is the number of calls that wait for a grant, Want that number and the calls
	// that are expected soon. An ask without either only shows that the receiver replies.
	Need int `cbor:"2,keyasint,omitempty"`
	Want int `cbor:"3,keyasint,omitempty"`
	// Skipped lists the instances of higher rank that the asker can't reach.
	Skipped []string `cbor:"4,keyasint,omitempty"`
	// TakesOver reports that the asker becomes the tenant's home: the receiver must
	// grant nothing more.
	TakesOver bool `cbor:"5,keyasint,omitempty"`
	// IsHome reports, on an ask without Need and Want, that the asker is a home of the tenant.
	IsHome bool `cbor:"6,keyasint,omitempty"`
}

// Reply is the reply to an Ask.
type Reply struct {
	// IsDecided reports that the sender is the tenant's home, so that Granted and
	// RetryAfterMS are set.
	IsDecided    bool  `cbor:"1,keyasint,omitempty"`
	Granted      int   `cbor:"2,keyasint,omitempty"`
	RetryAfterMS int64 `cbor:"3,keyasint,omitempty"`
	// Home is the tenant's home as the sender knows it, if that is another instance.
	Home string `cbor:"4,keyasint,omitempty"`
	// Level is the content of the bucket that the sender hands over, nil for none.
	Level *float64 `cbor:"5,keyasint,omitempty"`
	// IsIdle reports, in place of Level, that the sender has granted nothing to the tenant for
	// a whole window.
	IsIdle bool `cbor:"6,keyasint,omitempty"`
	// IsHome reports, for an ask without Need and Want, that the sender is a home of the tenant.
	IsHome bool `cbor:"7,keyasint,omitempty"`
}

// RefusedError reports a call that got no grant.
type RefusedError struct {
	Tenant string
	// IsOver reports that the tenant is over its quota. Otherwise the tenant's home can't
	// be reached and the share of this daemon is used up.
	IsOver     bool
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.IsOver {
		return fmt.Sprintf("tenant %s is over its quota", e.Tenant)
	}
	return fmt.Sprintf("no home of tenant %s can be reached", e.Tenant)
}

// Counters count what a Quoter did.
type Counters struct {
	// Admitted counts the calls of tenants with a quota that were admitted.
	Admitted expvar.Int
	// OverLimit counts the calls refused because their tenant was over its quota.
	OverLimit expvar.Int
	// Unreachable counts the calls refused because no home of their tenant could be reached.
	Unreachable expvar.Int
	// Fallback counts the calls admitted from this daemon's own share because no home of
	// their tenant could be reached.
	Fallback expvar.Int
	// Asks counts the messages about quotas sent to other daemons.
	Asks expvar.Int
	// AsksLost counts the messages about quotas that got no reply in time.
	AsksLost expvar.Int
	// Granted counts the grants that this daemon gave as the home of tenants.
	Granted expvar.Int
	// TakenOver counts the tenants of which this daemon became the home.
	TakenOver expvar.Int
	// GaveWay counts the tenants of which this daemon ceased to be the home because another
	// home of higher rank turned up.
	GaveWay expvar.Int
	// Returned counts the grants of calls that did not run and were used again.
	Returned expvar.Int
}

// Quoter decides at one daemon which calls of tenants with a quota may run. Members, Limit
// and Send must be set.
type Quoter struct {
	// InstanceID is the instance of this daemon.
	InstanceID string
	// Members returns the known instances. The value must not change; a change of the
	// members shows as another pointer.
	Members func() *Members
	// Limit returns the quota of a tenant and false if it has none here.
	Limit func(tenant string) (Limit, bool)
	// Send sends an ask to another instance and returns its reply. The reply's grants
	// may be used for a time that begins when Send is called.
	Send func(ctx context.Context, instanceID string, ask Ask) (Reply, error)
	// Log receives an event when this daemon becomes the home of a tenant and when a
	// tenant's home becomes unreachable; nil logs nothing.
	Log      *zap.Logger
	Counters Counters

	mu     sync.Mutex
	bounds Bounds
	// began is when this daemon started.
	began   time.Time
	stashes map[string]*stash
	homes   map[string]*home
	// moved holds the tenants that another daemon has taken over from this one.
	moved map[string]move
	peers peerTable
	known knownMembers
	swept time.Time
}

// SetBounds sets by how much calls may exceed the quotas. The first call tells the Quoter that
// this daemon has started.
func (q *Quoter) SetBounds(b Bounds) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bounds = b
	q.begin(time.Now())
}

// ObserveMembers looks for a change of the members. It is called from time to time, so that
// the Quoter knows for how long they have been the same.
func (q *Quoter) ObserveMembers() {
	members := q.Members()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.known.observe(time.Now(), members)
}

const (
	// idleRetention is how long the state of a tenant without calls is kept. A bucket
	// that is dropped loses its content.
	idleRetention = 10 * time.Minute
	// sweepInterval is the time between two searches for idle tenants.
	sweepInterval = time.Minute
)

// begin prepares the state on first use and drops idle tenants. The caller holds mu.
func (q *Quoter) begin(now time.Time) {
	if q.stashes == nil {
		q.stashes, q.homes, q.moved = make(map[string]*stash), make(map[string]*home), make(map[string]move)
		q.began, q.swept = now, now
	}
	if now.Sub(q.swept) < sweepInterval {
		return
	}
	q.swept = now
	for tenant, s := range q.stashes {
		if now.Sub(s.last) > idleRetention && !s.isAsking {
			delete(q.stashes, tenant)
		}
	}
	for tenant, h := range q.homes {
		if now.Sub(h.bucket.at) > idleRetention && h.isStarted() {
			delete(q.homes, tenant)
		}
	}
	for tenant, m := range q.moved {
		if now.Sub(m.until) > q.bounds.window() {
			delete(q.moved, tenant)
		}
	}
}

// logger returns Log, or a logger that discards everything.
func (q *Quoter) logger() *zap.Logger {
	if q.Log == nil {
		return zap.NewNop()
	}
	return q.Log
}

// retryAfter returns a number of seconds as a duration of a millisecond at least.
func retryAfter(seconds float64) time.Duration {
	return time.Duration(math.Ceil(max(1, seconds*1000))) * time.Millisecond
}
