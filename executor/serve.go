package executor

import (
	"context"
	"errors"
	"time"

	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/recoverer"
)

// servedLink is one call link that another daemon opened.
type servedLink struct {
	conn   messenger.Conn
	number uint64
	opened time.Time
	// minOffset is the smallest difference seen between the receive time and the
	// send time of a message, each counted from the opening of the link. It is valid
	// if hasOffset is set.
	minOffset time.Duration
	hasOffset bool
}

// Serve handles the messages of a link until it ends. Accepted calls continue under
// ctx if the link is lost.
func (x *Executor) Serve(ctx context.Context, conn messenger.Conn) error {
	l := &servedLink{conn: conn, number: x.Calls.Open(), opened: time.Now()}
	defer x.Calls.Close(l.number)
	x.addLink(l)
	defer x.removeLink(l)
	opening := &messenger.Opening{
		InstanceID: x.InstanceID, Incarnation: x.Incarnation, Link: l.number, Draining: x.isDraining(),
	}
	if err := conn.Send(ctx, opening); err != nil {
		return err
	}
	for {
		m, err := conn.Receive(ctx)
		var malformed *messenger.MalformedError
		if errors.As(err, &malformed) {
			x.Counters.Malformed.Add(1)
			return err
		}
		if err != nil {
			return err
		}
		if !x.handleSafely(ctx, l, m) {
			return errHandling
		}
	}
}

// errHandling means that handling a message of a link panicked. The link is closed, and
// its peer requests the outcomes of its calls over another one.
var errHandling = errors.New("handling a message failed")

// handleSafely handles one message and reports whether that did not panic.
func (x *Executor) handleSafely(ctx context.Context, l *servedLink, m messenger.Message) (ok bool) {
	defer recoverer.Recover(x.Log, "message", nil)
	x.handle(ctx, l, m)
	return true
}

// goSafely runs f in a goroutine and contains its panics.
func (x *Executor) goSafely(task string, f func()) {
	go func() {
		defer recoverer.Recover(x.Log, task, nil)
		f()
	}()
}

func (x *Executor) addLink(l *servedLink) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.links == nil {
		x.links = make(map[*servedLink]struct{})
	}
	x.links[l] = struct{}{}
}

func (x *Executor) removeLink(l *servedLink) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.links, l)
}

// handle handles one message without waiting for calls to end.
func (x *Executor) handle(ctx context.Context, l *servedLink, m messenger.Message) {
	switch m := m.(type) {
	case *messenger.Call:
		x.Calls.Acknowledge(m.Acks)
		x.acceptCall(ctx, l, m)
	case *messenger.Cancel:
		x.cancel(m.ID)
	case *messenger.Reserve:
		x.goSafely("reserve", func() { x.send(ctx, l, x.reserveBody(m)) })
	case *messenger.Reattach:
		x.reattach(ctx, l, m)
	case *messenger.KeyQuery:
		x.goSafely("key-query", func() { x.answerQuery(ctx, l, m) })
	case *messenger.KeyHandover:
		x.goSafely("key-handover", func() { x.receiveHandover(ctx, l, m) })
	case *messenger.QuotaAsk:
		x.goSafely("quota-ask", func() { x.send(ctx, l, x.answerQuotaAsk(ctx, m)) })
	case *messenger.Probe:
		x.Calls.Acknowledge(m.Acks)
		go func() { _ = l.conn.Send(ctx, &messenger.ProbeReply{Draining: x.isDraining()}) }()
	default:
		x.Counters.Malformed.Add(1)
	}
}

// reserveBody returns the answer to a request to send the body of a call over the
// link: a reservation, or a refusal if the link is too busy.
func (x *Executor) reserveBody(m *messenger.Reserve) *messenger.Answer {
	if x.isDraining() {
		return messenger.NotRun(m.ID, CauseDraining)
	}
	answer := messenger.NotRun(m.ID, CauseLinkCrowded)
	wait, ok := x.BodyPacer.Reserve(m.Bytes, time.Duration(m.WithinMS)*time.Millisecond)
	if !ok {
		x.Counters.BodiesRefused.Add(1)
		answer.RetryAfterMS = wait.Milliseconds()
		return answer
	}
	answer.Reservation = &messenger.Reservation{WaitMS: wait.Milliseconds()}
	return answer
}

// acceptCall starts a call that was read from a link, or refuses it if the limits on
// calls and buffered bytes are reached or the link has ended. It ignores duplicates.
func (x *Executor) acceptCall(ctx context.Context, l *servedLink, call *messenger.Call) {
	delay := l.excessDelay(call.SentUS)
	if len(call.Body) < smallBodyBytes {
		x.BodyPacer.ObserveDelay(delay)
	}
	size := int64(len(call.Body))
	if !x.Bodies.Take(size, size) {
		go x.send(ctx, l, messenger.NotRun(call.ID, CauseBuffersFull))
		return
	}
	err := x.Calls.Accept(call.ID, l.number, call.Sequence)
	var full *fencer.FullError
	var ended *fencer.LinkEndedError
	if err != nil {
		x.Bodies.Give(size)
	}
	switch {
	case errors.As(err, &full):
		go x.send(ctx, l, messenger.NotRun(call.ID, CauseTableFull))
		return
	case errors.As(err, &ended):
		go x.send(ctx, l, messenger.NotRun(call.ID, CauseLinkEnded))
		return
	case err != nil:
		return
	}
	x.inFlight.Add(1)
	deadline := time.Now().Add(time.Duration(call.RemainingMS)*time.Millisecond - delay)
	go x.serveCall(ctx, l, call, deadline)
}

// excessDelay returns how much longer a message took than the fastest one on the
// link. It spent this time in a queue, during an interruption of the network or in
// a frozen process.
func (l *servedLink) excessDelay(sentUS int64) time.Duration {
	d := time.Since(l.opened) - time.Duration(sentUS)*time.Microsecond
	if !l.hasOffset || d < l.minOffset {
		l.hasOffset = true
		l.minOffset = d
	}
	return d - l.minOffset
}

// serveCall runs a call that was accepted from a link, and answers it.
func (x *Executor) serveCall(ctx context.Context, l *servedLink, call *messenger.Call, deadline time.Time) {
	defer x.inFlight.Add(-1)
	defer x.Bodies.Give(int64(len(call.Body)))
	runCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r := &run{
		call: call, deadline: deadline, cancel: cancel,
		begin: func() bool { return x.Calls.Begin(call.ID) },
	}
	x.mu.Lock()
	if x.running == nil {
		x.running = make(map[messenger.CallID]*run)
	}
	x.running[call.ID] = r
	x.mu.Unlock()
	accepted := time.Now()
	answer := x.runSafely(runCtx, r)
	answer.HandlingUS = max(1, time.Since(accepted).Microseconds())
	x.finish(call, answer)
	x.mu.Lock()
	delete(x.running, call.ID)
	delete(x.kept, call.ID)
	x.mu.Unlock()
	x.send(ctx, l, answer)
	r.release()
}

// runSafely runs the call and returns the answer with the target's state. If that
// panics, the outcome is unknown.
func (x *Executor) runSafely(ctx context.Context, r *run) (answer *messenger.Answer) {
	defer recoverer.Recover(x.Log, "call", func() {
		answer = x.countOutcome(messenger.Unknown(r.call.ID, CauseInternal))
	})
	return x.withTargetState(r.call, x.countOutcome(x.runOrRepeat(ctx, r)))
}

// keepAnswer records that the answer of an idempotent call that is still running is to
// be kept, since its entry daemon requests the outcome over another link.
func (x *Executor) keepAnswer(id messenger.CallID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.running[id]; !ok {
		return
	}
	if x.kept == nil {
		x.kept = make(map[messenger.CallID]struct{})
	}
	x.kept[id] = struct{}{}
}

// isKept reports whether the answer of a call is to be kept.
func (x *Executor) isKept(id messenger.CallID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.kept[id]
	return ok
}

// finish records the outcome of a call, which must happen before the answer is sent.
// Answers of idempotent calls are not kept, unless their outcome has been requested.
func (x *Executor) finish(call *messenger.Call, answer *messenger.Answer) {
	x.Calls.Discard(call.ID)
	if call.Idempotent && answer.Outcome == messenger.OutcomeAnswered && !x.isKept(call.ID) {
		answer = messenger.Unknown(call.ID, CauseAnswerNotKept)
	}
	x.Calls.Finish(call.ID, answer)
}

// send sends an answer. It ignores errors: when the link is lost, the sender of the call
// requests the outcome over another link.
func (x *Executor) send(ctx context.Context, l *servedLink, answer *messenger.Answer) {
	_ = l.conn.Send(ctx, answer)
}

// cancel prevents a call that has not begun from beginning, and cancels one that
// has, unless it has an idempotency key. The call is answered in either case.
func (x *Executor) cancel(id messenger.CallID) {
	verdict := x.Calls.Cancel(id)
	x.mu.Lock()
	r := x.running[id]
	x.mu.Unlock()
	if r == nil {
		return
	}
	x.Counters.Cancelled.Add(1)
	if verdict == fencer.VerdictPending && r.call.IdempotencyKey != "" {
		return
	}
	r.cancel()
}

// reattach reports the outcome of a call whose link was lost, once it is known.
func (x *Executor) reattach(ctx context.Context, l *servedLink, m *messenger.Reattach) {
	x.Counters.Reattached.Add(1)
	x.keepAnswer(m.ID)
	if m.Incarnation != x.Incarnation {
		go x.send(ctx, l, messenger.Unknown(m.ID, CauseOtherProcess))
		return
	}
	verdict, done := x.Calls.Reattach(m.ID, m.Link)
	switch verdict {
	case fencer.VerdictUnknown:
		go x.send(ctx, l, messenger.Unknown(m.ID, CauseForgotten))
	case fencer.VerdictNeverBegins:
		go x.send(ctx, l, messenger.NotRun(m.ID, CauseNeverDelivered))
	default:
		go x.answerWhenDone(ctx, l, m.ID, done)
	}
}

// answerWhenDone sends the answer of a call once it has ended. If it is still
// running, a Pending message is sent first.
func (x *Executor) answerWhenDone(ctx context.Context, l *servedLink, id messenger.CallID, done <-chan struct{}) {
	select {
	case <-done:
	default:
		_ = l.conn.Send(ctx, &messenger.Pending{ID: id})
	}
	select {
	case <-done:
	case <-ctx.Done():
		return
	}
	answer, ok := x.Calls.Answer(id)
	if !ok {
		answer = messenger.Unknown(id, CauseForgotten)
	}
	x.send(ctx, l, answer)
}

// Drain makes the executor refuse new calls, and notifies the entry daemons of all
// open links.
func (x *Executor) Drain(ctx context.Context) {
	x.stopping.Store(true)
	x.mu.Lock()
	links := make([]*servedLink, 0, len(x.links))
	for l := range x.links {
		links = append(links, l)
	}
	x.mu.Unlock()
	for _, l := range links {
		go func() { _ = l.conn.Send(ctx, &messenger.ProbeReply{Draining: true}) }()
	}
}

// InFlight returns the number of calls that are accepted and not yet answered.
func (x *Executor) InFlight() int { return int(x.inFlight.Load()) }
