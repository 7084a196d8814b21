package spreader

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/tracker"
)

// inviteEvery is the number of rounds of upkeep between two looks for daemons
// that left.
const inviteEvery = 3

// purgeEvery is the number of rounds of upkeep between two purges.
const purgeEvery = 60

// loss is a session that ended, with the records that were reached through it.
type loss struct {
	at      time.Time
	records map[string]tracker.Record
}

// Announce takes in this daemon's own record and spreads it at once. The
// sequence is raised where another daemon has marked the record meanwhile.
func (s *Spreader) Announce(_ context.Context, records []tracker.Record) {
	s.init()
	for _, r := range records {
		if r.InstanceID == s.InstanceID {
			s.announceOwn(r)
			continue
		}
		s.spread([]tracker.Record{r}, 0, true)
	}
}

func (s *Spreader) announceOwn(r tracker.Record) {
	s.mu.Lock()
	r.Incarnation = max(r.Incarnation, s.raised)
	if known, ok := s.Table.Find(r.InstanceID); ok && known.Incarnation == r.Incarnation {
		r.Sequence = max(r.Sequence, known.Sequence+1)
	}
	s.own = r
	s.mu.Unlock()
	s.spread([]tracker.Record{r}, 0, true)
}

// raiseOwn spreads this daemon's own record again with a higher sequence.
func (s *Spreader) raiseOwn() {
	s.mu.Lock()
	own := s.own
	s.mu.Unlock()
	if own.InstanceID != "" {
		s.announceOwn(own)
	}
}

// spread merges records and wakes the sessions for those that are new.
func (s *Spreader) spread(records []tracker.Record, from tracker.Source, urgent bool) []tracker.Record {
	changed := s.Table.MergeFrom(records, from)
	if len(changed) == 0 {
		return nil
	}
	urgent = urgent || slices.ContainsFunc(changed, func(r tracker.Record) bool { return r.State != tracker.StateReady })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if sess.id != from {
			sess.urgent = sess.urgent || urgent
			sess.poke()
		}
	}
	return changed
}

func (s *Spreader) takeMembers(_ context.Context, records []tracker.Record, from *session) {
	for _, r := range s.spread(records, from.id, false) {
		if r.InstanceID == s.InstanceID {
			s.refute(r)
		}
	}
}

// refute answers a record of this daemon that another one made.
func (s *Spreader) refute(r tracker.Record) {
	s.mu.Lock()
	own := s.own
	if r.Incarnation > own.Incarnation && r.PeerAddress == own.PeerAddress {
		// A process before this one, on a clock that has since been set back.
		s.raised = r.Incarnation + 1
		s.mu.Unlock()
		s.announceOwn(own)
		return
	}
	s.mu.Unlock()
	if own.Incarnation != r.Incarnation || own.Sequence > r.Sequence {
		return
	}
	s.Counters.RecordsRefuted.Add(1)
	s.announceOwn(own)
}

// members returns the records that changed since the session was last sent
// any, or nil.
func (s *Spreader) members(sess *session) messenger.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, next, ok := s.Table.Since(sess.cursor, sess.id, recordsPerMessage)
	sess.cursor = next
	if !ok {
		s.exchangeDigests(sess, true)
		return nil
	}
	if len(records) == 0 {
		return nil
	}
	if len(records) == recordsPerMessage {
		sess.poke()
	}
	return &messenger.Members{Records: records}
}

// exchangeDigests queues the digests of all failure domains. The caller holds
// mu.
func (s *Spreader) exchangeDigests(sess *session, reply bool) {
	s.Counters.DigestExchanges.Add(1)
	m := &messenger.MemberDigests{Reply: reply}
	for domain, digest := range s.Table.Digests() {
		m.Domains = append(m.Domains, messenger.DomainDigest{Domain: domain, Digest: digest})
	}
	sess.add(m)
}

// takeDigests sends the records of the failure domains that differ.
func (s *Spreader) takeDigests(sess *session, m *messenger.MemberDigests) {
	theirs := make(map[string]uint64, len(m.Domains))
	for _, d := range m.Domains {
		theirs[d.Domain] = d.Digest
	}
	var records []tracker.Record
	ours := s.Table.Digests()
	for domain, digest := range ours {
		if theirs[domain] != digest {
			records = append(records, s.Table.Domain(domain)...)
		}
	}
	for domain := range theirs {
		// A domain all of whose targets left has no digest, but tombstones.
		if _, ok := ours[domain]; !ok {
			records = append(records, s.Table.Domain(domain)...)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for chunk := range slices.Chunk(records, recordsPerMessage) {
		sess.add(&messenger.Members{Records: chunk})
	}
	if m.Reply {
		s.exchangeDigests(sess, false)
	}
}

// takeSubtree notes which instances are reached through a child, and tells the
// relays of the own failure domain and the parent.
func (s *Spreader) takeSubtree(sess *session, m *messenger.Subtree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found(m.Joined)
	if sess.role == roleParent {
		return
	}
	sess.addMembers(m.Joined)
	sess.redirected = max(0, sess.redirected-len(m.Joined))
	for _, id := range m.Left {
		delete(sess.members, id)
	}
	if sess.role == roleChild {
		s.passSubtree(m)
	}
}

// passSubtree tells the parent and the neighbors. The caller holds mu.
func (s *Spreader) passSubtree(m *messenger.Subtree) {
	for _, sess := range s.sessions {
		if sess.role == roleParent || (sess.role == roleNeighbor && sess.domain == s.Domain) {
			sess.add(m)
		}
	}
}

// descendants returns the instances below this daemon. The caller holds mu.
func (s *Spreader) descendants() []string {
	var ids []string
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			for id := range sess.members {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// noteLoss starts the grace of the daemons behind a session that ended. The
// caller holds mu.
func (s *Spreader) noteLoss(sess *session) {
	ids := []string{sess.node.InstanceID}
	for id := range sess.members {
		if id != sess.node.InstanceID && sess.role == roleChild {
			ids = append(ids, id)
		}
	}
	ids = slices.DeleteFunc(ids, s.reaches)
	l := &loss{at: time.Now(), records: make(map[string]tracker.Record)}
	for _, id := range ids {
		if r, ok := s.Table.Find(id); ok && r.State != tracker.StateGone {
			l.records[id] = r
		}
	}
	s.lost = append(s.lost, l)
	if sess.role == roleChild {
		s.passSubtree(&messenger.Subtree{Left: ids})
		s.pingParentSoon()
	}
}

// found ends the grace of daemons that are reached again. The caller holds mu.
func (s *Spreader) found(ids []string) {
	for _, l := range s.lost {
		for _, id := range ids {
			delete(l.records, id)
		}
	}
}

// maintain runs the upkeep until ctx ends.
func (s *Spreader) maintain(ctx context.Context) {
	for n := 0; sleeper.Sleep(ctx, s.cfg.Heartbeat/2) == nil; n++ {
		s.markLost()
		s.upkeepReports()
		s.markSilentDomains()
		s.markUnreached()
		if n%inviteEvery == 0 {
			s.inviteLost(ctx)
		}
		if n%purgeEvery == 0 {
			s.Table.Purge(time.Now().Add(-s.cfg.TombstoneRetention))
		}
	}
}

// markLost marks the records of daemons that did not come back in time.
func (s *Spreader) markLost() {
	s.mu.Lock()
	var gone []tracker.Record
	s.lost = slices.DeleteFunc(s.lost, func(l *loss) bool {
		if time.Since(l.at) < s.cfg.DepartureGrace {
			return false
		}
		for id, r := range l.records {
			if !s.reaches(id) {
				gone = append(gone, r)
			}
		}
		return true
	})
	s.mu.Unlock()
	s.markGone(gone)
}

// reaches says whether an instance has a session with this daemon or below it.
// The caller holds mu.
func (s *Spreader) reaches(id string) bool {
	for _, sess := range s.sessions {
		if _, ok := sess.members[id]; ok || sess.node.InstanceID == id {
			return true
		}
	}
	return false
}

// markGone spreads the departure of the records that nobody has replaced. The
// owner of a record, if it lives, refutes it by a higher sequence.
func (s *Spreader) markGone(records []tracker.Record) {
	var gone []tracker.Record
	for _, r := range records {
		known, ok := s.Table.Find(r.InstanceID)
		if !ok || known != r || r.InstanceID == s.InstanceID {
			continue
		}
		r.Sequence++
		r.State = tracker.StateGone
		gone = append(gone, r)
	}
	if len(gone) == 0 {
		return
	}
	s.Counters.RecordsMarked.Add(int64(len(gone)))
	for _, r := range gone {
		s.Log.Warn("target-marked-gone", zap.String("target", r.InstanceID), zap.String("service", r.Service))
	}
	s.spread(gone, 0, true)
}
