package forwarder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/recoverer"
)

const (
	// idleLimit is how long a link without calls is kept open.
	idleLimit = time.Minute
	// maxPendingAcks bounds the acknowledgements that wait to be sent with the next
	// message.
	maxPendingAcks = 256
)

// errLinkLost reports a link that was closed, or lost while a call was in flight.
var errLinkLost = errorx.ExternalError.New("link was lost")

// notSentError reports a message that the peer cannot have received.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return "message was not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// callLink is one open call link to a target's daemon. It matches answers with the
// calls that wait for them.
//
// Invariant: an answer is delivered only to the call that was sent on the same link
// with the same ID. All other answers are counted as stray and dropped.
type callLink struct {
	forwarder *Forwarder
	conn      messenger.Conn
	opening   messenger.Opening
	opened    time.Time
	sequence  atomic.Uint64
	inFlight  atomic.Int64

	mu sync.Mutex
	// silence measures since when nothing has been received.
	silence silence
	// waiting holds the channel on which each call in flight gets its answer; it is
	// closed when the link is lost.
	waiting map[messenger.CallID]chan *messenger.Answer
	// acks lists the received answers that are not acknowledged yet.
	acks   []messenger.CallID
	closed bool
	// isWatching means that checkSilence is scheduled for calls in flight, and not
	// only to close the idle link.
	isWatching bool
	timer      *time.Timer
}

// newCallLink returns the link on an open connection. The link delivers answers once
// receive runs.
func newCallLink(f *Forwarder, conn messenger.Conn, opening messenger.Opening) *callLink {
	return &callLink{
		forwarder: f, conn: conn, opening: opening, opened: time.Now(),
		waiting: make(map[messenger.CallID]chan *messenger.Answer),
	}
}

// sameProcess reports whether both links lead to the same process of a daemon.
func (l *callLink) sameProcess(other *callLink) bool {
	return l.opening.InstanceID == other.opening.InstanceID && l.opening.Incarnation == other.opening.Incarnation
}

// reattachMessage returns the request, sent over another link, for the outcome of a call
// that was sent over this one.
func (l *callLink) reattachMessage(id messenger.CallID) *messenger.Reattach {
	return &messenger.Reattach{ID: id, Link: l.opening.Link, Incarnation: l.opening.Incarnation}
}

// receive delivers answers to the calls that wait for them, until the link fails.
func (l *callLink) receive() {
	defer recoverer.Recover(l.forwarder.Log, "answer", l.fail)
	for {
		m, err := l.conn.Receive(context.Background())
		var malformed *messenger.MalformedError
		if errors.As(err, &malformed) {
			l.forwarder.Counters.Malformed.Add(1)
		}
		if err != nil {
			l.fail()
			return
		}
		l.hear()
		switch m := m.(type) {
		case *messenger.Answer:
			if m.Draining {
				l.forwarder.markDraining(l.opening.InstanceID, l.opening.Incarnation)
			}
			l.deliver(m)
		case *messenger.ProbeReply:
			if m.Draining {
				l.forwarder.markDraining(l.opening.InstanceID, l.opening.Incarnation)
			}
		}
	}
}

// hear records that a message was received.
func (l *callLink) hear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silence.hear(time.Since(l.opened))
}

// isSilent reports whether calls are in flight on the link and it has received
// nothing for so long that even the reply to a probe is overdue.
func (l *callLink) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silence.isOverdue && l.inFlight.Load() > 0
}

// deliver passes an answer to the call that waits for it and queues its
// acknowledgement, which is sent at once if the peer drains.
func (l *callLink) deliver(answer *messenger.Answer) {
	l.mu.Lock()
	wait := l.waiting[answer.ID]
	delete(l.waiting, answer.ID)
	// The table at the target's daemon holds no calls that have not begun.
	isKept := answer.Outcome != messenger.OutcomeNotRun || answer.Sent
	if isKept && len(l.acks) < maxPendingAcks {
		l.acks = append(l.acks, answer.ID)
	}
	l.mu.Unlock()
	if wait == nil {
		l.forwarder.Counters.StrayAnswers.Add(1)
		answer.Release()
		return
	}
	wait <- answer
	if answer.Draining {
		go l.flushAcks()
	}
}

// fail closes the link. The calls in flight on it fail with errLinkLost.
func (l *callLink) fail() {
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for id, wait := range l.waiting {
		close(wait)
		delete(l.waiting, id)
	}
}

// roundTrip sends a message about a call and waits for the call's answer. It fails
// with a *notSentError if the peer cannot have received the message. When ctx ends,
// roundTrip sends a Cancel; if the deadline has passed, it waits up to
// cancelAnswerWait for the answer to that.
func (l *callLink) roundTrip(ctx context.Context, id messenger.CallID, m messenger.Message) (*messenger.Answer, error) {
	wait, err := l.register(id)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	defer l.inFlight.Add(-1)
	if call, ok := m.(*messenger.Call); ok {
		call.Sequence = l.sequence.Add(1)
		call.SentUS = time.Since(l.opened).Microseconds()
		call.Acks = l.takeAcks()
	}
	if err := l.conn.Send(ctx, m); err != nil {
		l.unregister(id)
		return nil, &notSentError{cause: err}
	}
	select {
	case answer, ok := <-wait:
		return answerOrLost(answer, ok)
	case <-ctx.Done():
	}
	defer func() {
		l.unregister(id)
		releaseUnread(wait)
	}()
	go func() { _ = l.conn.Send(context.Background(), &messenger.Cancel{ID: id}) }()
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, ctx.Err()
	}
	final := time.NewTimer(cancelAnswerWait)
	defer final.Stop()
	select {
	case answer, ok := <-wait:
		return answerOrLost(answer, ok)
	case <-final.C:
		return nil, ctx.Err()
	}
}

// releaseUnread gives back the memory of an answer that came when nobody waited any more.
func releaseUnread(wait <-chan *messenger.Answer) {
	select {
	case answer, ok := <-wait:
		if ok {
			answer.Release()
		}
	default:
	}
}

// answerOrLost returns the answer, or errLinkLost if ok is false, which means that
// the link closed the channel.
func answerOrLost(answer *messenger.Answer, ok bool) (*messenger.Answer, error) {
	if !ok {
		return nil, errLinkLost
	}
	return answer, nil
}

// register returns a new channel for the answer to a call, and makes sure that
// checkSilence is scheduled.
func (l *callLink) register(id messenger.CallID) (chan *messenger.Answer, error) {
	wait := make(chan *messenger.Answer, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errLinkLost
	}
	l.waiting[id] = wait
	l.inFlight.Add(1)
	if !l.isWatching {
		l.isWatching = true
		l.silence.hear(time.Since(l.opened))
		l.scheduleCheck(probeAfter)
	}
	return wait, nil
}

// unregister drops the call's channel, so that a later answer is counted as stray.
func (l *callLink) unregister(id messenger.CallID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// isAwaited reports whether a call waits for its answer on this link.
func (l *callLink) isAwaited(id messenger.CallID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.waiting[id]
	return ok
}

// takeAcks returns the pending acknowledgements and removes them from the link.
func (l *callLink) takeAcks() []messenger.CallID {
	l.mu.Lock()
	defer l.mu.Unlock()
	acks := l.acks
	l.acks = nil
	return acks
}

// flushAcks sends the pending acknowledgements in a Probe, if there are any.
func (l *callLink) flushAcks() {
	if acks := l.takeAcks(); len(acks) > 0 {
		_ = l.conn.Send(context.Background(), &messenger.Probe{Acks: acks})
	}
}

// scheduleCheck runs checkSilence after d. The caller holds mu.
func (l *callLink) scheduleCheck(d time.Duration) {
	l.silence.schedule(time.Since(l.opened), d)
	if l.timer == nil {
		l.timer = time.AfterFunc(d, l.checkSilence)
		return
	}
	l.timer.Reset(d)
}

// checkSilence probes the link if it has been silent for probeAfter while calls are in
// flight, and closes it after silentLimit. If no calls are in flight, it sends
// the pending acknowledgements, and closes the link if that is still so idleLimit
// later.
func (l *callLink) checkSilence() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	if len(l.waiting) == 0 {
		idle := !l.isWatching
		l.closed = idle
		l.isWatching = false
		l.scheduleCheck(idleLimit)
		l.mu.Unlock()
		if idle {
			l.fail()
			return
		}
		l.flushAcks()
		return
	}
	silent, next := l.silence.check(time.Since(l.opened))
	needsProbe := silent >= probeAfter && !l.silence.isOverdue
	if silent < silentLimit {
		l.scheduleCheck(next)
	}
	l.mu.Unlock()
	switch {
	case silent >= silentLimit:
		l.forwarder.Counters.LinksSilent.Add(1)
		l.forwarder.logger().Warn("link-silent", zap.String("target", l.opening.InstanceID), zap.Duration("silent", silent))
		l.fail()
	case needsProbe:
		_ = l.conn.Send(context.Background(), &messenger.Probe{Acks: l.takeAcks()})
	}
}
