package spreader

import (
	"bambooweir.example/bambooweir/messenger"
)

// suspicionsPerMessage bounds the records of one message about requests under which targets
// have ended.
const suspicionsPerMessage = 128

// SpreadSuspicions pushes the changed records of Quarantine to all peers at once.
func (s *Spreader) SpreadSuspicions() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		sess.urgent = true
		sess.wakeWriter()
	}
}

// suspicionsMessage returns the records of requests under which targets have ended that the
// peer of the session lacks, or nil. A new session gets all.
func (s *Spreader) suspicionsMessage(sess *session) messenger.Message {
	if s.Quarantine == nil || sess.role == roleSurveyor {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records, next := s.Quarantine.Since(sess.suspicionCursor, uint64(sess.id), suspicionsPerMessage)
	sess.suspicionCursor = next
	if len(records) == 0 {
		return nil
	}
	if len(records) == suspicionsPerMessage {
		sess.urgent = true
		sess.wakeWriter()
	}
	return &messenger.Members{Suspicions: records}
}
