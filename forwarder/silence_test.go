package forwarder

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOwnPauseIsNotSilence guards against a call that is refused, or a link that is closed,
// since its daemon was frozen: the time in which the daemon itself did not run counted as
// silence of the target's daemon, and the calls that go on after the thaw come before the
// link has read what was sent meanwhile. The link's clock jumps here as it does for a frozen
// process.
func TestOwnPauseIsNotSilence(t *testing.T) {
	for _, frozenAfter := range []time.Duration{10 * time.Millisecond, probeAfter + probeReplyWait/2} {
		t.Run(frozenAfter.String(), func(t *testing.T) {
			runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
				a := m.targets["a"]
				wantResponse(t, m.call(m.ctx, "/postings", "0"), "200", "ran 0")
				for _, link := range a.links() {
					link.hold(true)
				}
				inFlight := m.start("/postings", "1")
				time.Sleep(frozenAfter)
				synctest.Wait()
				for _, l := range openLinks(m.forwarder) {
					l.mu.Lock()
					l.opened = l.opened.Add(-2 * time.Second)
					l.mu.Unlock()
				}
				posting := m.start("/postings", "2")
				time.Sleep(probeReplyWait) // The check of the link runs late.
				for _, link := range a.links() {
					link.hold(false)
				}
				wantResponse(t, <-inFlight, "200", "ran 1")
				wantResponse(t, <-posting, "200", "ran 2")
				if got := m.forwarder.Counters.LinksSilent.Value(); got != 0 {
					t.Errorf("links closed as silent: got %d, want 0", got)
				}
			})
		})
	}
}

// openLinks returns the forwarder's open links.
func openLinks(f *Forwarder) []*callLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	var links []*callLink
	for _, lanes := range f.pools {
		for i := range lanes {
			links = append(links, lanes[i].links...)
		}
	}
	return links
}

// TestSilence plays checks of a link, each at the delay after it was due that the case
// lists, and counts how many it takes until the link is to be probed, counts as silent and is
// to be closed. It guards against a pause that counts as silence, and against a link that is
// never closed since its checks run a little late.
func TestSilence(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// delays are those of the first checks; later ones run on time.
		delays []time.Duration
		// heardBefore is when before the first check a message arrives; 0 means never.
		heardBefore time.Duration
		// wantChecks is the check that closes the link, wantClosed the silence that it measures.
		wantChecks int
		wantClosed time.Duration
	}{
		{"on time", nil, 0, 7, silentLimit},
		{"a little late each time", []time.Duration{90 * ms, 90 * ms, 90 * ms, 90 * ms}, 0, 4, 960 * ms},
		{"frozen before the probe", []time.Duration{5 * time.Second}, 0, 8, silentLimit},
		{"frozen after the probe", []time.Duration{0, 5 * time.Second}, 0, 8, silentLimit},
		{"frozen while it counts as silent", []time.Duration{0, 0, 5 * time.Second}, 0, 8, silentLimit},
		{"a message before the freeze", []time.Duration{5 * time.Second}, 100 * ms, 8, silentLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s silence
			now, next := time.Duration(0), probeAfter
			s.hear(now)
			for n := 1; ; n++ {
				s.schedule(now, next)
				if n == 1 && tt.heardBefore > 0 {
					s.hear(s.due - tt.heardBefore)
				}
				now = s.due
				delay := time.Duration(0)
				if n <= len(tt.delays) {
					delay = tt.delays[n-1]
					now += delay
				}
				wasOverdue := s.isOverdue
				var silent time.Duration
				silent, next = s.check(now)
				if delay > maxCheckDelay && s.isOverdue && !wasOverdue {
					t.Errorf("check %d after a pause of %v: got silent for %v, want the pause left out", n, delay, silent)
				}
				if silent >= silentLimit {
					if n != tt.wantChecks || silent != tt.wantClosed {
						t.Errorf("closed: got check %d after %v, want check %d after %v", n, silent, tt.wantChecks, tt.wantClosed)
					}
					return
				}
			}
		})
	}
}
