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

// inviteEveryRounds is the number of maintenance rounds from one round of
// invitations to the next.
const inviteEveryRounds = 3

// purgeEveryRounds is the number of maintenance rounds from one purge of
// tombstones to the next.
const purgeEveryRounds = 60

// lostSession holds the records of the daemons that were reached through a
// session that ended at the time at, until their departure grace ends.
type lostSession struct {
	at      time.Time
	records map[string]tracker.Record
}

// Announce merges records of this daemon into the table and pushes them at
// once. It raises the sequence of this daemon's own record where another daemon
// has marked that record in the meantime.
func (s *Spreader) Announce(_ context.Context, records []tracker.Record) {
	s.init()
	for _, r := range records {
		if r.InstanceID == s.InstanceID {
			s.announceOwn(r)
			continue
		}
		s.mergeAndPush([]tracker.Record{r}, 0, true)
	}
}

// announceOwn stores r as this daemon's own record, with an incarnation and a
// sequence that replace the known record, and pushes it.
func (s *Spreader) announceOwn(r tracker.Record) {
	s.mu.Lock()
	r.Incarnation = max(r.Incarnation, s.minIncarnation)
	if known, ok := s.Table.Find(r.InstanceID); ok && known.Incarnation == r.Incarnation {
		r.Sequence = max(r.Sequence, known.Sequence+1)
	}
	s.ownRecord = r
	s.mu.Unlock()
	s.mergeAndPush([]tracker.Record{r}, 0, true)
}

// reannounceOwn pushes this daemon's own record again with a higher sequence.
func (s *Spreader) reannounceOwn() {
	s.mu.Lock()
	own := s.ownRecord
	s.mu.Unlock()
	if own.InstanceID != "" {
		s.announceOwn(own)
	}
}

// mergeAndPush merges records that came from a session, or from this daemon
// when from is 0, and returns those that changed. It wakes the other sessions
// to push them. The push skips the coalescing window if urgent is set or a
// record is in another state than ready.
func (s *Spreader) mergeAndPush(records []tracker.Record, from tracker.Source, urgent bool) []tracker.Record {
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
			sess.wakeWriter()
		}
	}
	return changed
}

// handleMembers merges the valid ones of the records that a peer sent and refutes those that
// replaced this daemon's own record.
func (s *Spreader) handleMembers(_ context.Context, records []tracker.Record, from *session) {
	valid := slices.DeleteFunc(slices.Clone(records), func(r tracker.Record) bool {
		err := r.Validate()
		if err != nil {
			s.Counters.Malformed.Add(1)
			s.Log.Warn("record-malformed", zap.String("peer", from.node.InstanceID), zap.Error(err))
		}
		return err != nil
	})
	for _, r := range s.mergeAndPush(valid, from.id, false) {
		if r.InstanceID == s.InstanceID {
			s.refute(r)
		}
	}
	if slices.ContainsFunc(valid, func(r tracker.Record) bool { return r.InstanceID == s.InstanceID }) {
		s.reportOwnHistory()
	}
}

// reportOwnHistory tells OnOwnHistory that the peers have said what they know of earlier
// processes of this instance.
func (s *Spreader) reportOwnHistory() {
	if s.OnOwnHistory != nil {
		s.OnOwnHistory()
	}
}

// refute announces this daemon's own record again when r, a record of the same
// instance made by another daemon or an earlier process, would replace it.
func (s *Spreader) refute(r tracker.Record) {
	s.mu.Lock()
	own := s.ownRecord
	if r.Incarnation > own.Incarnation && r.PeerAddress == own.PeerAddress {
		// An earlier process of this instance ran on a clock that has since been set
		// back. Only a higher incarnation replaces its record.
		s.minIncarnation = r.Incarnation + 1
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

// membersMessage returns the records that changed since the last ones sent on
// the session, or nil. When the table no longer knows all of those changes, it
// starts an exchange of digests instead.
func (s *Spreader) membersMessage(sess *session) messenger.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, next, ok := s.Table.Since(sess.cursor, sess.id, recordsPerMessage)
	sess.cursor = next
	if !ok {
		s.queueDigests(sess, true)
		return nil
	}
	if len(records) == 0 {
		return nil
	}
	if len(records) == recordsPerMessage {
		sess.wakeWriter()
	}
	return &messenger.Members{Records: records}
}

// queueDigests queues the membership digests of all failure domains. If reply
// is set, the peer answers with its own digests. It queues nothing while the table is
// full: the table can't hold what the peers hold, and exchanging that again and again would
// fill the links. The caller holds mu.
func (s *Spreader) queueDigests(sess *session, reply bool) {
	if s.Table.IsFull() {
		return
	}
	s.Counters.DigestExchanges.Add(1)
	m := &messenger.MemberDigests{Reply: reply}
	for domain, digest := range s.Table.Digests() {
		m.Domains = append(m.Domains, messenger.DomainDigest{Domain: domain, Digest: digest})
	}
	sess.appendMessage(m)
}

// handleDigests queues the records of the failure domains whose digests differ
// from the peer's.
func (s *Spreader) handleDigests(sess *session, m *messenger.MemberDigests) {
	if s.Table.IsFull() {
		return
	}
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
		// When the table removes a record of a domain, it also deletes the domain's
		// digest if only tombstones remain. The peer may lack these tombstones.
		if _, ok := ours[domain]; !ok {
			records = append(records, s.Table.Domain(domain)...)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for chunk := range slices.Chunk(records, recordsPerMessage) {
		sess.appendMessage(&messenger.Members{Records: chunk})
	}
	if m.Reply {
		s.queueDigests(sess, false)
		sess.digestsSequence, sess.hasSentDigests = sess.sequence, true
	}
}

// handleSubtree records which instances joined or left below a child or a
// neighbor. Changes below a child are forwarded to the parent and to the relays
// of this failure domain.
func (s *Spreader) handleSubtree(sess *session, m *messenger.Subtree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelGrace(m.Joined)
	if sess.role == roleParent {
		return
	}
	sess.addMembers(m.Joined)
	sess.redirectedJoins = max(0, sess.redirectedJoins-len(m.Joined))
	for _, id := range m.Left {
		delete(sess.members, id)
	}
	if sess.role == roleChild {
		s.forwardSubtree(m)
	}
}

// forwardSubtree queues m for the parent and for the neighbors in this failure
// domain. The caller holds mu.
func (s *Spreader) forwardSubtree(m *messenger.Subtree) {
	for _, sess := range s.sessions {
		if sess.role == roleParent || (sess.role == roleNeighbor && sess.domain == s.Domain) {
			sess.appendMessage(m)
		}
	}
}

// descendants returns the IDs of the instances below this daemon. The caller
// holds mu.
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

// removeSession removes a session that ended and records which daemons may be
// lost with it.
func (s *Spreader) removeSession(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.id)
	s.Counters.SessionsLost.Add(1)
	if s.isSource(sess) && sess.heardAt.After(s.sourceAt) {
		s.sourceAt = sess.heardAt
	}
	s.wakeWatcher()
	switch sess.role {
	case roleParent:
		s.Log.Info("parent-lost", zap.String("parent", sess.node.InstanceID), zap.Bool("by-choice", sess.endedLocally), zap.Duration("silent", time.Since(sess.heardAt)))
		s.parent = nil
		s.path = nil
		s.sendPathToChildren()
		if !sess.endedLocally {
			s.lostParent = sess.node.PeerAddress
			s.recordLostSession(sess)
		}
	case roleChild:
		s.recordLostSession(sess)
	case roleNeighbor:
		// The daemons of the peer's own domain decide whether it is lost. Seen from
		// another domain, it may only be the link that is cut.
		if sess.domain == s.Domain {
			s.recordLostSession(sess)
		}
	}
}

// recordLostSession starts the departure grace of the daemons that were reached
// through a session that ended. The caller holds mu.
func (s *Spreader) recordLostSession(sess *session) {
	ids := []string{sess.node.InstanceID}
	for id := range sess.members {
		if id != sess.node.InstanceID && sess.role == roleChild {
			ids = append(ids, id)
		}
	}
	ids = slices.DeleteFunc(ids, s.reaches)
	l := &lostSession{at: time.Now(), records: make(map[string]tracker.Record)}
	for _, id := range ids {
		if r, ok := s.Table.Find(id); ok && r.State != tracker.StateGone {
			l.records[id] = r
		}
	}
	s.lostSessions = append(s.lostSessions, l)
	if sess.role == roleChild {
		s.forwardSubtree(&messenger.Subtree{Left: ids})
		s.requestParentPing()
	}
}

// cancelGrace ends the departure grace of daemons that are reached again. The
// caller holds mu.
func (s *Spreader) cancelGrace(ids []string) {
	for _, l := range s.lostSessions {
		for _, id := range ids {
			delete(l.records, id)
		}
	}
}

// runMaintenance marks lost daemons, refreshes reports, invites departed
// daemons and purges tombstones at intervals until ctx ends.
func (s *Spreader) runMaintenance(ctx context.Context) {
	for n := 0; sleeper.Sleep(ctx, s.cfg.Heartbeat/2) == nil; n++ {
		s.markLostDaemons()
		s.refreshReports()
		s.markSilentDomains()
		s.markUnreachable()
		if n%inviteEveryRounds == 0 {
			s.inviteDeparted(ctx)
		}
		if n%purgeEveryRounds == 0 {
			s.Table.Purge(time.Now().Add(-s.cfg.TombstoneRetention))
			if s.Quarantine != nil {
				s.Quarantine.Sweep()
			}
		}
	}
}

// markLostDaemons marks gone the records of daemons that did not rejoin within
// their departure grace.
func (s *Spreader) markLostDaemons() {
	s.mu.Lock()
	var gone []tracker.Record
	s.lostSessions = slices.DeleteFunc(s.lostSessions, func(l *lostSession) bool {
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

// reaches reports whether an instance is the peer of a session or is reached
// through a child or a neighbor. The caller holds mu.
func (s *Spreader) reaches(id string) bool {
	for _, sess := range s.sessions {
		if _, ok := sess.members[id]; ok || sess.node.InstanceID == id {
			return true
		}
	}
	return false
}

// markGone marks as gone those of the records that have not changed in the
// table since they were read, and pushes the marks. The daemon that owns a
// record, if it is alive, refutes the mark with a higher sequence.
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
	s.mergeAndPush(gone, 0, true)
}
