package spreader

import (
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// mismatchesBeforeExchange is the number of pings in a row with another
// membership digest after which digests are exchanged. The first may have
// crossed a push.
const mismatchesBeforeExchange = 2

// pingNow queues a ping, if this daemon sends the session's pings.
func (s *Spreader) pingNow(sess *session) {
	if !sess.sendsPings() {
		return
	}
	position, members := s.position(), s.Table.Digest()
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.sequence++
	sess.pingSoon = false
	sess.lastPing = time.Now()
	if len(sess.pings) >= queueLength {
		clear(sess.pings)
	}
	sess.pings[sess.sequence] = sess.lastPing
	ping := &messenger.Heartbeat{Sequence: sess.sequence, Position: position, MembersDigest: members}
	if sess.role == roleParent {
		tally := s.subtreeTally()
		ping.Subtree = &tally
	}
	sess.add(ping)
}

// pingParentSoon asks for a ping that carries a changed tally. The caller
// holds mu.
func (s *Spreader) pingParentSoon() {
	if s.parent != nil {
		s.parent.pingSoon = true
		s.parent.poke()
	}
}

// takePing answers a ping at once: the answer's confirmation is younger than
// the ping.
func (s *Spreader) takePing(sess *session, m *messenger.Heartbeat) {
	position, members := s.position(), s.Table.Digest()
	s.reconcile(sess, m.Position)
	s.mu.Lock()
	defer s.mu.Unlock()
	pong := &messenger.HeartbeatAnswer{Sequence: m.Sequence, Position: position, MembersDigest: members, Confirm: s.age()}
	if sess.role == roleChild {
		fleet := s.fleetTally()
		pong.Fleet = &fleet
	}
	sess.add(pong)
	if m.Subtree != nil && sess.role == roleChild {
		s.takeTally(sess, *m.Subtree)
	}
	if m.MembersDigest == members {
		sess.mismatches = 0
		return
	}
	if sess.mismatches++; sess.mismatches >= mismatchesBeforeExchange {
		sess.mismatches = 0
		s.exchangeDigests(sess, true)
	}
}

func (s *Spreader) takePong(sess *session, m *messenger.HeartbeatAnswer) {
	s.reconcile(sess, m.Position)
	s.mu.Lock()
	sent, ok := sess.pings[m.Sequence]
	delete(sess.pings, m.Sequence)
	if m.Fleet != nil && sess.role == roleParent {
		s.fleet = *m.Fleet
	}
	s.mu.Unlock()
	if ok {
		s.observe(m.Confirm, sent)
	}
}
