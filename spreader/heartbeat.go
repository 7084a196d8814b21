package spreader

import (
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// mismatchesBeforeExchange is the number of consecutive pings with a different
// membership digest after which the digests of all failure domains are
// exchanged. A single mismatch may come from a ping that crossed a push.
const mismatchesBeforeExchange = 2

// queuePing queues a ping, if this daemon sends the session's pings.
func (s *Spreader) queuePing(sess *session) {
	if !sess.sendsPings() {
		return
	}
	position, membersDigest := s.position(), s.Table.Digest()
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.sequence++
	sess.pingRequested = false
	sess.lastPing = time.Now()
	if len(sess.pings) >= maxQueuedMessages {
		clear(sess.pings)
	}
	sess.pings[sess.sequence] = sess.lastPing
	ping := &messenger.Heartbeat{Sequence: sess.sequence, Position: position, MembersDigest: membersDigest}
	if sess.role == roleParent {
		tally := s.subtreeTally()
		ping.Subtree = &tally
	}
	sess.appendMessage(ping)
}

// minPingInterval is the shortest time between two pings that carry a new
// tally.
func (s *Spreader) minPingInterval() time.Duration { return s.cfg.Heartbeat / 4 }

// requestParentPing requests a ping to the parent, which carries a changed
// tally. The caller holds mu.
func (s *Spreader) requestParentPing() {
	if s.parent != nil {
		s.parent.pingRequested = true
		s.parent.wakeWriter()
	}
}

// handlePing answers a ping at once. The answer's confirmation is read after
// the ping was sent, so the peer does not underestimate the confirmation's age if
// it adds the time since it sent the ping.
func (s *Spreader) handlePing(sess *session, m *messenger.Heartbeat) {
	position, membersDigest := s.position(), s.Table.Digest()
	s.reconcilePosition(sess, m.Position)
	s.mu.Lock()
	defer s.mu.Unlock()
	pong := &messenger.HeartbeatAnswer{
		Sequence: m.Sequence, Position: position, MembersDigest: membersDigest,
		Confirm: s.confirmationMessage(), IsSourceSilent: s.isSilentFor(sess),
	}
	if sess.role == roleChild {
		fleet := s.fleetTally()
		pong.Fleet = &fleet
	}
	sess.appendMessage(pong)
	if m.Subtree != nil && sess.role == roleChild {
		s.updateChildTally(sess, *m.Subtree)
	}
	if m.MembersDigest == membersDigest {
		sess.mismatches = 0
		return
	}
	if sess.mismatches++; sess.mismatches >= mismatchesBeforeExchange {
		sess.mismatches = 0
		s.queueDigests(sess, true)
	}
}

// handlePong records the position, fleet tally and confirmation that the answer
// to a ping carries.
func (s *Spreader) handlePong(sess *session, m *messenger.HeartbeatAnswer) {
	s.reconcilePosition(sess, m.Position)
	s.handleSourceSilent(sess, m.IsSourceSilent)
	s.mu.Lock()
	sent, ok := sess.pings[m.Sequence]
	delete(sess.pings, m.Sequence)
	if m.Fleet != nil && sess.role == roleParent {
		s.fleetFromParent = *m.Fleet
	}
	// The peer answers in order, so that its records came before the answer to a ping that
	// followed this daemon's digests.
	hasExchanged := sess.hasSentDigests && m.Sequence > sess.digestsSequence || m.MembersDigest == s.Table.Digest()
	isPeerConfigured := sess.remote.Version > 0
	s.mu.Unlock()
	if hasExchanged && isPeerConfigured {
		s.reportOwnHistory()
	}
	if ok {
		s.handleConfirmation(m.Confirm, sent)
	}
}
