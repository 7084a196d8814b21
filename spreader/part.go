package spreader

import (
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// Part is state that a part of the program shares with the same part of other daemons, over
// the sessions of the tree and between relays. A session delivers in order what Next returned,
// until it ends; what was on its way then is lost, and the part sends it again over the next
// session if it matters. The methods are called concurrently, for one session in order.
type Part interface {
	// Name identifies the part to the peers.
	Name() string
	// Next returns what the peer of a session lacks, nil for nothing. It is called when the
	// session begins and after each SpreadParts. The part keeps what each peer has.
	Next(peer tracker.Source) []byte
	// Receive takes in what the peer of a session sent. It must accept any bytes.
	Receive(peer tracker.Source, payload []byte)
	// Forget drops what the part keeps of a session, which has ended.
	Forget(peer tracker.Source)
}

// SpreadParts makes every session send what its peer lacks of each part, at once.
func (s *Spreader) SpreadParts() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		sess.urgent = true
		sess.wakeWriter()
	}
}

// partMessages returns what the peer of the session lacks of each part.
func (s *Spreader) partMessages(sess *session) []messenger.Message {
	var messages []messenger.Message
	for _, p := range s.Parts {
		if payload := p.Next(sess.id); payload != nil {
			messages = append(messages, &messenger.PartUpdate{Part: p.Name(), Payload: payload})
		}
	}
	return messages
}

// handlePartUpdate passes an update on to the part that it names. An update for a part that
// this daemon lacks is dropped.
func (s *Spreader) handlePartUpdate(sess *session, m *messenger.PartUpdate) {
	for _, p := range s.Parts {
		if p.Name() == m.Part {
			p.Receive(sess.id, m.Payload)
			return
		}
	}
	s.Counters.Malformed.Add(1)
}

// forgetSession tells the parts that a session has ended.
func (s *Spreader) forgetSession(sess *session) {
	for _, p := range s.Parts {
		p.Forget(sess.id)
	}
}

// IsWatcher reports whether this daemon is the relay that watches the store for its failure
// domain.
func (s *Spreader) IsWatcher() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relaySlot != "" && !s.isWatchedByOtherRelay()
}
