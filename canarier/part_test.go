package canarier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bambooweir.example/bambooweir/tracker"
)

// newParts returns n parts in a line.
func newParts(n int) []*Part {
	var parts []*Part
	for range n {
		parts = append(parts, new(Part))
	}
	joinParts(parts)
	return parts
}

// TestEvidenceReachesTheLeader lets the daemons at both ends of a line observe answers while one
// in the middle leads, and then another one. It guards against evidence that is lost, counted
// twice or sent to a former leader.
func TestEvidenceReachesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := newParts(5)
		for term, leader := range []int{2, 4} {
			got := make(map[bool]uint32)
			for _, p := range parts {
				p.Lead(nil)
			}
			parts[leader].Lead(func(e *Evidence) { got[e.IsNew] += e.Counts.Answers })
			parts[leader].Publish(Directive{Service: testService, Version: "v2", Revision: 1, Term: uint64(term + 1), State: StateRunning, Share: 1, TTLMS: 1000})
			for i, p := range parts {
				for range 10 {
					p.Observe(testService, []string{"v1", "v2"}[i%2], "menu", false, true, time.Second)
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
			if got[true] != 20 || got[false] != 30 {
				t.Errorf("leader %d: got %v answers of the new version and the old, want 20 and 30", leader, got)
			}
		}
	})
}

// TestLateJoinerLearnsDirectives guards against a daemon that sends calls to a version that was
// rolled back before the daemon joined.
func TestLateJoinerLearnsDirectives(t *testing.T) {
	parts := newParts(2)
	parts[0].Publish(Directive{Service: testService, Version: "v2", Revision: 1, State: StateRolledBack})
	late := new(Part)
	late.OnChange = func() {}
	late.Receive(1, parts[1].Next(9))
	if !late.IsBarred(testService, "v2") {
		t.Error("got v2 in use at a daemon that joined late, want it barred")
	}
	parts[1].Forget(9)
	if parts[1].Next(9) == nil {
		t.Error("got nothing for a new session with the same peer, want the directive again")
	}
}

// FuzzReceive checks that bytes of a peer never panic, and that a malformed message changes
// nothing.
func FuzzReceive(f *testing.F) {
	for _, m := range []message{
		{Directives: []Directive{{Service: "a", Version: "b", State: StateRunning, Share: 400}}},
		{Evidence: []Evidence{{Service: "a", Route: "r"}}},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p := &Part{OnChange: func() {}}
		p.Receive(tracker.Source(1), b)
		for _, d := range p.Directives() {
			if d.Share < 0 || d.Share > shareUnit || d.Stage > StageAll {
				t.Errorf("got directive %+v, want its fields in bounds", d)
			}
			p.Versions(d.Service, true)
		}
	})
}
