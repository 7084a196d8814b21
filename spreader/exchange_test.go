package spreader

import (
	"math/rand/v2"
	"testing"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// between returns a session of s that is not served.
func between(s *Spreader) *session {
	sess := &session{role: roleNeighbor, members: make(map[string]struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register(sess)
	return sess
}

func TestDigestsOfAForeignDomainAreAnsweredWithTombstones(t *testing.T) {
	for _, records := range [][]tracker.Record{nil, {{InstanceID: "b", Incarnation: 1, Sequence: 2, Domain: "selma-row", State: tracker.StateGone}}} {
		s := lone()
		sess := between(s)
		s.Table.Merge(records)
		s.takeDigests(sess, &messenger.MemberDigests{Domains: []messenger.DomainDigest{{Domain: "selma-row", Digest: 7}}})
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

// chain returns documents with the deltas between them.
func chain(n int) ([]held, []versioner.Delta) {
	docs := []held{{doc: new(versioner.Document)}}
	var deltas []versioner.Delta
	for i := range n {
		from := docs[i]
		upserts := []versioner.Entry{{
			Key: versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"}, Partner: &versioner.Partner{SharePercent: i},
		}}
		next := from.doc.With(upserts, nil)
		digest, _ := next.Digest()
		deltas = append(deltas, versioner.Delta{From: from.doc.Version, To: next.Version, FromDigest: from.digest, ToDigest: digest, Upserts: upserts})
		docs = append(docs, held{doc: next, digest: digest})
	}
	return docs, deltas
}

// TestDeltasReorderedDuplicatedAndLost delivers a random choice of deltas in
// random order. Every broken chain must be answered by a pull from a position
// that leads on, and no version may be skipped over in part.
func TestDeltasReorderedDuplicatedAndLost(t *testing.T) {
	const versions = 20
	docs, deltas := chain(versions)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := lone()
		sess := between(s)
		_, _ = s.Applier.Offer(docs[1].doc)
		newest := s.versionInForce()
		for range 40 {
			i := rng.IntN(versions)
			isGap := deltas[i].From > newest
			s.takeDeltas(deltas[i:min(versions, i+1+rng.IntN(3))], sess)
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
					t.Fatalf("seed %d: pull from %+v, which is no accepted version", seed, pull.Position)
				}
			}
			sess.queue = nil
		}
		s.takeDeltas(deltas[newest:], sess)
		if got, want := s.versionInForce(), versioner.Version(versions); got != want {
			t.Errorf("seed %d: after the answer to the last pull: got version %d, want %d", seed, got, want)
		}
	}
}

func TestLostPushIsRepairedByHeartbeats(t *testing.T) {
	docs, _ := chain(3)
	s := lone()
	sess := between(s)
	s.accept(docs[2], nil, nil)
	s.trustPending()
	if m := s.configuration(sess); m == nil {
		t.Fatal("first push: got none")
	}
	behind := docs[1].position()
	for _, want := range []bool{false, true} {
		s.takePing(sess, &messenger.Heartbeat{Position: behind})
		if got := s.configuration(sess) != nil; got != want {
			t.Errorf("push again: got %v, want %v", got, want)
		}
	}
}

func TestSenderOfAnOlderVersionIsTold(t *testing.T) {
	docs, deltas := chain(3)
	s := lone()
	sess := between(s)
	s.accept(docs[3], nil, nil)
	s.trustPending()
	s.takeDeltas(deltas[:2], sess)
	s.takeState(&messenger.State{Document: *docs[1].doc, Digest: docs[1].digest}, sess)
	told := 0
	for _, m := range sess.queue {
		if refused, ok := m.(*messenger.Refused); ok && refused.Cause == causeOlder && refused.InForce == 3 {
			told++
		}
	}
	if got, want := told, 2; got != want {
		t.Errorf("refusals sent: got %d, want %d", got, want)
	}
	if got := s.versionInForce(); got != 3 {
		t.Errorf("in force: got %d, want 3", got)
	}
}
