package spreader

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"bambooweir.example/bambooweir/tracker"
)

// notePart shares the newest note that any daemon made, by its number.
type notePart struct {
	mu     sync.Mutex
	note   byte
	peers  map[tracker.Source]byte
	spread func()
}

func (p *notePart) Name() string { return "notes" }

func (p *notePart) set(note byte) {
	p.mu.Lock()
	isNew := note > p.note
	p.note = max(p.note, note)
	p.mu.Unlock()
	if isNew {
		p.spread()
	}
}

func (p *notePart) get() byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.note
}

func (p *notePart) Next(peer tracker.Source) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[peer] >= p.note {
		return nil
	}
	p.peers[peer] = p.note
	return []byte{p.note}
}

func (p *notePart) Receive(_ tracker.Source, payload []byte) { p.set(payload[0]) }

func (p *notePart) Forget(peer tracker.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, peer)
}

// TestPartReachesAllDaemons changes a part's state on a leaf, ends the sessions of a parent, and
// starts a daemon later. It guards against a part whose changes get lost where sessions end, or
// that a daemon which joins later never hears of.
func TestPartReachesAllDaemons(t *testing.T) {
	f := newFleet(t)
	f.startMembers(6, "mobile-bay", "selma-row")
	f.awaitParts(1)
	f.members[7].Parts[0].(*notePart).set(2)
	f.awaitParts(2)
	f.members[0].kill()
	f.remove(f.members[0])
	f.members[3].Parts[0].(*notePart).set(3)
	f.awaitParts(3)
	f.start("mobile-bay-late", "mobile-bay", f.ip+":0")
	f.awaitParts(3)
}

// awaitParts waits until all daemons have the note. The first is made by the first daemon.
func (f *fleet) awaitParts(note byte) {
	f.t.Helper()
	if note == 1 {
		f.members[0].Parts[0].(*notePart).set(note)
	}
	f.waitFor(fmt.Sprintf("note %d on all daemons", note), func() (bool, string) {
		var lacking []string
		for _, m := range f.members {
			if got := m.Parts[0].(*notePart).get(); got != note {
				lacking = append(lacking, fmt.Sprintf("%s has %d", m.InstanceID, got))
			}
		}
		return len(lacking) == 0, strings.Join(lacking, ", ")
	})
}
