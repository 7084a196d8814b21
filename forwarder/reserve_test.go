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

// newNarrowMesh returns a mesh with one target, whose link needs most of a second for a
// body of 64 KB.
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

// bytesSentTo returns the number of bytes that were sent to the target's daemon.
func (f *fakeTarget) bytesSentTo() int {
	n := 0
	for _, p := range f.links() {
		p.near.out.mu.Lock()
		n += p.near.out.bytes
		p.near.out.mu.Unlock()
	}
	return n
}

// When three large bodies arrive at once for a narrow link that can carry one of them in
// time, the other two must be refused before they are sent, and soon.
func TestLargeBodiesReserveNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, f := newNarrowMesh(t)
		body := strings.Repeat("b", 64<<10)
		began := time.Now()
		var answers []<-chan callerResponse
		for range 3 {
			answers = append(answers, m.start("/postings", body))
		}
		served, refused := 0, 0
		for _, a := range answers {
			got := <-a
			switch {
			case got.contains("200"):
				served++
			case got.contains("503", "not-run", "link-crowded"):
				refused++
			default:
				t.Errorf("got %d %.80s, want an answer or a refusal", got.status, got.body)
			}
		}
		if served != 1 || refused != 2 {
			t.Errorf("got %d served and %d refused, want 1 and 2", served, refused)
		}
		if got := time.Since(began); got > defaultReserveWait {
			t.Errorf("responses after %v, want within %v", got, defaultReserveWait)
		}
		if got, want := f.bytesSentTo(), 2*len(body); got >= want {
			t.Errorf("sent bytes: got %d, want less than %d, since refused bodies must not be sent", got, want)
		}
		if got, want := len(f.ran()), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
	})
}

// A call that ends while a link for its Reserve is being opened must not count as a failure
// of the target, which would be ejected for it.
func TestCallerLeavingDuringReserveEjectsNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := newNarrowMesh(t)
		m.forwarder.Dial = func(ctx context.Context, _ string) (messenger.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), defaultReserveWait/5)
		defer cancel()
		if got := m.call(ctx, "/postings", strings.Repeat("b", 64<<10)); got.status == 200 {
			t.Errorf("status: got %d, want a refusal", got.status)
		}
		// The only target of a service is never ejected; Capped counts such cases.
		counters := &m.forwarder.Picker.Counters
		if got := counters.Ejections.Value() + counters.Capped.Value(); got != 0 {
			t.Errorf("ejections and capped ejections: got %d, want 0", got)
		}
		synctest.Wait()
		time.Sleep(openingTimeout)
	})
}
