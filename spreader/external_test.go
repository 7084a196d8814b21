package spreader

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

const externalKey = "elsewhere"

// decodeNumber makes a document of ten partners, one of which is different in
// each version.
func decodeNumber(value []byte) (*versioner.Document, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, err
	}
	doc := &versioner.Document{Version: versioner.Version(n)}
	for i := range 10 {
		share := 1
		if i == 7 {
			share = 1 + int(n)%90
		}
		doc.Entries = append(doc.Entries, versioner.Entry{
			Key:     versioner.Key{Kind: versioner.KindPartner, Name: fmt.Sprint("partner-", i)},
			Partner: &versioner.Partner{SharePercent: share},
		})
	}
	return doc, nil
}

// newExternalFleet returns a fleet whose configuration is made elsewhere.
func newExternalFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.external = &External{Key: externalKey, Decode: decodeNumber}
	f.write()
	return f
}

// write makes the next version elsewhere.
func (f *fleet) write() {
	f.t.Helper()
	item, err := f.store.Get(context.Background(), externalKey)
	if err != nil {
		item = storer.Item{}
	}
	f.accepted++
	if _, err := f.store.CompareAndSwap(context.Background(), externalKey, []byte(fmt.Sprint(f.accepted)), item.Revision, 0); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) statesSent() (n int64) {
	for _, m := range f.members {
		n += m.Counters.StatesSent.Value()
	}
	return n
}

// watchers returns the members that watch, by failure domain.
func (f *fleet) watchers() map[string][]*member {
	watchers := make(map[string][]*member)
	for _, m := range f.members {
		if m.isWatcher() {
			watchers[m.Domain] = append(watchers[m.Domain], m)
		}
	}
	return watchers
}

// Whole configurations come from the store to one relay of each failure domain
// only. When it dies, another one watches.
func TestOneRelayOfEachDomainWatches(t *testing.T) {
	f := newExternalFleet(t)
	f.settings.HasNarrowLink = true
	domains := []string{"mobile-bay", "selma-row"}
	f.grow(5, domains...)
	f.waitConverged()
	f.waitRelays()
	oneEach := func() (bool, string) {
		watchers := f.watchers()
		for _, d := range domains {
			if got := len(watchers[d]); got != 1 {
				return false, fmt.Sprintf("%d in %s", got, d)
			}
		}
		return true, ""
	}
	f.waitFor("one watcher in each failure domain", oneEach)
	states := f.statesSent()
	f.write()
	f.waitConverged()
	if got := f.statesSent() - states; got != 0 {
		t.Errorf("whole documents sent for one changed entry: got %d, want 0", got)
	}
	first := f.watchers()["mobile-bay"][0]
	first.kill()
	f.remove(first)
	f.waitFor("one watcher in each failure domain after one died", oneEach)
	f.write()
	f.waitConverged()
}

// A daemon that the store turns away gets versions from its peers, also while
// they come faster than it is waited whether it needs them.
func TestStormReachesDaemonsThatTheStoreTurnsAway(t *testing.T) {
	f := newExternalFleet(t)
	f.grow(3, "mobile-bay", "selma-row")
	f.waitConverged()
	f.waitRelays()
	away := f.members[5]
	away.gate.Set(fakestorer.Fault{IsDown: true})
	from := away.versionInForce()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	f.waitFor("a version of the storm", func() (bool, string) {
		<-ticker.C
		f.write()
		got := away.versionInForce()
		return got > from, fmt.Sprint(got)
	})
	f.waitConverged()
}
