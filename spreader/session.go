package spreader

import (
	"context"
	"errors"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/recoverer"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// maxQueuedMessages bounds the control messages that are queued on one
	// session, and its pings that await an answer. Messages beyond it are
	// dropped, and the next ping repairs the difference.
	maxQueuedMessages = 64
	// recordsPerMessage bounds the records of one message.
	recordsPerMessage = 256
)

// role is the relation of the peer of a session to this daemon.
type role uint8

const (
	roleParent role = iota + 1
	roleChild
	// roleNeighbor means that both daemons of the session are relays.
	roleNeighbor
	// roleSurveyor means that the peer only reads the configuration in force.
	roleSurveyor
)

// session is one control link with the known state of its peer. The fields
// after wake are guarded by Spreader.mu.
type session struct {
	id   tracker.Source
	role role
	link *messenger.Link
	node messenger.Node
	// domain is the peer's failure domain.
	domain string
	// wake wakes the writer. It holds at most one token.
	wake chan struct{}

	// remote is the position of the peer once it has read everything that was
	// sent.
	remote messenger.Position
	// isPushPending says that a push advanced remote and the peer has not
	// reported its position since.
	isPushPending bool
	// refusedVersion is a version that the peer refused. It is not pushed to
	// the peer again.
	refusedVersion versioner.Version
	// cursor is the change of Table up to which records have been sent.
	cursor tracker.Cursor
	// suspicionCursor is the change of Quarantine up to which records have been sent.
	suspicionCursor uint64
	// urgent says that the next push skips the coalescing window.
	urgent bool
	queue  []messenger.Message
	// pingRequested requests a ping before the next heartbeat.
	pingRequested bool
	lastPing      time.Time
	sequence      uint64
	// heardAt is when the last message arrived.
	heardAt time.Time
	// isSourceSilent says that the peer knows of no new versions, as its last answer to a
	// heartbeat stated.
	isSourceSilent bool
	// pings holds when the pings that await an answer were sent, by sequence.
	pings map[uint64]time.Time
	// digestsSequence is that of the last ping before this daemon answered the peer's
	// membership digests with its own. It is valid if hasSentDigests is set.
	digestsSequence uint64
	hasSentDigests  bool
	// mismatches counts the consecutive pings with a different membership
	// digest.
	mismatches int
	// tally is the last tally of the subtree of a child.
	tally messenger.Tally
	// members holds the instances that are reached through a child or a
	// neighbor, including the peer itself.
	members map[string]struct{}
	// redirectedJoins counts the joiners that were redirected to the child and
	// have not shown up below it yet.
	redirectedJoins int
	// reports holds the roots whose reports are queued.
	reports map[string]struct{}
	// dialed says that this daemon opened the link.
	dialed bool
	close  context.CancelFunc
	// endedLocally says that this daemon ended the session by choice.
	endedLocally bool
}

// wakeWriter wakes the writer of the session.
func (sess *session) wakeWriter() {
	select {
	case sess.wake <- struct{}{}:
	default:
	}
}

// sendsPings reports whether this daemon sends the pings of the session.
func (sess *session) sendsPings() bool { return sess.role == roleParent || sess.role == roleNeighbor }

// addMembers records instances that are reached through the peer.
func (sess *session) addMembers(ids []string) {
	for _, id := range ids {
		sess.members[id] = struct{}{}
	}
}

// enqueue queues a control message on a session. It does nothing when sess is
// nil.
func (s *Spreader) enqueue(sess *session, m messenger.Message) {
	if sess == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.appendMessage(m)
}

// appendMessage appends a control message to the queue, or drops it when the
// queue is full. The caller holds Spreader.mu.
func (sess *session) appendMessage(m messenger.Message) {
	if len(sess.queue) < maxQueuedMessages {
		sess.queue = append(sess.queue, m)
	}
	sess.wakeWriter()
}

// addSession initializes a session and adds it to sessions. The caller holds
// mu.
func (s *Spreader) addSession(sess *session) {
	s.lastSessionID++
	sess.id = s.lastSessionID
	sess.wake = make(chan struct{}, 1)
	sess.pings = make(map[uint64]time.Time)
	sess.reports = make(map[string]struct{})
	sess.cursor = s.Table.Now()
	sess.heardAt = time.Now()
	s.sessions[sess.id] = sess
	s.Counters.SessionsOpened.Add(1)
	sess.wakeWriter()
}

// runSession serves a session until its link ends or nothing arrives for
// SilentAfter.
func (s *Spreader) runSession(ctx context.Context, sess *session) error {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	sess.close = cancel
	s.mu.Unlock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		s.writeLoop(ctx, sess)
	}()
	err := s.readLoop(ctx, sess)
	cancel()
	sess.link.Close()
	<-written
	s.removeSession(sess)
	s.forgetSession(sess)
	return err
}

// readLoop handles the messages of a session until its link ends.
func (s *Spreader) readLoop(ctx context.Context, sess *session) error {
	for {
		m, err := s.receive(ctx, sess.link)
		var malformed *messenger.MalformedError
		if errors.As(err, &malformed) {
			s.Counters.Malformed.Add(1)
		}
		if err != nil {
			return err
		}
		s.mu.Lock()
		sess.heardAt = time.Now()
		s.mu.Unlock()
		if !s.handleSafely(ctx, sess, m) {
			return errHandling
		}
	}
}

// errHandling means that handling a message of a session panicked.
var errHandling = errors.New("handling a message failed")

// handleSafely handles one message and reports whether that did not panic.
func (s *Spreader) handleSafely(ctx context.Context, sess *session, m messenger.Message) (ok bool) {
	defer recoverer.Recover(s.Log, "session-message", nil)
	s.handle(ctx, sess, m)
	return true
}

// receive reads one message. It fails when none arrives for SilentAfter.
func (s *Spreader) receive(ctx context.Context, link *messenger.Link) (messenger.Message, error) {
	readCtx, cancel := context.WithTimeout(ctx, s.cfg.SilentAfter)
	defer cancel()
	m, err := link.Receive(readCtx)
	if err != nil && ctx.Err() == nil && errors.Is(readCtx.Err(), context.DeadlineExceeded) {
		s.Counters.SessionsSilent.Add(1)
	}
	return m, err
}

// send writes one message. It fails when that takes longer than SilentAfter.
func (s *Spreader) send(ctx context.Context, link *messenger.Link, m messenger.Message) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.SilentAfter)
	defer cancel()
	return link.Send(ctx, m)
}

// handle dispatches one message of a session.
func (s *Spreader) handle(ctx context.Context, sess *session, m messenger.Message) {
	switch m := m.(type) {
	case *messenger.Heartbeat:
		s.handlePing(sess, m)
	case *messenger.HeartbeatAnswer:
		s.handlePong(sess, m)
	case *messenger.State:
		s.advanceRemote(sess, messenger.Position{Version: m.Document.Version, Digest: m.Digest})
		s.handleState(m, sess)
	case *messenger.Deltas:
		if n := len(m.Deltas); n > 0 {
			last := m.Deltas[n-1]
			s.advanceRemote(sess, messenger.Position{Version: last.To, Digest: last.ToDigest})
		}
		s.handleDeltas(m.Deltas, sess)
	case *messenger.Pull:
		s.handlePull(sess, m)
	case *messenger.Refused:
		s.handleRefusal(sess, m)
	case *messenger.Members:
		s.handleMembers(ctx, m.Records, sess)
		if s.Quarantine != nil && len(m.Suspicions) > 0 {
			s.Quarantine.Merge(m.Suspicions, uint64(sess.id))
		}
	case *messenger.MemberDigests:
		s.handleDigests(sess, m)
	case *messenger.Subtree:
		s.handleSubtree(sess, m)
	case *messenger.Reports:
		s.handleReports(sess, m.Reports)
	case *messenger.Path:
		s.handlePath(sess, m.Nodes)
	case *messenger.Appoint:
		s.handleAppointment(sess, m.Slot)
	case *messenger.PartUpdate:
		s.handlePartUpdate(sess, m)
	}
}

// advanceRemote records that the peer holds a position, because it has just
// sent it.
func (s *Spreader) advanceRemote(sess *session, p messenger.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Version > sess.remote.Version {
		sess.remote = p
	}
}

// handlePull records the position that the peer pulls from, and wakes the
// writer to push from there at once.
func (s *Spreader) handlePull(sess *session, m *messenger.Pull) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.remote = m.Position
	sess.isPushPending = false
	sess.urgent = true
	sess.wakeWriter()
}

// handleRefusal records the version that the peer refused, so that it is not
// pushed again. A refusal because the peer has a newer version changes nothing.
func (s *Spreader) handleRefusal(sess *session, m *messenger.Refused) {
	s.Counters.RefusalsReceived.Add(1)
	if m.Cause == causeOlder {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.refusedVersion = m.Offered
}

// writeLoop sends what the peer lacks whenever the session is woken. Control
// messages are sent at once, pushes at most once per coalescing window unless
// they are urgent.
func (s *Spreader) writeLoop(ctx context.Context, sess *session) {
	heartbeat := time.NewTicker(s.cfg.Heartbeat)
	defer heartbeat.Stop()
	window := time.NewTimer(0)
	defer window.Stop()
	var pushed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			s.queuePing(sess)
		case <-window.C:
		case <-sess.wake:
		}
		if s.sendQueue(ctx, sess) != nil {
			return
		}
		urgent := s.consumeUrgent(sess)
		if wait := s.cfg.Coalesce - time.Since(pushed); wait > 0 && !urgent {
			window.Reset(wait)
			continue
		}
		sent, err := s.push(ctx, sess)
		if err != nil {
			return
		}
		if sent {
			pushed = time.Now()
		}
		if wait := s.requestedPingDelay(sess); wait > 0 {
			window.Reset(wait)
		}
	}
}

// consumeUrgent returns and clears the session's urgent flag.
func (s *Spreader) consumeUrgent(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	urgent := sess.urgent
	sess.urgent = false
	return urgent
}

// sendQueue sends the queued control messages, and a requested ping if it is
// due.
func (s *Spreader) sendQueue(ctx context.Context, sess *session) error {
	s.mu.Lock()
	queue := sess.queue
	sess.queue = nil
	due := sess.pingRequested && time.Since(sess.lastPing) >= s.minPingInterval()
	s.mu.Unlock()
	if due {
		s.queuePing(sess)
		s.mu.Lock()
		queue = append(queue, sess.queue...)
		sess.queue = nil
		s.mu.Unlock()
	}
	for _, m := range queue {
		if err := s.send(ctx, sess.link, m); err != nil {
			return err
		}
	}
	return nil
}

// requestedPingDelay returns the time until a requested ping is due, or 0 when
// none is requested.
func (s *Spreader) requestedPingDelay(sess *session) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sess.pingRequested {
		return 0
	}
	return max(time.Millisecond, s.minPingInterval()-time.Since(sess.lastPing))
}

// push sends what the peer lacks: the state of the parts, requests to quarantine, the
// configuration, records and reports. It reports whether it sent any.
func (s *Spreader) push(ctx context.Context, sess *session) (bool, error) {
	sent := false
	// The state of the parts comes before the records: a peer that learns of targets must know
	// already if they get no calls.
	for _, m := range s.partMessages(sess) {
		sent = true
		if err := s.send(ctx, sess.link, m); err != nil {
			return sent, err
		}
	}
	for _, next := range []func(*session) messenger.Message{s.suspicionsMessage, s.configurationMessage, s.membersMessage, s.reportsMessage} {
		m := next(sess)
		if m == nil {
			continue
		}
		sent = true
		if err := s.send(ctx, sess.link, m); err != nil {
			return sent, err
		}
	}
	return sent, nil
}
