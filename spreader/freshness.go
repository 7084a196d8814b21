package spreader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/versioner"
)

// maxSurveyPeers bounds the peers that one survey asks.
const maxSurveyPeers = 8

// narrowLinkReadDelay is how long a daemon on a narrow link waits for a parent
// before it reads the whole configuration from the store, in heartbeats.
// Finding a parent takes a few round trips, and a daemon that starts must serve
// within seconds.
const narrowLinkReadDelay = 2

// confirmation records that version was the newest one in the store at the time
// at, on this daemon's monotonic clock. at may be earlier than the true time
// but never later, so that no confirmation looks more recent than it is.
type confirmation struct {
	version versioner.Version
	at      time.Time
}

// handleConfirmation records a confirmation that a peer sent with its age.
// since is when the request for it was sent: counting the age back from there
// includes the time in transit.
func (s *Spreader) handleConfirmation(c *messenger.Confirmation, since time.Time) {
	if c == nil || c.AgeMS < 0 {
		return
	}
	s.recordConfirmation(c.Version, since.Add(-time.Duration(c.AgeMS)*time.Millisecond))
}

// recordConfirmation keeps a confirmation if it is more recent than the last
// one, and applies the pending document if that is now confirmed. It also notes
// since when this daemon has lacked a version.
func (s *Spreader) recordConfirmation(v versioner.Version, at time.Time) {
	s.mu.Lock()
	// A restored store may hold an older version than was accepted.
	v = max(v, s.versionInForce())
	isNewer := at.After(s.lastConfirmation.at)
	if isNewer {
		s.lastConfirmation = confirmation{version: v, at: at}
	}
	if s.behindSince.IsZero() && v > s.versionInForce() {
		s.behindSince = time.Now()
	}
	s.mu.Unlock()
	if !isNewer {
		return
	}
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.applyIfConfirmed()
}

// applyIfConfirmed puts the pending document in force on a daemon that has
// none, once a recent confirmation names no newer version. If the version in
// force is covered in the same way, it stops counting as unconfirmed. The
// caller holds configMu.
func (s *Spreader) applyIfConfirmed() {
	s.mu.Lock()
	c := s.lastConfirmation
	recent := !c.at.IsZero() && time.Since(c.at) <= s.cfg.MaxConfirmationAge
	s.mu.Unlock()
	if !recent {
		return
	}
	if s.Applier.Current() == nil && s.pending.doc != nil && s.pending.doc.Version >= c.version {
		s.applyDocument(s.pending, nil)
	}
	if snapshot := s.Applier.Current(); snapshot != nil && snapshot.Version() >= c.version {
		s.mu.Lock()
		s.unconfirmed = false
		s.mu.Unlock()
	}
}

// confirmationMessage returns the last confirmation with its age rounded up, as
// messages carry it, or nil when there is none. The caller holds mu.
func (s *Spreader) confirmationMessage() *messenger.Confirmation {
	if s.lastConfirmation.at.IsZero() {
		return nil
	}
	passed := time.Since(s.lastConfirmation.at)
	return &messenger.Confirmation{Version: s.lastConfirmation.version, AgeMS: passed.Milliseconds() + 1}
}

// fetchFirstVersion gets a first version on a daemon that has none in force, if
// its peers do not send one, and returns once a version is in force. It starts
// only after the first attempt to read the relay slots, so that a daemon that
// serves is one that others can reach.
func (s *Spreader) fetchFirstVersion(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.firstSlotRead:
	}
	wait := s.cfg.Heartbeat/4 + jitter(s.cfg.JoinJitter)
	if s.External != nil && s.cfg.HasNarrowLink {
		// A parent, if one is found in this time, sends the configuration compressed.
		wait += narrowLinkReadDelay * s.cfg.Heartbeat
	}
	for sleeper.Sleep(ctx, wait) == nil && s.Applier.Current() == nil {
		s.readHeadOrSurvey(ctx)
		wait = around(s.cfg.Heartbeat)
	}
}

// readHeadOrSurvey reads the head from the store. If the store is unreachable,
// it surveys the peers and applies the newest version that they hold without a
// confirmation.
func (s *Spreader) readHeadOrSurvey(ctx context.Context) {
	if s.readHead(ctx) == nil {
		s.mu.Lock()
		isAlone := s.parent == nil && s.relaySlot == ""
		s.mu.Unlock()
		if isAlone {
			// The store is back, so that the relays can be found. A daemon that started while
			// it was down would else wait for its next try and hear of no later version.
			s.wakeJoin()
		}
		return
	}
	s.Counters.StoreFailures.Add(1)
	s.surveyPeers(ctx)
	s.applyUnconfirmed()
}

// readHead reads the head, or the external configuration, from the store once
// and applies the version that it names.
func (s *Spreader) readHead(ctx context.Context) error {
	began := time.Now()
	if s.External != nil {
		item, err := s.Store.Get(ctx, s.External.Key)
		if err == nil {
			s.noteSource(began)
			s.handleExternalItem(item, began)
		}
		return err
	}
	head, _, err := acceptor.ReadHead(ctx, s.Store)
	if err != nil {
		return err
	}
	s.noteSource(began)
	s.recordConfirmation(head.Version, began)
	if head.Version == 0 {
		return nil
	}
	return s.syncToHead(ctx, head)
}

// noteSource keeps that this daemon has the version that was the newest in the store, or at a
// daemon that watches it, at a time.
func (s *Spreader) noteSource(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.sourceAt) {
		s.sourceAt = at
	}
}

// surveyPeers asks the known peers for their versions. The newest document that
// they send becomes pending.
func (s *Spreader) surveyPeers(ctx context.Context) {
	addrs := s.candidates()
	s.survey(ctx, addrs[:min(len(addrs), maxSurveyPeers)])
}

// survey asks the daemons at the addresses for their versions at the same time.
func (s *Spreader) survey(ctx context.Context, addrs []string) {
	s.Counters.Surveys.Add(1)
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() { s.surveyPeer(ctx, addr) })
	}
	wg.Wait()
}

// surveyPeer fetches the document of one peer if it is newer than the one that
// this daemon holds.
func (s *Spreader) surveyPeer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.SilentAfter)
	defer cancel()
	began := time.Now()
	link, reply, err := s.handshake(ctx, addr, messenger.PurposeSurvey)
	if err != nil {
		return
	}
	defer link.Close()
	welcome, ok := reply.(*messenger.Welcome)
	if !ok {
		return
	}
	s.handleConfirmation(welcome.Confirm, began)
	if welcome.Position.Version > s.position().Version {
		m, err := link.Receive(ctx)
		if err != nil {
			return
		}
		from := &session{role: roleSurveyor, node: welcome.Node}
		switch m := m.(type) {
		case *messenger.State:
			s.handleState(m, from)
		case *messenger.Deltas:
			s.handleDeltas(m.Deltas, from)
		}
	}
	// Only a daemon that watches can say that there is nothing newer: two others might each
	// rely on what the other says.
	if welcome.IsWatching && welcome.Position.Version <= s.position().Version {
		s.noteSource(began)
	}
}

// applyUnconfirmed puts the pending document in force without a confirmation.
func (s *Spreader) applyUnconfirmed() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	if s.Applier.Current() != nil || s.pending.doc == nil {
		return
	}
	s.mu.Lock()
	s.unconfirmed = true
	s.mu.Unlock()
	s.Log.Warn("version-unconfirmed",
		zap.Uint64("version", uint64(s.pending.doc.Version)))
	s.applyDocument(s.pending, nil)
}
