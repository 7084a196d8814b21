package spreader

import (
	"time"

	"bambooweir.example/bambooweir/tracker"
)

// suspicion is a record of the own failure domain whose daemon is in no
// relay's tree.
type suspicion struct {
	since       time.Time
	incarnation uint64
	// marked says that the record was marked gone for it. A daemon that refuted
	// that is left alone until its next incarnation.
	marked bool
}

// markUnreached marks the records of daemons of the own failure domain that are
// in no relay's tree for long. It finds what died together with everyone that
// had a session with it.
func (s *Spreader) markUnreached() {
	records := s.Table.Domain(s.Domain)
	s.mu.Lock()
	if s.relaySlot == "" || !s.seesAllRelays() {
		s.unreached = nil
		s.mu.Unlock()
		return
	}
	next := make(map[string]suspicion)
	var gone []tracker.Record
	for _, r := range records {
		if r.State == tracker.StateGone || r.InstanceID == s.InstanceID || s.reaches(r.InstanceID) {
			continue
		}
		known, ok := s.unreached[r.InstanceID]
		if !ok || known.incarnation != r.Incarnation {
			known = suspicion{since: time.Now(), incarnation: r.Incarnation}
		}
		if !known.marked && time.Since(known.since) > 2*s.cfg.DepartureGrace {
			known.marked = true
			gone = append(gone, r)
		}
		next[r.InstanceID] = known
	}
	s.unreached = next
	s.mu.Unlock()
	s.markGone(gone)
}

// seesAllRelays says whether this daemon is linked with every other relay of
// its failure domain, one that lost its slot and still has a tree included. The
// caller holds mu.
func (s *Spreader) seesAllRelays() bool {
	linked := map[string]bool{s.PeerAddress: true}
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
	for _, addr := range s.domainRoots() {
		if !linked[addr] {
			return false
		}
	}
	return true
}

// domainRoots returns the addresses of the roots that are heard of in the own
// failure domain. The caller holds mu.
func (s *Spreader) domainRoots() []string {
	var addrs []string
	for id, r := range s.reports {
		if r.Domain == s.Domain && id != s.InstanceID && len(r.Tally.Counts) > 0 {
			addrs = append(addrs, r.Root.PeerAddress)
		}
	}
	return addrs
}
