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
)

const (
	// suspectAfter is how long a link with calls in flight may bring nothing before
	// it is probed: a call usually takes longer than the probe's way.
	suspectAfter = 300 * time.Millisecond
	// giveUpAfter is how long it may bring nothing before it is given up. Callers
	// wait for a second or two, and a lost segment is sent again after 200 ms, and
	// then 400 ms.
	giveUpAfter = 900 * time.Millisecond
	// idleAfter is how long a link without calls is kept open.
	idleAfter = time.Minute
	// maxAcks bounds the acknowledgements that wait for a message to go with.
	maxAcks = 256
)

// errLinkLost reports a link that was lost after a message had been handed to it.
var errLinkLost = errorx.ExternalError.New("link was lost")

// notSentError reports a message that no peer can have seen.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return "message was not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// callLink matches answers with the calls that wait for them.
//
// Invariant: an answer reaches only the call that was sent on this very link
// under its id; all others are stray and reach nobody.
type callLink struct {
	forwarder *Forwarder
	conn      messenger.Conn
	opening   messenger.Opening
	opened    time.Time
	sequence  atomic.Uint64
	inFlight  atomic.Int64
	// heard is when the last message came, as time since opened.
	heard atomic.Int64

	mu      sync.Mutex
	waiting map[messenger.CallID]chan *messenger.Answer
	acks    []messenger.CallID
	closed  bool
	// watching says that watch runs while calls are in flight.
	watching bool
	timer    *time.Timer
}

func newCallLink(f *Forwarder, conn messenger.Conn, opening messenger.Opening) *callLink {
	return &callLink{
		forwarder: f, conn: conn, opening: opening, opened: time.Now(),
		waiting: make(map[messenger.CallID]chan *messenger.Answer),
	}
}

// sameProcess says whether both links lead to one process.
func (l *callLink) sameProcess(other *callLink) bool {
	return l.opening.InstanceID == other.opening.InstanceID && l.opening.Incarnation == other.opening.Incarnation
}

// receive hands out answers until the link ends.
func (l *callLink) receive() {
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
		l.heard.Store(int64(time.Since(l.opened)))
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

// isSuspect says whether the link has brought nothing for long enough to be
// probed, although calls are in flight on it.
func (l *callLink) isSuspect() bool {
	if l.inFlight.Load() == 0 {
		return false
	}
	return time.Since(l.opened)-time.Duration(l.heard.Load()) > suspectAfter+probeWait
}

// probeWait is how long the answer to a probe usually takes at most.
const probeWait = 100 * time.Millisecond

func (l *callLink) deliver(answer *messenger.Answer) {
	l.mu.Lock()
	wait := l.waiting[answer.ID]
	delete(l.waiting, answer.ID)
	if answer.Outcome != messenger.OutcomeNotRun && len(l.acks) < maxAcks {
		l.acks = append(l.acks, answer.ID)
	}
	l.mu.Unlock()
	if wait == nil {
		l.forwarder.Counters.StrayAnswers.Add(1)
		return
	}
	wait <- answer
	if answer.Draining {
		go l.flush()
	}
}

// fail ends the link; calls in flight learn that it is lost.
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

// ask sends a message about a call and waits for the call's answer. It fails
// with a *notSentError when the peer can't have seen the message. When ctx
// ends, the peer is told, and a call past its deadline waits a little for what
// the peer says to that.
func (l *callLink) ask(ctx context.Context, id messenger.CallID, m messenger.Message) (*messenger.Answer, error) {
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
		l.forget(id)
		return nil, &notSentError{cause: err}
	}
	select {
	case answer, ok := <-wait:
		return received(answer, ok)
	case <-ctx.Done():
	}
	defer l.forget(id)
	go func() { _ = l.conn.Send(context.Background(), &messenger.Cancel{ID: id}) }()
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, ctx.Err()
	}
	final := time.NewTimer(finalWait)
	defer final.Stop()
	select {
	case answer, ok := <-wait:
		return received(answer, ok)
	case <-final.C:
		return nil, ctx.Err()
	}
}

func received(answer *messenger.Answer, ok bool) (*messenger.Answer, error) {
	if !ok {
		return nil, errLinkLost
	}
	return answer, nil
}

func (l *callLink) register(id messenger.CallID) (chan *messenger.Answer, error) {
	wait := make(chan *messenger.Answer, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errLinkLost
	}
	l.waiting[id] = wait
	l.inFlight.Add(1)
	if !l.watching {
		l.watching = true
		l.heard.Store(int64(time.Since(l.opened)))
		l.arm(suspectAfter)
	}
	return wait, nil
}

func (l *callLink) forget(id messenger.CallID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *callLink) takeAcks() []messenger.CallID {
	l.mu.Lock()
	defer l.mu.Unlock()
	acks := l.acks
	l.acks = nil
	return acks
}

// flush sends the acknowledgements that wait.
func (l *callLink) flush() {
	if acks := l.takeAcks(); len(acks) > 0 {
		_ = l.conn.Send(context.Background(), &messenger.Probe{Acks: acks})
	}
}

// arm schedules the next watch. The caller holds mu.
func (l *callLink) arm(d time.Duration) {
	if l.timer == nil {
		l.timer = time.AfterFunc(d, l.watch)
		return
	}
	l.timer.Reset(d)
}

// watch probes the link when it brings nothing while calls are in flight, and
// gives it up when the probe brings nothing either.
func (l *callLink) watch() {
	silent := time.Since(l.opened) - time.Duration(l.heard.Load())
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	if len(l.waiting) == 0 {
		idle := !l.watching
		l.closed = idle
		l.watching = false
		l.arm(idleAfter)
		l.mu.Unlock()
		if idle {
			l.fail()
			return
		}
		l.flush()
		return
	}
	switch {
	case silent >= giveUpAfter:
		l.mu.Unlock()
		l.forwarder.Counters.LinksSilent.Add(1)
		l.forwarder.logger().Warn("link-silent", zap.String("target", l.opening.InstanceID), zap.Duration("silent", silent))
		l.fail()
		return
	case silent >= suspectAfter:
		l.arm(giveUpAfter - silent)
	default:
		l.arm(suspectAfter - silent)
	}
	l.mu.Unlock()
	if silent >= suspectAfter {
		_ = l.conn.Send(context.Background(), &messenger.Probe{Acks: l.takeAcks()})
	}
}
