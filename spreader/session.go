package spreader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// queueLength bounds the control messages that wait on one session. What is
	// dropped beyond it is closed by the next ping.
	queueLength = 64
	// recordsPerMessage bounds the records of one message.
	recordsPerMessage = 256
)

// role is what the peer of a session is to this daemon.
type role uint8

const (
	roleParent role = iota + 1
	roleChild
	roleNeighbor
	roleSurveyor
)

// session is one control link with what is known of its peer. The fields after
// wake are guarded by Spreader.mu.
type session struct {
	id   tracker.Source
	role role
	link *messenger.Link
	node messenger.Node
	// domain is the peer's failure domain.
	domain string
	// wake holds at most one token.
	wake chan struct{}

	// remote is what the peer holds once it has read all that was sent.
	remote messenger.Position
	// pushed says that remote moved since the peer last named its position.
	pushed  bool
	refused versioner.Version
	cursor  tracker.Cursor
	urgent  bool
	queue   []messenger.Message
	// pingSoon asks for a ping before the next heartbeat.
	pingSoon   bool
	lastPing   time.Time
	sequence   uint64
	pings      map[uint64]time.Time
	mismatches int
	tally      messenger.Tally
	// members holds the instances that are reached through a child or neighbor,
	// itself included.
	members map[string]struct{}
	// redirected counts the joiners that were sent to the child.
	redirected int
	// reports names the roots whose reports wait to be sent.
	reports map[string]struct{}
	// dialed says that this daemon opened the link.
	dialed bool
	close  context.CancelFunc
	// left says that this daemon ended the session of its own accord.
	left bool
}

// poke wakes the writer of the session.
func (sess *session) poke() {
	select {
	case sess.wake <- struct{}{}:
	default:
	}
}

// sendsPings says whether this daemon sends the pings of the session.
func (sess *session) sendsPings() bool { return sess.role == roleParent || sess.role == roleNeighbor }

// addMembers notes instances that are reached through the peer.
func (sess *session) addMembers(ids []string) {
	for _, id := range ids {
		sess.members[id] = struct{}{}
	}
}

// enqueue adds a control message to a session. A nil session takes none.
func (s *Spreader) enqueue(sess *session, m messenger.Message) {
	if sess == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.add(m)
}

// add appends to the queue. The caller holds Spreader.mu.
func (sess *session) add(m messenger.Message) {
	if len(sess.queue) < queueLength {
		sess.queue = append(sess.queue, m)
	}
	sess.poke()
}

// register adds a session. The caller holds mu.
func (s *Spreader) register(sess *session) {
	s.lastID++
	sess.id = s.lastID
	sess.wake = make(chan struct{}, 1)
	sess.pings = make(map[uint64]time.Time)
	sess.reports = make(map[string]struct{})
	sess.cursor = s.Table.Now()
	s.sessions[sess.id] = sess
	s.Counters.SessionsOpened.Add(1)
	sess.poke()
}

// run serves a session until its link ends or goes silent.
func (s *Spreader) run(ctx context.Context, sess *session) error {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	sess.close = cancel
	s.mu.Unlock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		s.write(ctx, sess)
	}()
	err := s.read(ctx, sess)
	cancel()
	sess.link.Close()
	<-written
	s.forget(sess)
	return err
}

func (s *Spreader) read(ctx context.Context, sess *session) error {
	for {
		m, err := s.receive(ctx, sess.link)
		var malformed *messenger.MalformedError
		if errors.As(err, &malformed) {
			s.Counters.Malformed.Add(1)
		}
		if err != nil {
			return err
		}
		s.handle(ctx, sess, m)
	}
}

// receive reads one message and gives up on a silent link.
func (s *Spreader) receive(ctx context.Context, link *messenger.Link) (messenger.Message, error) {
	silent, cancel := context.WithTimeout(ctx, s.cfg.SilentAfter)
	defer cancel()
	m, err := link.Receive(silent)
	if err != nil && ctx.Err() == nil && errors.Is(silent.Err(), context.DeadlineExceeded) {
		s.Counters.SessionsSilent.Add(1)
	}
	return m, err
}

func (s *Spreader) send(ctx context.Context, link *messenger.Link, m messenger.Message) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.SilentAfter)
	defer cancel()
	return link.Send(ctx, m)
}

// handle takes in one message of a session.
func (s *Spreader) handle(ctx context.Context, sess *session, m messenger.Message) {
	switch m := m.(type) {
	case *messenger.Heartbeat:
		s.takePing(sess, m)
	case *messenger.HeartbeatAnswer:
		s.takePong(sess, m)
	case *messenger.State:
		s.noteRemote(sess, messenger.Position{Version: m.Document.Version, Digest: m.Digest})
		s.takeState(m, sess)
	case *messenger.Deltas:
		if n := len(m.Deltas); n > 0 {
			last := m.Deltas[n-1]
			s.noteRemote(sess, messenger.Position{Version: last.To, Digest: last.ToDigest})
		}
		s.takeDeltas(m.Deltas, sess)
	case *messenger.Pull:
		s.takePull(sess, m)
	case *messenger.Refused:
		s.takeRefusal(sess, m)
	case *messenger.Members:
		s.takeMembers(ctx, m.Records, sess)
	case *messenger.MemberDigests:
		s.takeDigests(sess, m)
	case *messenger.Subtree:
		s.takeSubtree(sess, m)
	case *messenger.Reports:
		s.takeReports(sess, m.Reports)
	case *messenger.Path:
		s.takePath(sess, m.Nodes)
	case *messenger.Appoint:
		s.takeAppointment(sess, m.Slot)
	}
}

func (s *Spreader) noteRemote(sess *session, p messenger.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Version > sess.remote.Version {
		sess.remote = p
	}
}

func (s *Spreader) takePull(sess *session, m *messenger.Pull) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.remote = m.Position
	sess.pushed = false
	sess.urgent = true
	sess.poke()
}

func (s *Spreader) takeRefusal(sess *session, m *messenger.Refused) {
	s.Counters.RefusalsReceived.Add(1)
	if m.Cause == causeOlder {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.refused = m.Offered
}

// write sends what the peer lacks whenever the session is woken. Control
// messages leave at once, pushes at most once in the coalescing window.
func (s *Spreader) write(ctx context.Context, sess *session) {
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
			s.pingNow(sess)
		case <-window.C:
		case <-sess.wake:
		}
		if s.sendQueue(ctx, sess) != nil {
			return
		}
		urgent := s.takeUrgent(sess)
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
		if wait := s.pingWait(sess); wait > 0 {
			window.Reset(wait)
		}
	}
}

// pingGap is the shortest time between two pings that carry a new tally.
func (s *Spreader) pingGap() time.Duration { return s.cfg.Heartbeat / 4 }

func (s *Spreader) takeUrgent(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	urgent := sess.urgent
	sess.urgent = false
	return urgent
}

// sendQueue sends the waiting control messages, and a ping if one is due.
func (s *Spreader) sendQueue(ctx context.Context, sess *session) error {
	s.mu.Lock()
	queue := sess.queue
	sess.queue = nil
	due := sess.pingSoon && time.Since(sess.lastPing) >= s.pingGap()
	s.mu.Unlock()
	if due {
		s.pingNow(sess)
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

// pingWait returns the time until a ping that was asked for is due, or 0.
func (s *Spreader) pingWait(sess *session) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sess.pingSoon {
		return 0
	}
	return max(time.Millisecond, s.pingGap()-time.Since(sess.lastPing))
}

// push sends the configuration, records and reports that the peer lacks.
func (s *Spreader) push(ctx context.Context, sess *session) (bool, error) {
	sent := false
	for _, next := range []func(*session) messenger.Message{s.configuration, s.members, s.rootReports} {
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

// forget removes a session that ended.
func (s *Spreader) forget(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.id)
	s.Counters.SessionsLost.Add(1)
	switch sess.role {
	case roleParent:
		s.Log.Info("parent-lost", zap.String("parent", sess.node.InstanceID), zap.Bool("by-choice", sess.left))
		s.parent = nil
		s.path = nil
		s.announcePath()
		if !sess.left {
			s.noteLoss(sess)
		}
	case roleChild:
		s.noteLoss(sess)
	case roleNeighbor:
		// A relay of another domain is judged by its own: only the link may be cut.
		if sess.domain == s.Domain {
			s.noteLoss(sess)
		}
	}
}
