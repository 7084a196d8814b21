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
	// maxLaggards bounds the daemons that a tally names.
	maxLaggards = 4
	// maxReason bounds the length of a laggard's reason.
	maxReason = 160
)

// Convergence is what a daemon knows of the versions in force.
type Convergence struct {
	// Fleet is the state of all daemons, as far as it has been heard of.
	Fleet messenger.Tally
	// IsConfirmed says that the version in force was not taken on trust.
	IsConfirmed bool
	// HeadVersion is the newest version that the store is known to have held,
	// HeadAge ago. HeadAge is 0 when nothing is known.
	HeadVersion versioner.Version
	HeadAge     time.Duration
	IsRelay     bool
	Parent      messenger.Node
	// Depth is the number of daemons between the root, included, and this one.
	Depth    int
	Children int
	// Sessions counts the links to parent, children and neighbors.
	Sessions int
}

// rootReport is a report with the time at which it last changed hands.
type rootReport struct {
	messenger.RootReport
	heard time.Time
}

// Convergence returns what this daemon knows of the fleet.
func (s *Spreader) Convergence() Convergence {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Convergence{
		Fleet: s.fleetTally(), IsConfirmed: !s.unconfirmed && s.Applier.Current() != nil,
		HeadVersion: s.confirmed.version, IsRelay: s.relaySlot != "", Depth: len(s.path),
	}
	if !s.confirmed.at.IsZero() {
		c.HeadAge = time.Since(s.confirmed.at)
	}
	if s.parent != nil {
		c.Parent = s.parent.node
	}
	c.Children = s.children()
	c.Sessions = len(s.sessions)
	return c
}

// children counts the sessions of children. The caller holds mu.
func (s *Spreader) children() int {
	n := 0
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			n++
		}
	}
	return n
}

// subtreeTally sums this daemon and its children. The caller holds mu.
func (s *Spreader) subtreeTally() messenger.Tally {
	tallies := []messenger.Tally{s.ownTally()}
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			tallies = append(tallies, sess.tally)
		}
	}
	return sum(tallies)
}

func (s *Spreader) ownTally() messenger.Tally {
	v := s.versionInForce()
	tally := messenger.Tally{Counts: []messenger.VersionCount{{Version: v, Daemons: 1}}}
	reason := ""
	switch {
	case s.refusal.version > v:
		reason = s.refusal.reason[:min(len(s.refusal.reason), maxReason)]
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

func (s *Spreader) versionInForce() versioner.Version {
	if snapshot := s.Applier.Current(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

func sum(tallies []messenger.Tally) messenger.Tally {
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
	total.Lagging = total.Lagging[:min(len(total.Lagging), maxLaggards)]
	return total
}

// takeTally notes the tally below a child. The caller holds mu.
func (s *Spreader) takeTally(sess *session, tally messenger.Tally) {
	if slices.Equal(sess.tally.Counts, tally.Counts) && slices.Equal(sess.tally.Lagging, tally.Lagging) {
		return
	}
	sess.tally = tally
	s.pingParentSoon()
}

// fleetTally is the sum of all roots' reports on a root, and what the parent
// said elsewhere. The caller holds mu.
func (s *Spreader) fleetTally() messenger.Tally {
	if s.parent != nil {
		return s.fleet
	}
	tallies := []messenger.Tally{s.subtreeTally()}
	for id, r := range s.reports {
		if id != s.InstanceID {
			tallies = append(tallies, r.Tally)
		}
	}
	return sum(tallies)
}

// upkeepReports renews this root's own report and drops those that expired.
func (s *Spreader) upkeepReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.reports {
		if time.Since(r.heard) > 2*s.cfg.DomainSilence {
			delete(s.reports, id)
		}
	}
	if s.parent != nil {
		s.withdrawReport()
		return
	}
	tally := s.subtreeTally()
	old, ok := s.reports[s.InstanceID]
	if ok && time.Since(old.heard) < s.cfg.DomainSilence/3 && slices.Equal(old.Tally.Counts, tally.Counts) {
		return
	}
	s.publishReport(tally)
}

// withdrawReport takes back the report of a daemon that is no root any more.
// The caller holds mu.
func (s *Spreader) withdrawReport() {
	if r, ok := s.reports[s.InstanceID]; ok && len(r.Tally.Counts) > 0 {
		s.publishReport(messenger.Tally{})
	}
}

// publishReport queues an own report for all neighbors. The caller holds mu.
func (s *Spreader) publishReport(tally messenger.Tally) {
	s.reportSeq++
	s.reports[s.InstanceID] = &rootReport{heard: time.Now(), RootReport: messenger.RootReport{
		Root: s.node(), Domain: s.Domain, Epoch: s.epoch, Sequence: s.reportSeq, Tally: tally,
	}}
	s.passReport(s.InstanceID, 0)
}

// passReport queues a report for all neighbors but one. The caller holds mu.
func (s *Spreader) passReport(root string, except tracker.Source) {
	for _, sess := range s.sessions {
		if sess.role == roleNeighbor && sess.id != except {
			sess.reports[root] = struct{}{}
			sess.poke()
		}
	}
}

// takeReports keeps the reports that are newer and passes them on.
func (s *Spreader) takeReports(sess *session, reports []messenger.RootReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		old, ok := s.reports[r.Root.InstanceID]
		if ok && !isNewer(old.RootReport, r) {
			// The neighbor has it already: the two may have crossed.
			delete(sess.reports, r.Root.InstanceID)
		}
		if r.Root.InstanceID == s.InstanceID || (ok && !isNewer(r, old.RootReport)) {
			continue
		}
		s.reports[r.Root.InstanceID] = &rootReport{RootReport: r, heard: time.Now()}
		s.passReport(r.Root.InstanceID, sess.id)
	}
}

func isNewer(r, old messenger.RootReport) bool {
	return cmp.Or(cmp.Compare(r.Epoch, old.Epoch), cmp.Compare(r.Sequence, old.Sequence)) > 0
}

// rootReports returns the reports that wait for a session, or nil.
func (s *Spreader) rootReports(sess *session) messenger.Message {
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

// markSilentDomains marks the records of failure domains none of whose roots
// are heard of. A root that misses half of the domains takes itself to be cut
// off and marks none.
func (s *Spreader) markSilentDomains() {
	s.mu.Lock()
	if s.parent != nil {
		s.mu.Unlock()
		return
	}
	heard := make(map[string]time.Time)
	for _, r := range s.reports {
		if len(r.Tally.Counts) > 0 && r.heard.After(heard[r.Domain]) {
			heard[r.Domain] = r.heard
		}
	}
	var silent []string
	suspects := 0
	for domain, at := range heard {
		if time.Since(at) > s.cfg.DomainSilence {
			silent = append(silent, domain)
		}
		// The reports of domains that were cut off together end within one refresh.
		if time.Since(at) > s.cfg.DomainSilence*2/3 {
			suspects++
		}
	}
	s.mu.Unlock()
	if 2*suspects >= len(heard) {
		return
	}
	for _, domain := range silent {
		records := s.Table.Domain(domain)
		s.markGone(slices.DeleteFunc(records, func(r tracker.Record) bool { return r.State == tracker.StateGone }))
	}
}
