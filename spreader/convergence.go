package spreader

import (
	"cmp"
	"slices"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// maxDaemonsBehind bounds the daemons that a tally lists by name because
	// they are behind.
	maxDaemonsBehind = 4
	// maxReasonBytes bounds the reason given for each of them.
	maxReasonBytes = 160
)

// Convergence is one daemon's view of the versions in force across the fleet.
type Convergence struct {
	// Fleet counts the daemons of the whole fleet by version in force, as far
	// as reports of them have arrived.
	Fleet messenger.Tally
	// IsConfirmed is false until a version is in force. It is also false after
	// this daemon applied a version without a confirmation, until a confirmation
	// covers the version in force.
	IsConfirmed bool
	// HeadVersion is the newest version that the store is known to have held,
	// HeadAge ago. HeadAge is 0 when no confirmation has arrived.
	HeadVersion versioner.Version
	HeadAge     time.Duration
	IsRelay     bool
	Parent      messenger.Node
	// Depth is the number of daemons above this one in the tree, including the
	// root.
	Depth    int
	Children int
	// Sessions counts the sessions with the parent, children and neighbors.
	Sessions int
}

// rootReport is the newest report of a root, with the time at which this daemon
// received or published it.
type rootReport struct {
	messenger.RootReport
	receivedAt time.Time
}

// Convergence returns this daemon's view of the fleet.
func (s *Spreader) Convergence() Convergence {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Convergence{
		Fleet: s.fleetTally(), IsConfirmed: !s.unconfirmed && s.Applier.Current() != nil,
		HeadVersion: s.lastConfirmation.version, IsRelay: s.relaySlot != "", Depth: len(s.path),
	}
	if !s.lastConfirmation.at.IsZero() {
		c.HeadAge = time.Since(s.lastConfirmation.at)
	}
	if s.parent != nil {
		c.Parent = s.parent.node
	}
	c.Children = s.childCount()
	c.Sessions = len(s.sessions)
	return c
}

// childCount returns the number of sessions with children. The caller holds mu.
func (s *Spreader) childCount() int {
	n := 0
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			n++
		}
	}
	return n
}

// subtreeTally returns the tally of this daemon and all daemons below it. The
// caller holds mu.
func (s *Spreader) subtreeTally() messenger.Tally {
	tallies := []messenger.Tally{s.ownTally()}
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			tallies = append(tallies, sess.tally)
		}
	}
	return sumTallies(tallies)
}

// ownTally returns the tally of this daemon alone, with a reason if it is
// behind or its version is unconfirmed. The caller holds mu.
func (s *Spreader) ownTally() messenger.Tally {
	v := s.versionInForce()
	tally := messenger.Tally{Counts: []messenger.VersionCount{{Version: v, Daemons: 1}}}
	reason := ""
	switch {
	case s.refusal.version > v:
		reason = s.refusal.reason[:min(len(s.refusal.reason), maxReasonBytes)]
	case s.behindSince.IsZero() || time.Since(s.behindSince) < s.cfg.Heartbeat:
	case v == 0:
		reason = "no-configuration"
	default:
		reason = "behind"
	}
	if reason == "" && s.unconfirmed {
		reason = "unconfirmed"
	}
	if reason != "" {
		tally.Lagging = []messenger.LaggingDaemon{{InstanceID: s.InstanceID, Version: v, Reason: reason}}
	}
	return tally
}

// versionInForce returns the version in force, or 0 when there is none.
func (s *Spreader) versionInForce() versioner.Version {
	if snapshot := s.Applier.Current(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// sumTallies adds up tallies. Of the daemons behind it keeps those with the
// lowest versions, up to maxDaemonsBehind.
func sumTallies(tallies []messenger.Tally) messenger.Tally {
	counts := make(map[versioner.Version]int)
	var total messenger.Tally
	for _, t := range tallies {
		for _, c := range t.Counts {
			counts[c.Version] += c.Daemons
		}
		total.Lagging = append(total.Lagging, t.Lagging...)
	}
	for v, n := range counts {
		total.Counts = append(total.Counts, messenger.VersionCount{Version: v, Daemons: n})
	}
	slices.SortFunc(total.Counts, func(a, b messenger.VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	slices.SortFunc(total.Lagging, func(a, b messenger.LaggingDaemon) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.InstanceID, b.InstanceID))
	})
	total.Lagging = total.Lagging[:min(len(total.Lagging), maxDaemonsBehind)]
	return total
}

// updateChildTally stores the tally of a child's subtree and, if it changed,
// requests a ping that carries the change to the parent. The caller holds mu.
func (s *Spreader) updateChildTally(sess *session, tally messenger.Tally) {
	if slices.Equal(sess.tally.Counts, tally.Counts) && slices.Equal(sess.tally.Lagging, tally.Lagging) {
		return
	}
	sess.tally = tally
	s.requestParentPing()
}

// fleetTally returns the tally of the whole fleet: on a root the sum of its own
// subtree and the other roots' reports, elsewhere the tally that the parent
// last sent. The caller holds mu.
func (s *Spreader) fleetTally() messenger.Tally {
	if s.parent != nil {
		return s.fleetFromParent
	}
	tallies := []messenger.Tally{s.subtreeTally()}
	for id, r := range s.reports {
		if id != s.InstanceID {
			tallies = append(tallies, r.Tally)
		}
	}
	return sumTallies(tallies)
}

// refreshReports drops expired reports and renews this daemon's own if it is a
// root, or withdraws it if it is not.
func (s *Spreader) refreshReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.reports {
		if time.Since(r.receivedAt) > 2*s.cfg.DomainSilence {
			delete(s.reports, id)
		}
	}
	if s.parent != nil {
		s.withdrawReport()
		return
	}
	tally := s.subtreeTally()
	old, ok := s.reports[s.InstanceID]
	if ok && time.Since(old.receivedAt) < s.cfg.DomainSilence/3 && slices.Equal(old.Tally.Counts, tally.Counts) {
		return
	}
	s.publishReport(tally)
}

// withdrawReport publishes an empty report in place of the last one of a daemon
// that is no longer a root. The caller holds mu.
func (s *Spreader) withdrawReport() {
	if r, ok := s.reports[s.InstanceID]; ok && len(r.Tally.Counts) > 0 {
		s.publishReport(messenger.Tally{})
	}
}

// publishReport stores a new report of this daemon's tally and queues it for
// all neighbors. The caller holds mu.
func (s *Spreader) publishReport(tally messenger.Tally) {
	s.reportSeq++
	s.reports[s.InstanceID] = &rootReport{receivedAt: time.Now(), RootReport: messenger.RootReport{
		Root: s.node(), Domain: s.Domain, Epoch: s.epoch, Sequence: s.reportSeq, Tally: tally,
	}}
	s.forwardReport(s.InstanceID, 0)
}

// forwardReport queues the report of a root for all neighbors but the session
// except. The caller holds mu.
func (s *Spreader) forwardReport(root string, except tracker.Source) {
	for _, sess := range s.sessions {
		if sess.role == roleNeighbor && sess.id != except {
			sess.reports[root] = struct{}{}
			sess.wakeWriter()
		}
	}
}

// handleReports stores the reports that are newer than the known ones and
// forwards them to the other neighbors.
func (s *Spreader) handleReports(sess *session, reports []messenger.RootReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		old, ok := s.reports[r.Root.InstanceID]
		if ok && !isNewerReport(old.RootReport, r) {
			// The neighbor has the stored report or a newer one, for example because
			// both sides sent it at the same time: don't send it.
			delete(sess.reports, r.Root.InstanceID)
		}
		if r.Root.InstanceID == s.InstanceID || (ok && !isNewerReport(r, old.RootReport)) {
			continue
		}
		s.reports[r.Root.InstanceID] = &rootReport{RootReport: r, receivedAt: time.Now()}
		s.forwardReport(r.Root.InstanceID, sess.id)
	}
}

// isNewerReport reports whether r is newer than old: of a later process, or of
// the same process with a higher sequence.
func isNewerReport(r, old messenger.RootReport) bool {
	return cmp.Or(cmp.Compare(r.Epoch, old.Epoch), cmp.Compare(r.Sequence, old.Sequence)) > 0
}

// reportsMessage returns the reports queued for a session, or nil when there
// are none.
func (s *Spreader) reportsMessage(sess *session) messenger.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(sess.reports) == 0 {
		return nil
	}
	m := new(messenger.Reports)
	for id := range sess.reports {
		if r, ok := s.reports[id]; ok {
			m.Reports = append(m.Reports, r.RootReport)
		}
	}
	clear(sess.reports)
	return m
}

// markSilentDomains marks gone the records of failure domains from whose roots
// no report has arrived for DomainSilence. A root whose reports of half of the
// domains are overdue assumes that it is cut off itself and marks none. A
// daemon that is not a root does nothing.
func (s *Spreader) markSilentDomains() {
	s.mu.Lock()
	if s.parent != nil {
		s.mu.Unlock()
		return
	}
	lastReport := make(map[string]time.Time)
	for _, r := range s.reports {
		if len(r.Tally.Counts) > 0 && r.receivedAt.After(lastReport[r.Domain]) {
			lastReport[r.Domain] = r.receivedAt
		}
	}
	var silent []string
	overdue := 0
	for domain, at := range lastReport {
		if time.Since(at) > s.cfg.DomainSilence {
			silent = append(silent, domain)
		}
		// A report is renewed every third of DomainSilence, so the last reports of
		// domains that were cut off together differ by up to that much. With a limit
		// of two thirds, all of those domains count as overdue before the first is
		// marked.
		if time.Since(at) > s.cfg.DomainSilence*2/3 {
			overdue++
		}
	}
	s.mu.Unlock()
	if 2*overdue >= len(lastReport) {
		return
	}
	for _, domain := range silent {
		records := s.Table.Domain(domain)
		s.markGone(slices.DeleteFunc(records, func(r tracker.Record) bool { return r.State == tracker.StateGone }))
	}
}
