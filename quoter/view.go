package quoter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxViews bounds the tenants that Views returns.
const maxViews = 100

// View describes the quota of one tenant as a daemon sees it.
type View struct {
	Tenant string `json:"tenant"`
	// CallsPerS is the rate of the tenant's calls at this daemon.
	CallsPerS float64 `json:"calls-per-s"`
	// Admitted, OverLimit and Unreachable count the tenant's calls at this daemon that were
	// admitted, refused over the quota, and refused since no home replied.
	Admitted    uint64 `json:"admitted"`
	OverLimit   uint64 `json:"over-limit"`
	Unreachable uint64 `json:"unreachable"`
	// Stash is the number of grants that this daemon holds.
	Stash int `json:"stash"`
	// Home is the instance that keeps the quota, as far as this daemon knows.
	Home string `json:"home"`
	// HomeState is set where this daemon is the home.
	HomeState *HomeState `json:"home-state,omitempty"`
}

// HomeState describes the bucket of a tenant at its home.
type HomeState struct {
	// Left is the number of calls that may be admitted at once, Share the part of the rate
	// that the home grants.
	Left  float64 `json:"left"`
	Share float64 `json:"share"`
	// Granted counts the grants to all daemons since this one became the home.
	Granted uint64 `json:"granted"`
}

// Views returns the tenants with the most calls at this daemon and those of which it is the
// home, at most maxViews in all.
func (q *Quoter) Views() []View {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	members := q.known.observe(now, q.Members())
	var views []View
	for tenant, s := range q.stashes {
		decay := math.Exp(-float64(now.Sub(s.last)) / float64(demandTime))
		views = append(views, View{
			Tenant: tenant, CallsPerS: s.calls * decay / demandTime.Seconds(), Stash: s.remaining(now),
			Admitted: s.admitted, OverLimit: s.overLimit, Unreachable: s.unreachable,
		})
	}
	for tenant := range q.homes {
		if q.stashes[tenant] == nil {
			views = append(views, View{Tenant: tenant})
		}
	}
	slices.SortFunc(views, func(a, b View) int {
		return cmp.Or(cmp.Compare(b.CallsPerS, a.CallsPerS), cmp.Compare(a.Tenant, b.Tenant))
	})
	views = views[:min(len(views), maxViews)]
	for i := range views {
		v := &views[i]
		if top := order(v.Tenant, members.Ready); len(top) > 0 {
			v.Home = top[0]
		}
		if limit, ok := q.Limit(v.Tenant); ok && q.homes[v.Tenant] != nil {
			v.HomeState = q.homeState(now, v.Tenant, limit)
		}
	}
	return views
}

// homeState returns the state of a tenant's bucket, or nil if this daemon has yet to take it
// over. The caller holds mu.
func (q *Quoter) homeState(now time.Time, tenant string, limit Limit) *HomeState {
	h := q.homes[tenant]
	if !h.isStarted() {
		return nil
	}
	b := h.bucket
	share := q.tenantShare(now, tenant, h)
	b.refill(now, limit.RatePerS*share, q.bounds.capacity(limit, share))
	return &HomeState{Left: b.level, Share: share, Granted: h.granted}
}

// remaining returns the number of grants that can be used.
func (s *stash) remaining(now time.Time) int {
	if !now.Before(s.expires) {
		return 0
	}
	return s.left
}
