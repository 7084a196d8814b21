package canarier

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/storer"
)

// run is one order that this daemon decides.
type run struct {
	order  Order
	status Status
	// revision is that of the status in the store.
	revision storer.Revision
	stager   Stager
	judge    Judge
	// began is when the order was first seen.
	began time.Time
	// isHalted says that the version is bad and the store may not know it yet.
	isHalted  bool
	announced Directive
	sentAt    time.Time
}

// round makes one round for all undecided orders, if this daemon leads.
func (l *Leader) round(ctx context.Context, orders []seenOrder) {
	if !l.holdLease(ctx) {
		return
	}
	for i := range orders {
		o := &orders[i]
		if l.lease == 0 {
			return
		}
		l.mu.Lock()
		r := l.runs[o.Service]
		l.mu.Unlock()
		if r == nil || r.order.Revision != o.Revision {
			if r = l.begin(ctx, o, r); r == nil {
				continue
			}
		}
		l.decide(ctx, r)
	}
}

// begin takes up an order where the store or another daemon knows it to stand. old is the run
// of an earlier order for the service, or nil. It returns nil if the order is decided, or the
// store did not answer.
func (l *Leader) begin(ctx context.Context, o *seenOrder, old *run) *run {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := l.Store.Get(ctx, l.Codec.StatusPrefix+o.Service)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		l.Part.Counters.StoreFailures.Add(1)
		return nil
	}
	var st Status
	if err == nil {
		st, _ = l.decodeStatus(item)
	}
	known, _ := l.Part.Known(o.Service)
	r := &run{order: o.Order, revision: item.Revision, status: Status{
		Service: o.Service, Version: o.Version, State: StateRunning, Began: o.began(), Revision: o.Revision,
		Barred: addBarred(st.Barred, known.Barred...),
	}}
	wasRunning := st.State == StateRunning && st.Version == o.Version
	switch {
	case old != nil && old.order.Version == o.Version:
		// The order was given again, or the store was restored.
		r.status.Began, r.status.Stage, r.stager, r.judge = old.status.Began, old.status.Stage, old.stager, old.judge
	case wasRunning:
		r.status.Began, r.status.Stage = st.Began, st.Stage
		r.stager.Enter(st.Stage, time.Since(st.Began))
	case st.State == StateRunning:
		r.status.Barred = addBarred(r.status.Barred, st.Version)
	}
	r.stager.Duration, r.began = o.Duration, r.status.Began
	if end, reason := l.endAtOnce(o, st, known, r.status.Barred); end != 0 {
		l.finish(ctx, r, end, reason)
		return nil
	}
	if !l.HasService(o.Service) {
		return nil
	}
	if room := l.room(o.Order); room.IsPartial && room.OldTargets == 0 && !wasRunning && time.Since(o.seenAt) < fleetWait {
		// Whether the service has moved already shows once the fleet is known.
		return nil
	}
	r.stager.TakenUp = time.Since(r.status.Began)
	if !wasRunning && !l.write(ctx, r, r.status) {
		return nil
	}
	l.logger().Info("rollout-begun", zap.String("service", o.Service), zap.String("version", o.Version),
		zap.Duration("duration", o.Duration), zap.Stringer("stage", r.status.Stage), zap.Duration("elapsed", time.Since(r.status.Began)))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		return nil
	}
	l.runs[o.Service] = r
	return r
}

// endAtOnce returns the state and the reason of an order that needs no roll-out, or 0.
func (l *Leader) endAtOnce(o *seenOrder, st Status, known Directive, barred []string) (State, string) {
	switch {
	case o.err != nil:
		return StateRolledBack, ReasonInvalid
	case st.isVerdict() && st.Version == o.Version:
		return st.State, st.Reason
	case slices.Contains(barred, o.Version):
		return StateRolledBack, ReasonBarred
	case known.State == StateRunning && known.Revision == o.Revision && known.Reason != "":
		// A former leader has found the version to be bad, but could not write it.
		return StateRolledBack, known.Reason
	case l.isCompleted(o.Order):
		// The restored store has lost what was decided.
		return StateCompleted, ""
	case !l.HasService(o.Service) && time.Since(o.seenAt) > unknownServiceWait:
		return StateRolledBack, ReasonUnknownService
	case l.isMoved(o.Order, st):
		return StateCompleted, ""
	}
	return 0, ""
}

// decide makes the decision of a round and carries it out.
func (l *Leader) decide(ctx context.Context, r *run) {
	elapsed := time.Since(r.status.Began)
	room := l.room(r.order)
	l.mu.Lock()
	v := r.judge.Round()
	answers, failures, old := r.judge.NewAnswers, r.judge.NewFailures, r.judge.OldAnswers
	l.mu.Unlock()
	if r.isHalted {
		v = Verdict{IsBad: true, Reason: r.status.Reason}
	}
	next := r.stager.Decide(elapsed, room, v)
	if next.State == StateRolledBack {
		if !r.isHalted {
			r.isHalted, r.status.Reason = true, next.Reason
			l.logger().Warn("rollout-halted", zap.String("service", r.order.Service), zap.String("version", r.order.Version),
				zap.String("reason", next.Reason), zap.String("route", v.Route), zap.Duration("elapsed", elapsed),
				zap.Uint64("answers", answers), zap.Uint64("failures", failures), zap.Uint64("old-answers", old))
			l.announce(r, StageHeld, room)
		}
		l.finish(ctx, r, next.State, next.Reason)
		return
	}
	if next.State == StateCompleted {
		l.announce(r, StageAll, room)
		l.finish(ctx, r, next.State, "")
		return
	}
	if next.Stage < r.stager.Stage {
		r.stager.Enter(next.Stage, elapsed)
		l.announce(r, next.Stage, room)
	}
	if next.Stage != r.status.Stage {
		want := r.status
		want.Stage = next.Stage
		if l.write(ctx, r, want) {
			r.stager.Enter(next.Stage, elapsed)
			l.logger().Info("rollout-stage", zap.String("service", r.order.Service), zap.String("version", r.order.Version),
				zap.Stringer("stage", next.Stage), zap.Duration("elapsed", elapsed), zap.Int("new-targets", room.NewTargets),
				zap.Int("old-targets", room.OldTargets), zap.Uint64("answers", answers), zap.Uint64("failures", failures), zap.Uint64("old-answers", old))
		}
	}
	l.announce(r, r.stager.Stage, room)
}

// announce publishes the directive of a stage, if it differs from the last or that is due for
// a refresh.
func (l *Leader) announce(r *run, stage Stage, room Room) {
	share, canaries := Exposure(stage, l.ExposureShare, room)
	d := Directive{
		Service: r.order.Service, Version: r.order.Version, Revision: r.order.Revision, Term: l.term, State: StateRunning,
		Stage: stage, Share: share, Canaries: canaries, TTLMS: l.directiveTTL().Milliseconds(), Barred: r.status.Barred, Sequence: r.announced.Sequence, Reason: r.status.Reason,
	}
	if stage == StageAll {
		d.TTLMS = movedTTL.Milliseconds()
	}
	last := &r.announced
	if last.Stage == d.Stage && last.Share == d.Share && last.Canaries == d.Canaries && last.Reason == d.Reason && time.Since(r.sentAt) < l.directiveTTL()/refreshesPerTTL {
		return
	}
	d.Sequence++
	r.announced, r.sentAt = d, time.Now()
	l.Part.Publish(d)
}

// finish writes the final state of an order and then announces it. If the store fails, the
// next round tries again.
func (l *Leader) finish(ctx context.Context, r *run, state State, reason string) {
	want := r.status
	want.State, want.Reason = state, reason
	if state == StateRolledBack && isAboutVersion(reason) {
		want.Barred = addBarred(want.Barred, r.order.Version)
	}
	if !l.write(ctx, r, want) {
		return
	}
	if isAboutVersion(reason) {
		// What an order that can't be carried out names may be the version that serves.
		l.Part.Publish(finalDirective(r.status, r.order.Revision, l.term))
	}
	l.closeOrder(r.order)
	if state == StateCompleted {
		l.Part.Counters.Completed.Add(1)
	} else {
		l.Part.Counters.RolledBack.Add(1)
	}
	l.logger().Info("rollout-ended", zap.String("service", r.order.Service), zap.String("version", r.order.Version),
		zap.Stringer("state", state), zap.String("reason", reason), zap.Duration("elapsed", time.Since(r.status.Began)))
}

// write replaces the status in the store and reports whether it is there. After a conflict it
// takes over what another leader has written.
func (l *Leader) write(ctx context.Context, r *run, want Status) bool {
	value, err := l.Codec.EncodeStatus(want)
	if err != nil {
		l.logger().Error("rollout-malformed", zap.String("key", l.Codec.StatusPrefix+want.Service), zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := l.Codec.StatusPrefix + want.Service
	revision, err := l.Store.CompareAndSwap(ctx, key, value, r.revision, 0)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return l.resolve(ctx, r, key, value, want)
	}
	if err != nil {
		l.Part.Counters.StoreFailures.Add(1)
		return false
	}
	r.revision, r.status = revision, want
	return true
}

// resolve reads a status that is not the one that this leader wrote last. It is this leader's
// own if the answer to an earlier write was lost; another's if this leader was replaced.
func (l *Leader) resolve(ctx context.Context, r *run, key string, value []byte, want Status) bool {
	item, err := l.Store.Get(ctx, key)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		l.Part.Counters.StoreFailures.Add(1)
		return false
	}
	r.revision = item.Revision
	if bytes.Equal(item.Value, value) {
		r.status = want
		return true
	}
	st, ok := l.decodeStatus(item)
	if ok && err == nil && st.Version == want.Version && st.isVerdict() {
		l.Part.Publish(finalDirective(st, r.order.Revision, l.term))
		l.closeOrder(r.order)
		return false
	}
	holder, err := l.Store.Get(ctx, leaderKey)
	if err == nil && uint64(holder.Revision) != l.term || errors.As(err, &missing) {
		l.lose()
	}
	return false
}
