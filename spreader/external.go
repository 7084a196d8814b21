package spreader

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// External is a configuration that is made elsewhere and kept whole under one
// key of the store. Its versions only rise, not always by one.
type External struct {
	Key string
	// Decode reads a document with its version.
	Decode func(value []byte) (*versioner.Document, error)
}

const (
	// maxWatchers is the size of the fleet up to which every daemon watches the
	// external configuration itself; beyond it the relays alone do, and the tree
	// carries it on, compressed and without a call of the store.
	maxWatchers = 32
	// watcherCheck is how often a daemon that doesn't watch looks whether it should.
	watcherCheck = time.Second
	// externalPause is the pause of a watch after a change, in percent of the
	// heartbeat: changes that come in quick succession are taken in together, since
	// each call of the store is paid for.
	externalPause = 80
	// watchLost is the age of the newest word from the store from which a relay
	// watches beside another one, in percent of the longest wait of a watch.
	watchLost = 150
)

// watchExternal follows the external configuration until ctx ends, while this
// daemon is one of those that watch it.
func (s *Spreader) watchExternal(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.isWatcher() {
			_ = sleeper.Sleep(ctx, watcherCheck)
			continue
		}
		watching, stop := context.WithCancel(ctx)
		go func() {
			for s.isWatcher() && sleeper.Sleep(watching, watcherCheck) == nil {
			}
			stop()
		}()
		s.watchHead(watching)
		stop()
	}
}

func (s *Spreader) isWatcher() bool {
	members := s.Table.LiveCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetSize = members
	if s.eachWatches() {
		return true
	}
	return s.relaySlot != "" && !s.hasWatcherBeside()
}

// eachWatches says whether every daemon watches for itself. The caller holds mu.
func (s *Spreader) eachWatches() bool { return s.fleetSize <= maxWatchers && !s.cfg.HasNarrowLink }

// hasWatcherBeside says whether another relay of the own failure domain, whose
// slot comes first, watches for both, and what the store holds is known of late.
// The caller holds mu.
func (s *Spreader) hasWatcherBeside() bool {
	if time.Since(s.confirmed.at) > watchLost*s.cfg.WatchWait/100 {
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

// takeExternal takes in the external configuration as the store answered it to
// a call that began at the time, and returns its version. One that can't be
// used is refused whole and passed over: another one will come in its place.
func (s *Spreader) takeExternal(item storer.Item, began time.Time) versioner.Version {
	doc, err := s.External.Decode(item.Value)
	var digest versioner.Digest
	if err == nil {
		digest, err = doc.Digest()
	}
	if err != nil {
		s.Counters.Malformed.Add(1)
		s.Log.Error("version-refused", zap.Uint64("revision", uint64(item.Revision)), zap.Error(err))
		return s.position().Version
	}
	next := held{doc: doc, digest: digest}
	s.accept(next, s.externalDeltas(next), nil)
	s.confirm(doc.Version, began)
	return doc.Version
}

// minDeltaSaving is by how much fewer entries than the document a delta must have
// to be worth its upkeep, as a divisor.
const minDeltaSaving = 2

// externalDeltas returns the delta from the document that this daemon holds to the
// next one, if it is a small one. Peers that hold the same get it in place of the
// whole document.
func (s *Spreader) externalDeltas(next held) []versioner.Delta {
	s.configMu.Lock()
	base := s.base()
	s.configMu.Unlock()
	s.mu.Lock()
	eachWatches := s.eachWatches()
	s.mu.Unlock()
	if eachWatches || base.doc == nil || base.doc.Version >= next.doc.Version {
		return nil
	}
	delta := base.doc.ExternalDelta(next.doc)
	if (len(delta.Upserts)+len(delta.Deletes))*minDeltaSaving > len(next.doc.Entries) {
		return nil
	}
	delta.FromDigest, delta.ToDigest = base.digest, next.digest
	return []versioner.Delta{delta}
}

// holdBack returns how much longer no version is pushed to a peer that holds an
// older one: where daemons watch for themselves, as one of each failure domain
// does, their heartbeats tell before a push whether they need it. What counts is
// how long the peer has lacked a version, however many have come since. The caller
// holds mu.
func (s *Spreader) holdBack(sess *session, remote versioner.Version) time.Duration {
	isOtherDomain := sess.role == roleNeighbor && sess.domain != s.Domain
	if s.External == nil || remote == 0 || !isOtherDomain && !s.eachWatches() {
		return 0
	}
	history := s.Applier.History()
	i := slices.IndexFunc(history, func(a applier.Applied) bool { return a.Version > remote })
	if i < 0 {
		return 0
	}
	return s.cfg.Heartbeat + s.cfg.Heartbeat/2 - time.Since(history[i].At)
}
