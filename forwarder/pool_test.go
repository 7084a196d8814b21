package forwarder

import (
	"net"
	"testing"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

func TestRefusedLinkIsRecognised(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := messenger.Dial(t.Context(), addr, messenger.CallPath); !isRefused(err) {
		t.Errorf("got %v, want it to be taken as refused", err)
	}
}

// A daemon that comes up at the address of one that is gone gets none of the
// calls for the other's target, also where links to the address are open.
func TestLinksBelongToAnInstance(t *testing.T) {
	inMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		wantTold(t, m.call(m.ctx, "/postings", "1"), "200")
		was := tracker.Record{InstanceID: "b", Incarnation: 1, Sequence: 1, Service: "payout-desk", PeerAddress: "a", State: tracker.StateReady}
		a, _ := m.table.Find("a")
		a.Sequence++
		a.State = tracker.StateGone
		m.table.Merge([]tracker.Record{was, a})
		wantTold(t, m.call(m.ctx, "/postings", "2"), "503", "not-run")
		wantRuns(t, m.targets["a"], "1")
	})
}
