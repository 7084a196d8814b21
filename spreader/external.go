package spreader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
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
	members := 0
	for _, r := range s.Table.All() {
		if r.State != tracker.StateGone {
			members++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetSize = members
	return s.relaying || members <= maxWatchers && !s.cfg.IsNarrow
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
	s.accept(held{doc: doc, digest: digest}, nil, nil)
	s.confirm(doc.Version, began)
	return doc.Version
}

// holdBack returns how much longer a version is not pushed: where daemons watch
// for themselves, their heartbeats tell before a push whether they need it. The
// caller holds mu.
func (s *Spreader) holdBack() time.Duration {
	if s.External == nil || s.inForceAt.IsZero() || s.fleetSize > maxWatchers || s.cfg.IsNarrow {
		return 0
	}
	return s.cfg.Heartbeat + s.cfg.Heartbeat/2 - time.Since(s.inForceAt)
}
