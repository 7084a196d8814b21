package forwarder

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// newNarrowMesh returns a mesh with one target, whose link takes most of a second
// for a body of 64 KB.
func newNarrowMesh(t *testing.T) (*mesh, *fakeTarget) {
	const kbps = 750
	m := newMesh(t.Context(), t, "narrow")
	f := m.targets["narrow"]
	f.executor.BodyPacer.Kbps = kbps
	m.table.Merge([]tracker.Record{{
		InstanceID: "narrow", Incarnation: f.executor.Incarnation, Sequence: f.sequence + 1, Service: "payout-desk",
		PeerAddress: "narrow", State: tracker.StateReady, LinkKbps: kbps,
	}})
	return m, f
}

// bodiesSent returns the bytes that the network has taken towards the target.
func (f *fakeTarget) bodiesSent() int {
	n := 0
	for _, p := range f.links() {
		p.near.out.mu.Lock()
		n += p.near.out.bytes
		p.near.out.mu.Unlock()
	}
	return n
}

// Three bodies come at once for a link that takes one in the time that there is.
func TestBodiesAreAskedForOnNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, f := newNarrowMesh(t)
		body := strings.Repeat("b", 64<<10)
		began := time.Now()
		var answers []<-chan told
		for range 3 {
			answers = append(answers, m.start("/postings", body))
		}
		served, refused := 0, 0
		for _, a := range answers {
			got := <-a
			switch {
			case got.is("200"):
				served++
			case got.is("503", "not-run", "link-crowded"):
				refused++
			default:
				t.Errorf("got %d %.80s, want an answer or a refusal", got.status, got.body)
			}
		}
		if served != 1 || refused != 2 {
			t.Errorf("got %d served and %d refused, want 1 and 2", served, refused)
		}
		if got := time.Since(began); got > plainBodyWait {
			t.Errorf("told after %v, want within %v", got, plainBodyWait)
		}
		if got, want := f.bodiesSent(), 2*len(body); got >= want {
			t.Errorf("%d bytes were sent, want less than %d: a refused body stays here", got, want)
		}
		if got, want := len(f.ran()), 1; got != want {
			t.Errorf("%d calls ran, want %d", got, want)
		}
	})
}

// A caller that leaves while a link is being opened says nothing about the target.
func TestLeavingWhileAskingBlamesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := newNarrowMesh(t)
		m.forwarder.Dial = func(ctx context.Context, _ string) (messenger.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), plainBodyWait/5)
		defer cancel()
		if got := m.call(ctx, "/postings", strings.Repeat("b", 64<<10)); got.status == 200 {
			t.Errorf("got %d, want no answer", got.status)
		}
		// The only target of a service is spared.
		counters := &m.forwarder.Picker.Counters
		if got := counters.Ejections.Value() + counters.Capped.Value(); got != 0 {
			t.Errorf("targets ejected or spared: got %d, want 0", got)
		}
		synctest.Wait()
		time.Sleep(openingTimeout)
	})
}
