package spreader

import (
	"slices"
	"testing"

	"bambooweir.example/bambooweir/messenger"
)

// TestRelayRetriesNextRingDomain guards against a fleet that splits: the links
// along the ring connect all relays, so a relay whose foreign links are all
// elsewhere must now and then try the next domain of the ring again.
func TestRelayRetriesNextRingDomain(t *testing.T) {
	s := newIdleSpreader()
	s.PeerAddress = "127.0.0.1:1"
	s.slots = []slot{
		{key: "relay/mobile-bay/0", domain: "mobile-bay", addr: s.PeerAddress},
		{key: "relay/moelan/0", domain: "moelan", addr: "127.0.0.1:2"},
		{key: "relay/quimperle/0", domain: "quimperle", addr: "127.0.0.1:3"},
		{key: "relay/selma-row/0", domain: "selma-row", addr: "127.0.0.1:4"},
	}
	key := s.slots[0].key
	link := func(o slot) {
		sess := newIdleSession(s)
		sess.node = messenger.Node{InstanceID: o.domain, PeerAddress: o.addr}
		sess.domain, sess.dialed = o.domain, true
	}
	if got := s.missingNeighbors(key); len(got) != foreignNeighbors || got[0] != "127.0.0.1:2" {
		t.Errorf("without links: got %v, want the next domain and then another one", got)
	}
	link(s.slots[2])
	link(s.slots[3])
	attempts := 0
	for range 1000 {
		if slices.Contains(s.missingNeighbors(key), "127.0.0.1:2") {
			attempts++
		}
	}
	if attempts == 0 || attempts > 500 {
		t.Errorf("attempts at the next domain in 1000 rounds: got %d, want 1 to 500", attempts)
	}
	link(s.slots[1])
	if got := s.missingNeighbors(key); len(got) != 0 {
		t.Errorf("with all links: got %v, want none", got)
	}
}
