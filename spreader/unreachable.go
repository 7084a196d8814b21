package spreader

import (
	"time"

	"bambooweir.example/bambooweir/tracker"
)

// suspicion records since when a daemon of this failure domain, running under
// incarnation, has been missing from every relay's tree.
type suspicion struct {
	since       time.Time
	incarnation uint64
	// marked says that the record was marked gone because of this suspicion. A
	// daemon that refutes the mark is not marked again until its next
	// incarnation.
	marked bool
}

// markUnreachable marks gone the records of daemons of this failure domain that
// have been in no relay's tree for more than twice DepartureGrace. It finds
// daemons that died together with every daemon that had a session with them, so
// that no session loss was recorded. A relay that is not linked to all other
// relays of the domain cannot know this, and marks none.
func (s *Spreader) markUnreachable() {
	records := s.Table.Domain(s.Domain)
	s.mu.Lock()
	if s.relaySlot == "" || !s.isLinkedToAllRelays() {
		s.suspicions = nil
		s.mu.Unlock()
		return
	}
	next := make(map[string]suspicion)
	var gone []tracker.Record
	for _, r := range records {
		if r.State == tracker.StateGone || r.InstanceID == s.InstanceID || s.reaches(r.InstanceID) {
			continue
		}
		known, ok := s.suspicions[r.InstanceID]
		if !ok || known.incarnation != r.Incarnation {
			known = suspicion{since: time.Now(), incarnation: r.Incarnation}
		}
		if !known.marked && time.Since(known.since) > 2*s.cfg.DepartureGrace {
			known.marked = true
			gone = append(gone, r)
		}
		next[r.InstanceID] = known
	}
	s.suspicions = next
	s.mu.Unlock()
	s.markGone(gone)
}

// isLinkedToAllRelays reports whether this daemon has a session with every
// other relay of its failure domain, including a relay that lost its slot and
// still is the root of a tree. A relay that refuses connections does not count: its
// process is gone, and while the store is down its slot stays known. The caller holds mu.
func (s *Spreader) isLinkedToAllRelays() bool {
	linked := map[string]bool{s.PeerAddress: true}
	for addr := range s.refusingRelays {
		linked[addr] = true
	}
	for _, sess := range s.sessions {
		if sess.role == roleNeighbor {
			linked[sess.node.PeerAddress] = true
		}
	}
	for _, o := range s.slots {
		if o.domain == s.Domain && !linked[o.addr] {
			return false
		}
	}
	for _, addr := range s.domainRootAddrs() {
		if !linked[addr] {
			return false
		}
	}
	return true
}

// domainRootAddrs returns the peer addresses of the other roots of this failure
// domain that have an unexpired, non-empty report. The caller holds mu.
func (s *Spreader) domainRootAddrs() []string {
	var addrs []string
	for id, r := range s.reports {
		if r.Domain == s.Domain && id != s.InstanceID && len(r.Tally.Counts) > 0 {
			addrs = append(addrs, r.Root.PeerAddress)
		}
	}
	return addrs
}
