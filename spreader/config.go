package spreader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// The causes of a refusal.
const (
	causeOlder   = "older-version"
	causeInvalid = "invalid"
	causeForked  = "forked-version"
	causeDigest  = "digest-mismatch"
)

// refusal is the newest version that this daemon would not put in force.
type refusal struct {
	version versioner.Version
	reason  string
}

// base returns the newest document that this daemon holds, trusted or not. The
// caller holds configMu.
func (s *Spreader) base() held {
	if snapshot := s.Applier.Current(); snapshot != nil {
		return held{doc: snapshot.Document, digest: snapshot.Digest}
	}
	return s.pending
}

func (s *Spreader) position() messenger.Position {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return s.base().position()
}

// takeHead brings this daemon to the version that the store's head names.
func (s *Spreader) takeHead(ctx context.Context, head acceptor.Head) error {
	s.configMu.Lock()
	base := s.base()
	s.configMu.Unlock()
	if head.Version <= base.position().Version {
		return nil
	}
	next, err := base.follow(head.Recent)
	if err != nil || next.digest != head.Digest {
		if next, err = s.readContent(ctx, head); err != nil {
			return err
		}
	}
	s.accept(next, head.Recent, nil)
	return nil
}

func (s *Spreader) readContent(ctx context.Context, head acceptor.Head) (held, error) {
	doc, err := acceptor.ReadDocument(ctx, s.Store, head)
	if err != nil {
		return held{}, err
	}
	digest, err := doc.Digest()
	if err != nil {
		return held{}, err
	}
	if digest != head.Digest {
		return held{}, &versioner.DigestMismatchError{At: head.Version, Got: digest, Want: head.Digest}
	}
	return held{doc: doc, digest: digest}, nil
}

// takeDeltas applies deltas that a peer sent. A gap or a mismatch makes it
// pull what is missing.
func (s *Spreader) takeDeltas(deltas []versioner.Delta, from *session) {
	s.Counters.DeltasReceived.Add(int64(len(deltas)))
	if len(deltas) == 0 {
		return
	}
	s.configMu.Lock()
	base := s.base()
	s.configMu.Unlock()
	last := deltas[len(deltas)-1]
	if last.To <= base.position().Version {
		s.Counters.DeltasRepeated.Add(1)
		s.refuseOlder(last.To, base.position().Version, from)
		return
	}
	next, err := base.follow(deltas)
	if err != nil {
		s.Counters.ChainsBroken.Add(1)
		s.enqueue(from, &messenger.Pull{Position: s.pullFrom(base, err)})
		return
	}
	s.accept(next, deltas, from)
}

// pullFrom asks for the whole document when this daemon's own does not fit.
func (s *Spreader) pullFrom(base held, err error) messenger.Position {
	var mismatch *versioner.DigestMismatchError
	if errors.As(err, &mismatch) {
		return messenger.Position{}
	}
	return base.position()
}

// takeState takes in a whole document that a peer sent.
func (s *Spreader) takeState(m *messenger.State, from *session) {
	s.Counters.StatesReceived.Add(1)
	digest, err := m.Document.Digest()
	if err != nil || digest != m.Digest {
		s.Counters.InvalidRefused.Add(1)
		s.enqueue(from, &messenger.Refused{Offered: m.Document.Version, InForce: s.position().Version, Cause: causeDigest})
		return
	}
	s.accept(held{doc: &m.Document, digest: digest}, nil, from)
}

// accept takes in a document; a fresh daemon holds it back until it is
// confirmed.
func (s *Spreader) accept(next held, deltas []versioner.Delta, from *session) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.history.add(deltas)
	if s.Applier.Current() != nil {
		s.offer(next, from)
		return
	}
	if next.position().Version > s.pending.position().Version {
		s.pending = next
	}
	s.settle()
}

// offer puts a document in force and wakes the sessions. The caller holds
// configMu.
func (s *Spreader) offer(next held, from *session) {
	v := next.position().Version
	applied, err := s.Applier.Offer(next.doc)
	if err != nil {
		s.refuse(v, err, from)
		return
	}
	if !applied {
		return
	}
	s.pending = held{}
	s.Counters.VersionsApplied.Add(1)
	s.Log.Info("version-in-force", zap.Uint64("version", uint64(v)), zap.String("source", sourceOf(from)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behindSince = time.Time{}
	if s.refusal.version <= v {
		s.refusal = refusal{}
	}
	s.pingParentSoon()
	for _, sess := range s.sessions {
		sess.poke()
	}
}

// refuse counts and reports a version that is not put in force. The caller
// holds configMu.
func (s *Spreader) refuse(v versioner.Version, err error, from *session) {
	var older *applier.OlderVersionError
	if errors.As(err, &older) {
		s.refuseOlder(v, older.InForce, from)
		return
	}
	cause := causeInvalid
	var forked *applier.ForkedVersionError
	var invalid *validator.InvalidError
	switch {
	case errors.As(err, &forked):
		cause = causeForked
		s.Counters.ForkedRefused.Add(1)
	case errors.As(err, &invalid):
		s.Counters.InvalidRefused.Add(1)
	default:
		s.Counters.InvalidRefused.Add(1)
	}
	if v == s.pending.position().Version {
		s.pending = held{}
	}
	s.mu.Lock()
	isNew := s.refusal.version != v
	s.refusal = refusal{version: v, reason: cause + ": " + err.Error()}
	s.pingParentSoon()
	s.mu.Unlock()
	if isNew {
		s.Log.Error("version-refused", zap.Uint64("version", uint64(v)), zap.Error(err))
	}
	s.enqueue(from, &messenger.Refused{Offered: v, InForce: s.base().position().Version, Cause: cause})
}

// refuseOlder tells the sender of a version below the one in force.
func (s *Spreader) refuseOlder(offered, inForce versioner.Version, from *session) {
	if offered >= inForce {
		return
	}
	s.Counters.OlderRefused.Add(1)
	s.enqueue(from, &messenger.Refused{Offered: offered, InForce: inForce, Cause: causeOlder})
}

// configuration returns what brings the session's peer to the version in
// force, or nil when it needs nothing.
func (s *Spreader) configuration(sess *session) messenger.Message {
	snapshot := s.Applier.Current()
	if snapshot == nil {
		return nil
	}
	now := messenger.Position{Version: snapshot.Version(), Digest: snapshot.Digest}
	s.mu.Lock()
	remote, refused := sess.remote, sess.refused
	if now.Version <= remote.Version || now.Version == refused {
		s.mu.Unlock()
		return nil
	}
	if wait := s.holdBack(sess, remote.Version); wait > 0 {
		s.mu.Unlock()
		time.AfterFunc(wait, sess.poke)
		return nil
	}
	sess.remote = now
	sess.pushed = true
	s.mu.Unlock()
	if deltas, ok := s.history.between(remote, now); ok {
		return &messenger.Deltas{Deltas: deltas}
	}
	s.Counters.StatesSent.Add(1)
	return &messenger.State{Document: *snapshot.Document, Digest: snapshot.Digest}
}

// reconcile compares what the peer says it holds with what was sent to it. One
// lower word after a push may have crossed it; a second means that it was lost.
func (s *Spreader) reconcile(sess *session, remote messenger.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case remote.Version >= sess.remote.Version:
		sess.remote = remote
		sess.pushed = false
	case sess.pushed:
		// The peer may have spoken before the push reached it.
		sess.pushed = false
	default:
		sess.remote = remote
		s.Counters.PushesRepaired.Add(1)
	}
	sess.poke()
}

// sourceOf names where a version came from.
func sourceOf(from *session) string {
	if from == nil {
		return "store"
	}
	return from.node.InstanceID
}
