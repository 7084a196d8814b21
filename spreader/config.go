package spreader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/recoverer"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// The causes that a Refused message names.
const (
	causeOlder   = "older-version"
	causeInvalid = "invalid"
	causeForked  = "forked-version"
	causeDigest  = "digest-mismatch"
)

// refusal is the version that this daemon last refused to put in force, and
// why.
type refusal struct {
	version versioner.Version
	reason  string
}

// newestDoc returns the document in force or, before the first one, the pending
// document. The caller holds configMu.
func (s *Spreader) newestDoc() digestedDoc {
	if snapshot := s.Applier.Current(); snapshot != nil {
		return digestedDoc{doc: snapshot.Document, digest: snapshot.Digest}
	}
	return s.pending
}

// Known returns the version in force with the deltas that led to it.
func (s *Spreader) Known() acceptor.Known {
	snapshot := s.Applier.Current()
	if snapshot == nil {
		return acceptor.Known{}
	}
	return acceptor.Known{Document: snapshot.Document, Digest: snapshot.Digest, Deltas: s.history.all()}
}

// position returns the version and digest of newestDoc.
func (s *Spreader) position() messenger.Position {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return s.newestDoc().position()
}

// syncToHead brings this daemon to the version that the store's head names. It
// applies the head's recent deltas if they lead to the head's digest, and
// otherwise reads the whole document from the store.
func (s *Spreader) syncToHead(ctx context.Context, head acceptor.Head) error {
	s.configMu.Lock()
	base := s.newestDoc()
	s.configMu.Unlock()
	if head.Version <= base.position().Version {
		return nil
	}
	next, err := s.documentOf(ctx, base, head)
	if err != nil {
		return err
	}
	s.stageOrApply(next, head.Recent, nil)
	return nil
}

// documentOf returns the document that the head names, from its deltas if these lead there
// from base, and otherwise from the store. A panic is an error.
func (s *Spreader) documentOf(ctx context.Context, base digestedDoc, head acceptor.Head) (next digestedDoc, err error) {
	defer recoverer.Recover(s.Log, "document", func() { err = errDecodePanic })
	next, err = base.applyDeltas(head.Recent)
	if err == nil && next.digest == head.Digest {
		return next, nil
	}
	return s.readDocument(ctx, head)
}

// readDocument reads the document that the head names from the store and
// verifies its digest.
func (s *Spreader) readDocument(ctx context.Context, head acceptor.Head) (digestedDoc, error) {
	doc, err := acceptor.ReadDocument(ctx, s.Store, head)
	if err != nil {
		return digestedDoc{}, err
	}
	digest, err := doc.Digest()
	if err != nil {
		return digestedDoc{}, err
	}
	if digest != head.Digest {
		return digestedDoc{}, &versioner.DigestMismatchError{At: head.Version, Got: digest, Want: head.Digest}
	}
	return digestedDoc{doc: doc, digest: digest}, nil
}

// handleDeltas applies deltas that a peer sent. If a delta is missing or a
// digest differs, it sends the peer a Pull for what this daemon lacks.
func (s *Spreader) handleDeltas(deltas []versioner.Delta, from *session) {
	s.Counters.DeltasReceived.Add(int64(len(deltas)))
	if len(deltas) == 0 {
		return
	}
	s.configMu.Lock()
	base := s.newestDoc()
	s.configMu.Unlock()
	last := deltas[len(deltas)-1]
	if last.To <= base.position().Version {
		s.Counters.DeltasRepeated.Add(1)
		s.refuseOlder(last.To, base.position().Version, from)
		return
	}
	next, err := base.applyDeltas(deltas)
	if err != nil {
		s.Counters.ChainsBroken.Add(1)
		s.enqueue(from, &messenger.Pull{Position: s.pullPosition(base, err)})
		return
	}
	s.stageOrApply(next, deltas, from)
}

// pullPosition returns the position that a Pull names after applying deltas to
// base failed with err. After a digest mismatch, base itself does not fit the
// deltas, so the zero position requests the whole document.
func (s *Spreader) pullPosition(base digestedDoc, err error) messenger.Position {
	var mismatch *versioner.DigestMismatchError
	if errors.As(err, &mismatch) {
		return messenger.Position{}
	}
	return base.position()
}

// handleState applies a whole document that a peer sent, and refuses one that
// does not match its digest.
func (s *Spreader) handleState(m *messenger.State, from *session) {
	s.Counters.StatesReceived.Add(1)
	digest, err := m.Document.Digest()
	if err != nil || digest != m.Digest {
		s.Counters.InvalidRefused.Add(1)
		s.enqueue(from, &messenger.Refused{Offered: m.Document.Version, InForce: s.position().Version, Cause: causeDigest})
		return
	}
	s.stageOrApply(digestedDoc{doc: &m.Document, digest: digest}, nil, from)
}

// stageOrApply applies a document that came from a session, or from the store
// when from is nil. A daemon without a version in force keeps it as pending
// until a confirmation covers it.
func (s *Spreader) stageOrApply(next digestedDoc, deltas []versioner.Delta, from *session) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.history.add(deltas)
	if s.Applier.Current() != nil {
		s.applyDocument(next, from)
		return
	}
	if next.position().Version > s.pending.position().Version {
		s.pending = next
	}
	s.applyIfConfirmed()
}

// applyDocument offers a document to the applier and, once it is in force,
// wakes the writers of all sessions to push it. The caller holds configMu.
func (s *Spreader) applyDocument(next digestedDoc, from *session) {
	v := next.position().Version
	applied, err := s.Applier.OfferDigested(next.doc, next.digest)
	if err != nil {
		s.reportRefusal(v, err, from)
		return
	}
	if !applied {
		return
	}
	s.pending = digestedDoc{}
	s.Counters.VersionsApplied.Add(1)
	s.Log.Info("version-in-force", zap.Uint64("version", uint64(v)), zap.String("source", sourceName(from)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behindSince = time.Time{}
	if s.refusal.version <= v {
		s.refusal = refusal{}
	}
	s.requestParentPing()
	for _, sess := range s.sessions {
		sess.wakeWriter()
	}
}

// reportRefusal counts and logs a version that the applier rejected, and sends
// its sender a Refused message. The caller holds configMu.
func (s *Spreader) reportRefusal(v versioner.Version, err error, from *session) {
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
		s.pending = digestedDoc{}
	}
	s.mu.Lock()
	isNew := s.refusal.version != v
	s.refusal = refusal{version: v, reason: cause + ": " + err.Error()}
	s.requestParentPing()
	s.mu.Unlock()
	if isNew {
		s.Log.Error("version-refused", zap.Uint64("version", uint64(v)), zap.Error(err))
	}
	s.enqueue(from, &messenger.Refused{Offered: v, InForce: s.newestDoc().position().Version, Cause: cause})
}

// refuseOlder counts a version below the one in force and sends its sender a
// Refused message.
func (s *Spreader) refuseOlder(offered, inForce versioner.Version, from *session) {
	if offered >= inForce {
		return
	}
	s.Counters.OlderRefused.Add(1)
	s.enqueue(from, &messenger.Refused{Offered: offered, InForce: inForce, Cause: causeOlder})
}

// configurationMessage returns the deltas or the whole document that bring the
// session's peer to the version in force. It returns nil when the peer has that
// version or refused it, or when the push has to wait.
func (s *Spreader) configurationMessage(sess *session) messenger.Message {
	snapshot := s.Applier.Current()
	if snapshot == nil {
		return nil
	}
	now := messenger.Position{Version: snapshot.Version(), Digest: snapshot.Digest}
	s.mu.Lock()
	remote, refused := sess.remote, sess.refusedVersion
	if now.Version <= remote.Version || now.Version == refused {
		s.mu.Unlock()
		return nil
	}
	if wait := s.pushDelay(sess, remote.Version); wait > 0 {
		s.mu.Unlock()
		time.AfterFunc(wait, sess.wakeWriter)
		return nil
	}
	sess.remote = now
	sess.isPushPending = true
	s.mu.Unlock()
	if deltas, ok := s.history.between(remote, now); ok {
		return &messenger.Deltas{Deltas: deltas}
	}
	s.Counters.StatesSent.Add(1)
	return &messenger.State{Document: *snapshot.Document, Digest: snapshot.Digest}
}

// reconcilePosition compares the position that the peer reports with the one
// that it should have after the pushes sent to it. One lower position after a
// push may be older than the push's arrival; a second one means that the push
// was lost and must be sent again.
func (s *Spreader) reconcilePosition(sess *session, remote messenger.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case remote.Version >= sess.remote.Version:
		sess.remote = remote
		sess.isPushPending = false
	case sess.isPushPending:
		// The peer may have sent its position before the push reached it.
		sess.isPushPending = false
	default:
		sess.remote = remote
		s.Counters.PushesRepaired.Add(1)
	}
	sess.wakeWriter()
}

// sourceName returns the log's name for the origin of a version: the instance
// of the peer, or "store".
func sourceName(from *session) string {
	if from == nil {
		return "store"
	}
	return from.node.InstanceID
}
