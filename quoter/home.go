package quoter

import (
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// replyTimeout is how long a daemon waits for the reply of a home.
	replyTimeout = 150 * time.Millisecond
	// takeOverReplyTimeout is how long it waits for an instance that may first have to
	// take over.
	takeOverReplyTimeout = 2 * replyTimeout
	// probeInterval is the time between two probes of the other possible homes of a tenant.
	probeInterval = 200 * time.Millisecond
	// moveTime is how long a daemon sends askers on to the one that took over from it.
	moveTime = 2 * time.Second
)

// home is the state of a tenant whose home is this daemon.
type home struct {
	bucket bucket
	// granted counts grants.
	granted uint64
	// rivals are the other instances that may be the tenant's home, of rivalsOf.
	rivals   []string
	rivalsOf *Members
	probed   time.Time
	// isContested means that a rival did not reply at the last refill, returns is the
	// Returns of the members then.
	isContested bool
	returns     int
	// hasGivenWay means that this daemon gave way to another home a short time ago: it has had
	// what a home may grant at its start.
	hasGivenWay bool
	// started is closed once the home before has been asked to stop.
	started chan struct{}
}

// isStarted reports whether the home may grant.
func (h *home) isStarted() bool {
	select {
	case <-h.started:
		return true
	default:
		return false
	}
}

// move is a tenant that another daemon has taken over.
type move struct {
	to    string
	until time.Time
	// isRival says that this daemon gave way to the other one, which was a home already.
	isRival bool
}

// Handle replies to the ask of another instance. It may send an ask itself, to take over
// the tenant.
func (q *Quoter) Handle(ctx context.Context, from string, ask Ask) Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.begin(now)
	q.peers.record(now, from, true)
	switch {
	case ask.TakesOver:
		return q.handOver(now, from, ask.Tenant)
	case ask.Want == 0:
		return q.handleProbe(now, from, ask)
	}
	return q.decide(ctx, now, ask)
}

// handleProbe replies to the probe of another possible home of a tenant. If both are homes, one
// of them gives way. The caller holds mu.
func (q *Quoter) handleProbe(now time.Time, from string, ask Ask) Reply {
	h := q.homes[ask.Tenant]
	if h != nil && ask.IsHome {
		q.giveWay(now, ask.Tenant, h, from)
	}
	return Reply{IsHome: q.homes[ask.Tenant] != nil}
}

// giveWay ends this daemon's being the home of a tenant if the rival, which is one too, comes
// before it. The content of its bucket is dropped: the rival has one of its own. The caller
// holds mu.
func (q *Quoter) giveWay(now time.Time, tenant string, h *home, rival string) {
	members := q.known.observe(now, q.Members())
	_, isReady := slices.BinarySearch(members.Ready, q.InstanceID)
	_, isRivalReady := slices.BinarySearch(members.Ready, rival)
	comesBefore := outranks(tenant, rival, q.InstanceID)
	if isReady != isRivalReady {
		comesBefore = isRivalReady
	}
	if !comesBefore || q.homes[tenant] != h || !h.isStarted() {
		return
	}
	delete(q.homes, tenant)
	q.moved[tenant] = move{to: rival, until: now.Add(moveTime), isRival: true}
	q.Counters.GaveWay.Add(1)
	q.logger().Info("quota-home-gave-way", zap.String("tenant", tenant), zap.String("to", rival))
}

// handOver ends the grants of this daemon for a tenant and returns the content of its
// bucket. The caller holds mu.
func (q *Quoter) handOver(now time.Time, to, tenant string) Reply {
	_, wasMoved := q.moved[tenant]
	q.moved[tenant] = move{to: to, until: now.Add(moveTime)}
	h := q.homes[tenant]
	if h == nil {
		return Reply{IsIdle: !wasMoved && now.Sub(q.began) > q.bounds.window()}
	}
	delete(q.homes, tenant)
	if !h.isStarted() {
		return Reply{}
	}
	if limit, ok := q.Limit(tenant); ok {
		q.refill(now, tenant, h, limit)
	}
	return Reply{Level: &h.bucket.level}
}

// decide grants what the tenant's bucket holds if this daemon is the tenant's home. The
// caller holds mu, which decide releases while it takes over.
func (q *Quoter) decide(ctx context.Context, now time.Time, ask Ask) Reply {
	if m, ok := q.moved[ask.Tenant]; ok && now.Before(m.until) && !slices.Contains(ask.Skipped, m.to) {
		return Reply{Home: m.to}
	}
	members := q.known.observe(now, q.Members())
	if !q.known.isSettled(now, q.began) {
		return Reply{}
	}
	if id := q.superior(ask, members); id != "" {
		return Reply{Home: id}
	}
	limit, ok := q.Limit(ask.Tenant)
	if !ok {
		return Reply{IsDecided: true, Granted: ask.Want}
	}
	h := q.homes[ask.Tenant]
	if h != nil && h.isStarted() && now.Sub(h.bucket.at) > silentTime && q.superior(Ask{Tenant: ask.Tenant}, members) != "" {
		// The instance of higher rank may have granted meanwhile.
		delete(q.homes, ask.Tenant)
		h = nil
	}
	if h == nil {
		m, wasMoved := q.moved[ask.Tenant]
		h = &home{started: make(chan struct{}), hasGivenWay: wasMoved && m.isRival && now.Sub(m.until) < q.bounds.window()}
		q.homes[ask.Tenant] = h
		delete(q.moved, ask.Tenant)
		q.takeOver(ctx, ask.Tenant, limit, members, h)
	} else if !h.isStarted() {
		q.mu.Unlock()
		select {
		case <-h.started:
		case <-ctx.Done():
		}
		q.mu.Lock()
	}
	if q.homes[ask.Tenant] != h || !h.isStarted() {
		return Reply{Home: q.moved[ask.Tenant].to}
	}
	return q.grant(ctx, h, limit, ask)
}

// superior returns the instance that is the tenant's home rather than this one, or "". A
// daemon whose target is not ready is no home while others are.
func (q *Quoter) superior(ask Ask, members *Members) string {
	_, isReady := slices.BinarySearch(members.Ready, q.InstanceID)
	for _, id := range order(ask.Tenant, members.Ready) {
		if id == q.InstanceID || isReady && !outranks(ask.Tenant, id, q.InstanceID) {
			return ""
		}
		if !slices.Contains(ask.Skipped, id) {
			return id
		}
	}
	return ""
}

// grant takes grants from the tenant's bucket. The caller holds mu.
func (q *Quoter) grant(ctx context.Context, h *home, limit Limit, ask Ask) Reply {
	now := time.Now()
	rate := q.refill(now, ask.Tenant, h, limit)
	if h.bucket.level < q.bounds.capacity(limit, 1)/2 && now.Sub(h.probed) >= probeInterval {
		h.probed = now
		go q.probe(context.WithoutCancel(ctx), ask.Tenant, h)
	}
	reply := Reply{IsDecided: true, Granted: h.bucket.take(ask.Need, ask.Want)}
	if refused := ask.Need - reply.Granted; refused > 0 {
		reply.RetryAfterMS = retryAfter(h.bucket.refuse(refused, rate)).Milliseconds()
	}
	h.granted += uint64(reply.Granted)
	q.Counters.Granted.Add(int64(reply.Granted))
	return reply
}

// takeOver makes this daemon the home of a tenant: it asks the one that was the home before,
// if there was one, to stop, and continues with the content of its bucket. The caller
// holds mu, which takeOver releases meanwhile.
func (q *Quoter) takeOver(ctx context.Context, tenant string, limit Limit, members *Members, h *home) {
	defer close(h.started)
	before := q.predecessor(time.Now(), tenant, members)
	var reply Reply
	replied := false
	if before != "" {
		q.mu.Unlock()
		reply, replied = q.send(ctx, before, Ask{Tenant: tenant, TakesOver: true})
		q.mu.Lock()
	}
	now := time.Now()
	h.bucket.at, h.returns = now, members.Returns
	switch {
	case reply.Level != nil && !math.IsNaN(*reply.Level):
		h.bucket.level = *reply.Level
	case reply.IsIdle && q.isUndisturbed(now):
		h.bucket.level = q.bounds.capacity(limit, 1)
	case h.hasGivenWay:
	default:
		h.bucket.level = q.bounds.startLevel()
	}
	q.refill(now, tenant, h, limit)
	q.Counters.TakenOver.Add(1)
	q.logger().Info("quota-home-taken-over", zap.String("tenant", tenant), zap.String("from", before),
		zap.Bool("replied", replied), zap.Float64("level", h.bucket.level))
}

// predecessor returns the instance that was the tenant's home before this one became
// it: the highest-ranked other one that is there, or "" if that does not reply.
func (q *Quoter) predecessor(now time.Time, tenant string, members *Members) string {
	for _, id := range order(tenant, slices.Concat(members.Ready, members.Leaving)) {
		if id == q.InstanceID {
			continue
		}
		if q.peers.isSilent(now, id) {
			return ""
		}
		return id
	}
	return ""
}

// isUndisturbed reports whether the members have been the same for a window and all can be
// reached. The caller holds mu.
func (q *Quoter) isUndisturbed(now time.Time) bool {
	window := q.bounds.window()
	return now.Sub(q.began) > window && now.Sub(q.known.changed) > window && q.share(now) == 1
}

// share returns the part of the fleet that this daemon can reach. The caller holds mu.
func (q *Quoter) share(now time.Time) float64 {
	return q.peers.share(now, q.known.observe(now, q.Members()))
}

// tenantShare returns the part of the tenant's rate that its home, this daemon, may grant. As
// long as instances that may be its home too don't reply and are not known to be lost, each
// of them counts with itself and this one. When they reply again, the bucket loses what
// another home may have granted meanwhile. The caller holds mu.
func (q *Quoter) tenantShare(now time.Time, tenant string, h *home) float64 {
	members := q.known.observe(now, q.Members())
	if h.rivalsOf != members {
		h.rivals, h.rivalsOf = order(tenant, members.Ready), members
		h.rivals = slices.DeleteFunc(h.rivals, func(id string) bool { return id == q.InstanceID })
	}
	contenders := 1
	for _, id := range h.rivals {
		if q.peers.isSilent(now, id) {
			contenders++
		}
	}
	if h.isContested && contenders == 1 || h.returns != members.Returns {
		h.bucket.level = min(h.bucket.level, q.bounds.startLevel())
	}
	h.isContested, h.returns = contenders > 1, members.Returns
	return min(q.peers.share(now, members), 1/float64(contenders))
}

// refill adds to the tenant's bucket what this daemon may grant, and returns its rate. The
// caller holds mu.
func (q *Quoter) refill(now time.Time, tenant string, h *home, limit Limit) (rate float64) {
	share := q.tenantShare(now, tenant, h)
	rate = limit.RatePerS * share
	h.bucket.refill(now, rate, q.bounds.capacity(limit, share))
	return rate
}

// probe finds out whether the instances that may be the tenant's home reply, and whether one of
// them is a home as well. A home does so while the tenant uses most of its quota: only then two
// homes exceed it.
func (q *Quoter) probe(ctx context.Context, tenant string, h *home) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range h.rivals {
		go func() {
			if reply, ok := q.send(ctx, id, Ask{Tenant: tenant, IsHome: true}); ok && reply.IsHome {
				q.mu.Lock()
				defer q.mu.Unlock()
				q.giveWay(time.Now(), tenant, h, id)
			}
		}()
	}
}

// send sends an ask to an instance and reports whether it replied in time.
func (q *Quoter) send(ctx context.Context, to string, ask Ask) (Reply, bool) {
	timeout := replyTimeout
	if len(ask.Skipped) > 0 {
		timeout = takeOverReplyTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The link waits for the answer to a cancellation if a deadline has passed.
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	q.Counters.Asks.Add(1)
	reply, err := q.Send(ctx, to, ask)
	if err != nil {
		q.Counters.AsksLost.Add(1)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers.record(time.Now(), to, err == nil)
	return reply, err == nil
}
