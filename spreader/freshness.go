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

// maxSurvey bounds the peers that one survey asks.
const maxSurvey = 8

// peersFirst is how long a daemon on a narrow link waits for a parent before it
// reads the whole configuration from the store, in heartbeats. To find a parent
// takes a few round trips; a daemon that starts is to serve within seconds.
const peersFirst = 2

// confirmation says that the store held a version as the newest at a time, by
// this daemon's monotonic clock. The time is never later than the truth.
type confirmation struct {
	version versioner.Version
	at      time.Time
}

// observe takes in a confirmation of the given age, counted back from since.
func (s *Spreader) observe(c *messenger.Confirmation, since time.Time) {
	if c == nil || c.AgeMS < 0 {
		return
	}
	s.confirm(c.Version, since.Add(-time.Duration(c.AgeMS)*time.Millisecond))
}

func (s *Spreader) confirm(v versioner.Version, at time.Time) {
	s.mu.Lock()
	newer := at.After(s.confirmed.at)
	if newer {
		s.confirmed = confirmation{version: v, at: at}
	}
	if s.behindSince.IsZero() && v > s.versionInForce() {
		s.behindSince = time.Now()
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.settle()
}

// settle puts the pending document of a fresh daemon in force once a recent
// confirmation covers it. The caller holds configMu.
func (s *Spreader) settle() {
	s.mu.Lock()
	c := s.confirmed
	recent := !c.at.IsZero() && time.Since(c.at) <= s.cfg.MaxConfirmationAge
	s.mu.Unlock()
	if !recent {
		return
	}
	if s.Applier.Current() == nil && s.pending.doc != nil && s.pending.doc.Version >= c.version {
		s.offer(s.pending, nil)
	}
	if snapshot := s.Applier.Current(); snapshot != nil && snapshot.Version() >= c.version {
		s.mu.Lock()
		s.unconfirmed = false
		s.mu.Unlock()
	}
}

// age returns the confirmation in the form that messages carry. The caller
// holds mu.
func (s *Spreader) age() *messenger.Confirmation {
	if s.confirmed.at.IsZero() {
		return nil
	}
	passed := time.Since(s.confirmed.at)
	return &messenger.Confirmation{Version: s.confirmed.version, AgeMS: passed.Milliseconds() + 1}
}

// freshen brings a fresh daemon to its first version when its peers do not.
// It returns once a version is in force. It does not begin before the daemon
// looked for relays: one that serves is one that others can reach.
func (s *Spreader) freshen(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.looked:
	}
	wait := s.cfg.Heartbeat/4 + jitter(s.cfg.JoinJitter)
	if s.External != nil && s.cfg.HasNarrowLink {
		// A parent brings the configuration compressed.
		wait += peersFirst * s.cfg.Heartbeat
	}
	for sleeper.Sleep(ctx, wait) == nil && s.Applier.Current() == nil {
		s.askForHead(ctx)
		wait = around(s.cfg.Heartbeat)
	}
}

// askForHead reads the head from the store, or surveys the peers when the
// store is unreachable.
func (s *Spreader) askForHead(ctx context.Context) {
	if s.readHead(ctx) == nil {
		return
	}
	s.Counters.StoreFailures.Add(1)
	s.survey(ctx)
	s.trustPending()
}

// readHead reads the head from the store once and takes it in.
func (s *Spreader) readHead(ctx context.Context) error {
	began := time.Now()
	if s.External != nil {
		item, err := s.Store.Get(ctx, s.External.Key)
		if err == nil {
			s.takeExternal(item, began)
		}
		return err
	}
	head, _, err := acceptor.ReadHead(ctx, s.Store)
	if err != nil {
		return err
	}
	s.confirm(head.Version, began)
	if head.Version == 0 {
		return nil
	}
	return s.takeHead(ctx, head)
}

// survey asks the known peers for their versions; the newest becomes pending.
func (s *Spreader) survey(ctx context.Context) {
	s.Counters.Surveys.Add(1)
	addrs := s.candidates()
	if len(addrs) > maxSurvey {
		addrs = addrs[:maxSurvey]
	}
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() { s.ask(ctx, addr) })
	}
	wg.Wait()
}

// ask fetches one peer's document if it is newer than what is held.
func (s *Spreader) ask(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.SilentAfter)
	defer cancel()
	began := time.Now()
	link, reply, err := s.greet(ctx, addr, messenger.PurposeSurvey)
	if err != nil {
		return
	}
	defer link.Close()
	welcome, ok := reply.(*messenger.Welcome)
	if !ok {
		return
	}
	s.observe(welcome.Confirm, began)
	if welcome.Position.Version <= s.position().Version {
		return
	}
	m, err := link.Receive(ctx)
	if err != nil {
		return
	}
	switch m := m.(type) {
	case *messenger.State:
		s.takeState(m, nil)
	case *messenger.Deltas:
		s.takeDeltas(m.Deltas, nil)
	}
}

// trustPending puts the pending document in force without a confirmation.
func (s *Spreader) trustPending() {
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
	s.offer(s.pending, nil)
}
