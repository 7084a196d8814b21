package spreader

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/recoverer"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// External describes a configuration that another system writes, whole, under
// one key of the store. Its versions only go up, but may skip numbers.
type External struct {
	Key string
	// Decode parses a stored value into a document with its version.
	Decode func(value []byte) (*versioner.Document, error)
}

const (
	// maxDirectWatchFleet is the fleet size up to which every daemon watches
	// the external configuration itself. In a larger fleet only the relays do,
	// and the tree distributes the configuration, compressed and without
	// further calls of the store.
	maxDirectWatchFleet = 32
	// watcherCheckInterval is how often a daemon checks whether it should
	// watch.
	watcherCheckInterval = time.Second
	// watchPausePercent is the pause of a watch after a change, in percent of
	// the heartbeat. Changes in quick succession are then read by one call of
	// the store, since each call is charged for.
	watchPausePercent = 80
	// staleWatchPercent is the age of the newest confirmation, in percent of
	// WatchWait, from which a relay watches even though another relay of its
	// failure domain should be watching for both.
	staleWatchPercent = 150
)

// watchReason says why a daemon watches the external configuration, and is "" if it does not.
type watchReason string

const (
	// reasonSmallFleet means that every daemon watches.
	reasonSmallFleet watchReason = "small-fleet"
	// reasonRelay means that this daemon is the relay that watches for its failure domain.
	reasonRelay watchReason = "relay"
	// reasonSilentSource means that the peers from which versions come are silent.
	reasonSilentSource watchReason = "silent-source"
)

// watchWhenNeeded watches the newest version in the store until ctx ends, whenever
// there is a reason.
func (s *Spreader) watchWhenNeeded(ctx context.Context) {
	for ctx.Err() == nil {
		reason := s.watchReason()
		if reason == "" {
			s.surveyIfSilent(ctx)
			s.waitForWatcherCheck(ctx)
			continue
		}
		s.Log.Info("watch-begun", zap.String("reason", string(reason)))
		watchCtx, stop := context.WithCancel(ctx)
		go func() {
			for s.watchReason() != "" && sleeper.Sleep(watchCtx, watcherCheckInterval) == nil {
				s.surveyIfSilent(ctx)
			}
			stop()
		}()
		var pace watchPace
		if reason == reasonSilentSource {
			pace = watchPace{firstPause: silentSourcePauseHeartbeats * s.cfg.Heartbeat, maxBackoff: s.cfg.LeaseTTL}
		}
		s.watchHead(watchCtx, pace)
		stop()
		s.Log.Info("watch-ended")
	}
}

// waitForWatcherCheck waits until this daemon has to check again whether to watch.
func (s *Spreader) waitForWatcherCheck(ctx context.Context) {
	s.mu.Lock()
	silence := time.Since(s.peerSourceAt())
	patiences := []time.Duration{s.surveyPatience(), s.patience()}
	s.mu.Unlock()
	wait := watcherCheckInterval
	for _, patience := range patiences {
		if patience > silence {
			wait = min(wait, patience-silence+time.Millisecond)
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.watcherWake:
	}
}

// watchReason returns why this daemon should watch the newest version, in addition to what a
// relay does for a configuration that is not external. It updates fleetSize.
func (s *Spreader) watchReason() watchReason {
	liveCount := s.Table.LiveCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetSize = liveCount
	isRelay := s.relaySlot != ""
	switch {
	case s.External != nil && s.everyDaemonWatches():
		return reasonSmallFleet
	case s.External != nil && isRelay && !s.isWatchedByOtherRelay():
		return reasonRelay
	case !isRelay && s.versionInForce() > 0 && s.isSourceOverdue():
		return reasonSilentSource
	}
	return ""
}

// everyDaemonWatches reports whether the fleet is small enough for every daemon
// to watch for itself. It is false on a narrow link, whose daemon leaves
// watching to others. The caller holds mu.
func (s *Spreader) everyDaemonWatches() bool {
	return s.fleetSize <= maxDirectWatchFleet && !s.cfg.HasNarrowLink
}

// isWatchedByOtherRelay reports whether another relay of this failure domain,
// with an earlier slot and a session with this daemon, watches for both. It is
// false when no relay has been heard of or the newest confirmation is too old, since
// that relay's watch may have failed. The caller holds mu.
func (s *Spreader) isWatchedByOtherRelay() bool {
	if s.isSourceOverdue() || time.Since(s.lastConfirmation.at) > staleWatchPercent*s.cfg.WatchWait/100 {
		return false
	}
	for _, o := range s.slots {
		if o.domain != s.Domain || o.key >= s.relaySlot || o.addr == "" {
			continue
		}
		for _, sess := range s.sessions {
			if sess.role == roleNeighbor && sess.node.PeerAddress == o.addr {
				return true
			}
		}
	}
	return false
}

// handleExternalItem applies the external configuration that a call of the
// store returned, and returns its version. began is when the call began. A
// value that cannot be decoded is refused as a whole and skipped until the next
// one replaces it; the version that this daemon holds is returned then.
func (s *Spreader) handleExternalItem(item storer.Item, began time.Time) versioner.Version {
	doc, digest, err := s.decodeExternal(item.Value)
	if err != nil {
		s.Counters.Malformed.Add(1)
		s.Log.Error("version-refused", zap.Uint64("revision", item.Revision.Number()), zap.Error(err))
		return s.position().Version
	}
	next := digestedDoc{doc: doc, digest: digest}
	s.stageOrApply(next, s.externalDeltas(next), nil)
	s.recordConfirmation(doc.Version, began)
	return doc.Version
}

// errDecodePanic means that decoding a configuration panicked.
var errDecodePanic = errors.New("decoding the configuration failed")

// decodeExternal returns the document that the value holds, and its digest.
func (s *Spreader) decodeExternal(value []byte) (doc *versioner.Document, digest versioner.Digest, err error) {
	defer recoverer.Recover(s.Log, "external-configuration", func() { err = errDecodePanic })
	if doc, err = s.External.Decode(value); err != nil {
		return nil, digest, err
	}
	digest, err = doc.Digest()
	return doc, digest, err
}

// deltaSizeDivisor limits the deltas that are kept: to be worth its upkeep, a
// delta must have at most 1/deltaSizeDivisor as many entries as the document.
const deltaSizeDivisor = 2

// externalDeltas returns the delta from the document that this daemon holds to
// next, or nil when the delta is large or every daemon watches for itself.
// Peers that hold the same document are sent the delta instead of the whole
// next one.
func (s *Spreader) externalDeltas(next digestedDoc) []versioner.Delta {
	s.configMu.Lock()
	base := s.newestDoc()
	s.configMu.Unlock()
	s.mu.Lock()
	eachWatches := s.everyDaemonWatches()
	s.mu.Unlock()
	if eachWatches || base.doc == nil || base.doc.Version >= next.doc.Version {
		return nil
	}
	delta := base.doc.ExternalDelta(next.doc)
	if (len(delta.Upserts)+len(delta.Deletes))*deltaSizeDivisor > len(next.doc.Entries) {
		return nil
	}
	delta.FromDigest, delta.ToDigest = base.digest, next.digest
	return []versioner.Delta{delta}
}

// pushDelay returns how much longer to wait before a push to a peer that holds
// an older version. Where every daemon watches for itself, and between failure
// domains, each of which has its own watcher, the peer's heartbeats show in
// that time whether it needs the push. The delay counts from the first version
// that the peer lacked, however many have followed since. The caller holds mu.
func (s *Spreader) pushDelay(sess *session, remote versioner.Version) time.Duration {
	isOtherDomain := sess.role == roleNeighbor && sess.domain != s.Domain
	if s.External == nil || remote == 0 || sess.role == roleSurveyor || !isOtherDomain && !s.everyDaemonWatches() {
		return 0
	}
	history := s.Applier.History()
	i := slices.IndexFunc(history, func(a applier.Applied) bool { return a.Version > remote })
	if i < 0 {
		return 0
	}
	return s.cfg.Heartbeat + s.cfg.Heartbeat/2 - time.Since(history[i].At)
}
