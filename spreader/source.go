package spreader

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

// This file decides when a daemon stops relying on others for new versions. A source that has
// nothing to tell and one that has stopped are both silent, so that a source counts only while it
// answers heartbeats.

const (
	// relayPatienceHeartbeats is for how many heartbeats a relay relies on the relays that it
	// is linked with after the last message of any of them.
	relayPatienceHeartbeats = 2
	// surveyHalfHeartbeats is for how many half heartbeats of silence any other daemon waits
	// before it asks other daemons. They send it what it lacks, the store the whole configuration.
	surveyHalfHeartbeats = 5
	// maxSurveyedSources bounds the peers that it asks.
	maxSurveyedSources = 3
	// patienceHalfHeartbeats is for how many half heartbeats any other daemon relies on its
	// parent. After SilentAfter, by default six of them, it looks for another parent, and it
	// mostly has one before it would call the store.
	patienceHalfHeartbeats = 7
	// patienceSpreadHalfHeartbeats spreads the calls of the daemons below one parent.
	patienceSpreadHalfHeartbeats = 1
	// silentSourcePauseHeartbeats is for how many heartbeats a daemon that has read the newest
	// version, because its sources are silent, leaves the store alone. Most have a parent by then
	// and need not watch.
	silentSourcePauseHeartbeats = 2
)

// isSource reports whether this daemon relies on the peer for new versions. Only relays rely on
// neighbors: one of them always watches the store, while two other roots might rely on each other.
// The caller holds mu.
func (s *Spreader) isSource(sess *session) bool {
	isTrusted := sess.role == roleParent || sess.role == roleNeighbor && s.relaySlot != ""
	return isTrusted && !sess.isSourceSilent
}

// peerSourceAt returns when a peer last showed that it is a source of versions. The caller
// holds mu.
func (s *Spreader) peerSourceAt() time.Time {
	at := s.sourceAt
	for _, sess := range s.sessions {
		if s.isSource(sess) && sess.heardAt.After(at) {
			at = sess.heardAt
		}
	}
	return at
}

// patience returns how long after peerSourceAt this daemon watches the store itself. The caller
// holds mu.
func (s *Spreader) patience() time.Duration {
	if s.relaySlot != "" {
		return relayPatienceHeartbeats * s.cfg.Heartbeat
	}
	return patienceHalfHeartbeats*s.cfg.Heartbeat/2 + s.patienceSpread
}

// surveyPatience returns how long after peerSourceAt this daemon asks other peers.
func (s *Spreader) surveyPatience() time.Duration {
	return surveyHalfHeartbeats * s.cfg.Heartbeat / 2
}

// surveyIfSilent asks some peers for their versions, in the background, if the sources of
// versions have been silent for surveyPatience.
func (s *Spreader) surveyIfSilent(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isDue := time.Since(s.peerSourceAt()) > s.surveyPatience() && time.Since(s.surveyedAt) > s.cfg.Heartbeat
	if !isDue || s.isStoreAnswering || s.relaySlot != "" || s.versionInForce() == 0 {
		return
	}
	s.surveyedAt = time.Now()
	go s.survey(ctx, s.surveyedSources())
}

// surveyedSources returns the addresses of at most maxSurveyedSources daemons to ask for versions:
// known relays, except the parent, and random members for the rest, first of other failure domains.
// The caller holds mu.
func (s *Spreader) surveyedSources() []string {
	var addrs []string
	for _, i := range rand.Perm(len(s.slots)) {
		addrs = append(addrs, s.slots[i].addr)
	}
	addrs = slices.Concat(addrs, s.randomMembers(false), s.randomMembers(true))
	left := map[string]bool{"": true, s.PeerAddress: true, s.lostParent: true}
	if s.parent != nil {
		left[s.parent.node.PeerAddress] = true
	}
	addrs = slices.DeleteFunc(addrs, func(addr string) bool {
		isLeft := left[addr]
		left[addr] = true
		return isLeft
	})
	return addrs[:min(len(addrs), maxSurveyedSources)]
}

// isSourceOverdue reports whether the sources of versions among the peers have been silent for
// too long. The caller holds mu.
func (s *Spreader) isSourceOverdue() bool { return time.Since(s.peerSourceAt()) > s.patience() }

// isSilentFor reports whether the answer to a heartbeat must tell the peer that this daemon is no
// source of versions. Another relay of the failure domain has to know whether this one watches the
// store. Children of a relay are not told: when the store is down, all of them would call it. The
// caller holds mu.
func (s *Spreader) isSilentFor(sess *session) bool {
	switch {
	case sess.role == roleNeighbor:
		return sess.domain == s.Domain && !s.isStoreAnswering
	case s.relaySlot != "":
		return false
	}
	return !s.isStoreAnswering && s.isSourceOverdue()
}

// handleSourceSilent keeps whether the peer has said that it is no source of versions.
func (s *Spreader) handleSourceSilent(sess *session, isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isSilent && !sess.isSourceSilent {
		if sess.role == roleParent {
			s.Log.Info("source-silent", zap.String("parent", sess.node.InstanceID))
		}
		s.wakeWatcher()
	}
	sess.isSourceSilent = isSilent
}

// wakeWatcher makes this daemon look at once whether to watch the store.
func (s *Spreader) wakeWatcher() {
	select {
	case s.watcherWake <- struct{}{}:
	default:
	}
}

// setStoreAnswering keeps whether the last call of this daemon's watch was answered.
func (s *Spreader) setStoreAnswering(isAnswering bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStoreAnswering = isAnswering
}
