package forwarder

import (
	"net"
	"testing"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// The error of a dial to a closed port must be recognised through all its wrappers, since
// reattach declares a daemon lost only on that error.
func TestConnectionRefusedIsRecognised(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := messenger.Dial(t.Context(), addr, messenger.CallPath); !isConnectionRefused(err) {
		t.Errorf("isConnectionRefused(%v) = false, want true", err)
	}
}

// A daemon that runs at the former address of another instance's daemon must get no calls
// for that instance's target, not even over a link that is already open.
func TestLinksBelongToOneInstance(t *testing.T) {
	runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
		wantResponse(t, m.call(m.ctx, "/postings", "1"), "200")
		formerRecord := tracker.Record{InstanceID: "b", Incarnation: 1, Sequence: 1, Service: "payout-desk", PeerAddress: "a", State: tracker.StateReady}
		a, _ := m.table.Find("a")
		a.Sequence++
		a.State = tracker.StateGone
		m.table.Merge([]tracker.Record{formerRecord, a})
		wantResponse(t, m.call(m.ctx, "/postings", "2"), "503", "not-run")
		wantRuns(t, m.targets["a"], "1")
	})
}
