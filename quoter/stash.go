package quoter

import (
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// demandTime is the time over which the calls of a tenant at this daemon are averaged.
	demandTime = time.Second
	// maxPause bounds how long this daemon refuses a tenant's calls without another ask.
	maxPause = 250 * time.Millisecond
	// unreachableRetryAfter is the advice to callers when no home can be reached. Another
	// daemon has taken over by then.
	unreachableRetryAfter = 300 * time.Millisecond
	// maxAsks bounds the instances that are asked in turn for one grant.
	maxAsks = 4
)

// verdict is the decision about a waiting call.
type verdict struct {
	expires time.Time
	refusal *RefusedError
}

// stash is what this daemon holds of the grants of one tenant.
type stash struct {
	limit Limit
	// left is the number of grants that may be used until expires.
	left    int
	expires time.Time
	// waiting holds the calls that wait for a grant, in the order of their arrival.
	waiting  []chan verdict
	isAsking bool
	// calls is the number of calls, each with a weight that decays over demandTime.
	calls float64
	last  time.Time
	// pausedUntil is until when calls are refused without another ask, returnAt when the home
	// expects to have grants for more calls.
	pausedUntil, returnAt time.Time
	// own holds the share of this daemon, which is used while no home can be reached.
	own       bucket
	usesOwn   bool
	order     []string
	orderedOf *Members
	// admitted, overLimit and unreachable count calls.
	admitted, overLimit, unreachable uint64
}

// Permit allows one call.
type Permit struct {
	tenant  string
	expires time.Time
}

// Admit waits for a grant for one call of a tenant. It fails with a *RefusedError, or with
// the error of ctx.
func (q *Quoter) Admit(ctx context.Context, tenant string, limit Limit) (Permit, error) {
	now := time.Now()
	q.mu.Lock()
	q.begin(now)
	s := q.stashes[tenant]
	if s == nil {
		s = new(stash)
		q.stashes[tenant] = s
	}
	s.limit = limit
	s.observe(now)
	if s.take(now) {
		expires := s.expires
		q.mu.Unlock()
		q.Counters.Admitted.Add(1)
		return Permit{tenant, expires}, nil
	}
	if now.Before(s.pausedUntil) {
		wait := s.returnAt.Sub(now)
		s.overLimit++
		q.mu.Unlock()
		q.Counters.OverLimit.Add(1)
		return Permit{}, &RefusedError{Tenant: tenant, IsOver: true, RetryAfter: wait}
	}
	decided := make(chan verdict, 1)
	s.waiting = append(s.waiting, decided)
	if !s.isAsking {
		s.isAsking = true
		go q.obtain(tenant, s)
	}
	q.mu.Unlock()
	select {
	case v := <-decided:
		return q.settle(tenant, v)
	case <-ctx.Done():
		q.abandon(tenant, s, decided)
		return Permit{}, ctx.Err()
	}
}

// settle returns the result of Admit for a call that has waited.
func (q *Quoter) settle(tenant string, v verdict) (Permit, error) {
	switch {
	case v.refusal == nil:
		q.Counters.Admitted.Add(1)
		return Permit{tenant, v.expires}, nil
	case v.refusal.IsOver:
		q.Counters.OverLimit.Add(1)
	default:
		q.Counters.Unreachable.Add(1)
	}
	return Permit{}, v.refusal
}

// abandon withdraws a waiting call. If it has got a grant by now, that goes to another.
func (q *Quoter) abandon(tenant string, s *stash, decided chan verdict) {
	q.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(c chan verdict) bool { return c == decided })
	q.mu.Unlock()
	select {
	case v := <-decided:
		if v.refusal == nil {
			q.Return(Permit{tenant, v.expires})
		}
	default:
	}
}

// Return gives back the permit of a call that has not run and never will.
func (q *Quoter) Return(p Permit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.stashes[p.tenant]
	now := time.Now()
	if s == nil || !now.Before(p.expires) {
		return
	}
	q.Counters.Returned.Add(1)
	s.put(now, 1, p.expires)
}

// observe counts a call.
func (s *stash) observe(now time.Time) {
	if elapsed := now.Sub(s.last); elapsed > 0 {
		s.calls *= math.Exp(-float64(elapsed) / float64(demandTime))
	}
	s.calls++
	s.last = now
}

// take takes a grant if there is one.
func (s *stash) take(now time.Time) bool {
	if s.left == 0 || !now.Before(s.expires) {
		s.left = 0
		return false
	}
	s.left--
	s.admitted++
	return true
}

// put adds grants. All then expire with those that expire first.
func (s *stash) put(now time.Time, n int, expires time.Time) {
	if s.left > 0 && now.Before(s.expires) && s.expires.Before(expires) {
		expires = s.expires
	}
	if !now.Before(s.expires) {
		s.left = 0
	}
	s.left += n
	s.expires = expires
}

// obtain asks for grants until no call of the tenant waits for one.
func (q *Quoter) obtain(tenant string, s *stash) {
	for {
		q.mu.Lock()
		if len(s.waiting) == 0 {
			s.isAsking = false
			q.mu.Unlock()
			return
		}
		lifetime := q.bounds.grantLifetime()
		soon := int(s.calls / demandTime.Seconds() * lifetime.Seconds() / 2)
		ask := Ask{Tenant: tenant, Need: len(s.waiting), Want: len(s.waiting) + soon}
		q.mu.Unlock()
		reply, expires, ok := q.askHomes(s, ask, lifetime)
		q.mu.Lock()
		now := time.Now()
		switch {
		case !ok:
			q.useOwnShare(now, tenant, s, ask.Need)
		case !now.Before(expires):
			// The grants have expired on their way. The home has counted them.
			s.refuse(len(s.waiting), &RefusedError{Tenant: tenant, RetryAfter: unreachableRetryAfter}, 0)
		default:
			s.usesOwn = false
			s.distribute(now, tenant, reply, ask.Need, expires)
		}
		q.mu.Unlock()
	}
}

// distribute gives the grants of a reply to the waiting calls. If they were fewer than the
// calls for which they were asked, it refuses the rest.
func (s *stash) distribute(now time.Time, tenant string, reply Reply, need int, expires time.Time) {
	s.put(now, reply.Granted, expires)
	for len(s.waiting) > 0 && s.take(now) {
		s.admit(s.expires)
	}
	if reply.Granted >= need {
		return
	}
	wait := time.Duration(reply.RetryAfterMS) * time.Millisecond
	s.pausedUntil, s.returnAt = now.Add(min(wait, maxPause)), now.Add(wait)
	s.refuse(len(s.waiting), &RefusedError{Tenant: tenant, IsOver: true, RetryAfter: wait}, s.limit.RatePerS)
}

// admit admits the call that has waited longest.
func (s *stash) admit(expires time.Time) {
	s.waiting[0] <- verdict{expires: expires}
	s.waiting = s.waiting[1:]
}

// refuse refuses the n calls that have waited longest. With a rate, each is told to come
// back when there is a grant for it after those before it.
func (s *stash) refuse(n int, refusal *RefusedError, rate float64) {
	if refusal.IsOver {
		s.overLimit += uint64(n)
	} else {
		s.unreachable += uint64(n)
	}
	for i, c := range s.waiting[:n] {
		r := *refusal
		if rate > 0 {
			r.RetryAfter += time.Duration(float64(i) / rate * float64(time.Second))
		}
		c <- verdict{refusal: &r}
	}
	s.waiting = s.waiting[n:]
}

// askHomes asks the tenant's home for grants, and those next in rank if it can't be reached.
// It returns false if none replies.
func (q *Quoter) askHomes(s *stash, ask Ask, lifetime time.Duration) (reply Reply, expires time.Time, ok bool) {
	next := ""
	for range maxAsks {
		if next == "" {
			next = q.nextHome(s, &ask)
		}
		if next == "" {
			break
		}
		sent := time.Now()
		reply, ok = q.askInstance(next, ask)
		if ok && reply.IsDecided {
			return reply, sent.Add(lifetime), true
		}
		ask.Skipped = append(ask.Skipped, next)
		next = ""
		if ok && reply.Home != "" && !slices.Contains(ask.Skipped, reply.Home) {
			next = reply.Home
		}
	}
	return Reply{}, time.Time{}, false
}

// askInstance asks one instance, which may be this one.
func (q *Quoter) askInstance(id string, ask Ask) (Reply, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), takeOverReplyTimeout)
	defer cancel()
	if id != q.InstanceID {
		return q.send(ctx, id, ask)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.decide(ctx, time.Now(), ask), true
}

// nextHome returns the highest-ranked instance for the tenant that is not skipped and not
// known to be silent, or "". It adds those that it passes over to ask.Skipped.
func (q *Quoter) nextHome(s *stash, ask *Ask) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	members := q.known.observe(now, q.Members())
	if s.orderedOf != members {
		s.order, s.orderedOf = order(ask.Tenant, members.Ready), members
	}
	for _, id := range s.order {
		if slices.Contains(ask.Skipped, id) {
			continue
		}
		if id == q.InstanceID || !q.peers.isSilent(now, id) {
			return id
		}
		ask.Skipped = append(ask.Skipped, id)
	}
	return ""
}

// useOwnShare admits waiting calls from this daemon's own share of the quota, since no home
// replies. The shares of all daemons together stay within the rate: in a window, a share is
// what a bucket of one token and its refill give.
func (q *Quoter) useOwnShare(now time.Time, tenant string, s *stash, need int) {
	members := q.known.observe(now, q.Members())
	window := q.bounds.window().Seconds()
	known := float64(max(1, members.live()+members.elsewhere()))
	rate := max(0, (s.limit.RatePerS*window/known-1)/window)
	wait := unreachableRetryAfter
	if !q.known.isSettled(now, q.began) {
		// The table of a daemon that has just started is whole when it has ceased to grow.
		rate, wait = 0, max(wait, 2*settleTime-now.Sub(q.known.grew))
	}
	if !s.usesOwn {
		s.usesOwn = true
		s.own = bucket{at: now}
		q.logger().Warn("quota-home-unreachable", zap.String("tenant", tenant), zap.Float64("own-rate-per-s", rate))
	}
	s.own.refill(now, rate, 1)
	for range min(need, len(s.waiting)) {
		if s.own.take(1, 1) == 0 {
			break
		}
		q.Counters.Fallback.Add(1)
		s.admitted++
		// The permit can't be returned: the share is not a grant.
		s.admit(time.Time{})
	}
	s.refuse(len(s.waiting), &RefusedError{Tenant: tenant, RetryAfter: wait}, 0)
}
