package spreader

import (
	"math/rand/v2"
	"testing"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// newIdleSession returns a neighbor session of s whose reader and writer do not
// run.
func newIdleSession(s *Spreader) *session {
	sess := &session{role: roleNeighbor, members: make(map[string]struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addSession(sess)
	return sess
}

// TestDigestsOfAForeignDomainAreAnsweredWithTombstones covers a failure domain of
// which this daemon has only tombstones, or no record. The peer's digest of it
// differs, so the peer must receive the tombstones. Otherwise it would keep the
// records of targets that are gone.
func TestDigestsOfAForeignDomainAreAnsweredWithTombstones(t *testing.T) {
	for _, records := range [][]tracker.Record{nil, {{InstanceID: "b", Incarnation: 1, Sequence: 2, Domain: "selma-row", State: tracker.StateGone}}} {
		s := newIdleSpreader()
		sess := newIdleSession(s)
		s.Table.Merge(records)
		s.handleDigests(sess, &messenger.MemberDigests{Domains: []messenger.DomainDigest{{Domain: "selma-row", Digest: 7}}})
		got := 0
		for _, m := range sess.queue {
			if members, ok := m.(*messenger.Members); ok {
				got += len(members.Records)
			}
		}
		if want := len(records); got != want {
			t.Errorf("records sent: got %d, want %d", got, want)
		}
	}
}

// TestOwnHistoryIsReported guards against a daemon that waits for its history for good, or not at all.
func TestOwnHistoryIsReported(t *testing.T) {
	for _, tt := range []struct {
		name, record    string
		version         versioner.Version
		digests, answer uint64 // the last ping before the digests, and the one that is answered
		want            bool
	}{
		{"own record", "self", 0, 0, 0, true},
		{"record of another instance", "other", 0, 0, 0, false},
		{"exchange has ended", "other", 3, 5, 6, true},
		{"records may follow the answer", "other", 3, 5, 5, false},
		{"peer without a configuration", "other", 0, 5, 6, false},
	} {
		s, got := newIdleSpreader(), false
		s.InstanceID, s.OnOwnHistory = "self", func() { got = true }
		sess, record := newIdleSession(s), readyRecord(tt.record, "mobile-bay")
		sess.remote.Version, sess.sequence, record.PeerAddress = tt.version, tt.digests, "127.0.0.1:7001"
		s.handleMembers(t.Context(), []tracker.Record{record}, sess)
		s.handleDigests(sess, &messenger.MemberDigests{Reply: true})
		s.handlePong(sess, &messenger.HeartbeatAnswer{Sequence: tt.answer, Position: sess.remote})
		if got != tt.want {
			t.Errorf("%s: reported: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

// newDeltaChain returns the documents of the versions 0 to n and the n deltas
// between them.
func newDeltaChain(n int) ([]digestedDoc, []versioner.Delta) {
	docs := []digestedDoc{{doc: new(versioner.Document)}}
	var deltas []versioner.Delta
	for i := range n {
		from := docs[i]
		upserts := []versioner.Entry{{
			Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: i},
		}}
		next := from.doc.With(upserts, nil)
		digest, _ := next.Digest()
		deltas = append(deltas, versioner.Delta{From: from.doc.Version, To: next.Version, FromDigest: from.digest, ToDigest: digest, Upserts: upserts})
		docs = append(docs, digestedDoc{doc: next, digest: digest})
	}
	return docs, deltas
}

// TestDeltasReorderedDuplicatedAndLost delivers a random choice of deltas in
// random order. Every gap must lead to a Pull from an accepted version, the
// version in force must never go down, and its content must be complete.
func TestDeltasReorderedDuplicatedAndLost(t *testing.T) {
	const versions = 20
	docs, deltas := newDeltaChain(versions)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newIdleSpreader()
		sess := newIdleSession(s)
		_, _ = s.Applier.Offer(docs[1].doc)
		newest := s.versionInForce()
		for range 40 {
			i := rng.IntN(versions)
			isGap := deltas[i].From > newest
			s.handleDeltas(deltas[i:min(versions, i+1+rng.IntN(3))], sess)
			now := s.versionInForce()
			if now < newest {
				t.Fatalf("seed %d: got version %d after %d", seed, now, newest)
			}
			newest = now
			snapshot := s.Applier.Current()
			if got, want := snapshot.Digest, docs[now].digest; now > 1 && got != want {
				t.Fatalf("seed %d: digest of version %d: got %s, want %s", seed, now, got, want)
			}
			if got := len(sess.queue) > 0; isGap && !got {
				t.Fatalf("seed %d: gap after version %d: got no pull", seed, now)
			}
			for _, m := range sess.queue {
				if pull, ok := m.(*messenger.Pull); ok && pull.Position != docs[pull.Position.Version].position() {
					t.Fatalf("seed %d: got pull from %+v, want a position of an accepted version", seed, pull.Position)
				}
			}
			sess.queue = nil
		}
		s.handleDeltas(deltas[newest:], sess)
		if got, want := s.versionInForce(), versioner.Version(versions); got != want {
			t.Errorf("seed %d: after the answer to the last pull: got version %d, want %d", seed, got, want)
		}
	}
}

// TestLostPushIsRepairedByHeartbeats covers a push that never arrives. The
// first ping with an old position may have crossed the push; after the second
// one the push must be repeated.
func TestLostPushIsRepairedByHeartbeats(t *testing.T) {
	docs, _ := newDeltaChain(3)
	s := newIdleSpreader()
	sess := newIdleSession(s)
	s.stageOrApply(docs[2], nil, nil)
	s.applyUnconfirmed()
	if m := s.configurationMessage(sess); m == nil {
		t.Fatal("first push: got none")
	}
	behind := docs[1].position()
	for _, want := range []bool{false, true} {
		s.handlePing(sess, &messenger.Heartbeat{Position: behind})
		if got := s.configurationMessage(sess) != nil; got != want {
			t.Errorf("push again: got %v, want %v", got, want)
		}
	}
}

// TestOlderVersionIsRefused sends deltas and a document below the version in
// force. The sender must get a Refused message for each, and the version in
// force must stay.
func TestOlderVersionIsRefused(t *testing.T) {
	docs, deltas := newDeltaChain(3)
	s := newIdleSpreader()
	sess := newIdleSession(s)
	s.stageOrApply(docs[3], nil, nil)
	s.applyUnconfirmed()
	s.handleDeltas(deltas[:2], sess)
	s.handleState(&messenger.State{Document: *docs[1].doc, Digest: docs[1].digest}, sess)
	refusals := 0
	for _, m := range sess.queue {
		if refused, ok := m.(*messenger.Refused); ok && refused.Cause == causeOlder && refused.InForce == 3 {
			refusals++
		}
	}
	if got, want := refusals, 2; got != want {
		t.Errorf("refusals sent: got %d, want %d", got, want)
	}
	if got := s.versionInForce(); got != 3 {
		t.Errorf("in force: got %d, want 3", got)
	}
}
