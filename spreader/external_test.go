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

// decodeNumber decodes a number into a document of that version with ten
// partners. Only one of them differs between versions.
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

// newExternalFleet returns a fleet with an external configuration, whose first
// version is written.
func newExternalFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.external = &External{Key: externalKey, Decode: decodeNumber}
	f.writeExternal()
	return f
}

// writeExternal writes the next version of the external configuration.
func (f *fleet) writeExternal() {
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

// statesSent returns the number of whole documents that all members have sent.
func (f *fleet) statesSent() (n int64) {
	for _, m := range f.members {
		n += m.Counters.StatesSent.Value()
	}
	return n
}

// watchers returns the members that watch the external configuration, by
// failure domain.
func (f *fleet) watchers() map[string][]*member {
	watchers := make(map[string][]*member)
	for _, m := range f.members {
		if m.watchReason() != "" {
			watchers[m.Domain] = append(watchers[m.Domain], m)
		}
	}
	return watchers
}

// TestOneRelayOfEachDomainWatches checks that only one relay of each failure
// domain reads the external configuration from the store, that a small change
// travels as deltas, and that another relay watches after the first one dies.
func TestOneRelayOfEachDomainWatches(t *testing.T) {
	f := newExternalFleet(t)
	f.settings.HasNarrowLink = true
	domains := []string{"mobile-bay", "selma-row"}
	f.startMembers(5, domains...)
	f.waitConverged()
	f.waitRelays()
	oneWatcherEach := func() (bool, string) {
		watchers := f.watchers()
		for _, d := range domains {
			if got := len(watchers[d]); got != 1 {
				return false, fmt.Sprintf("%d in %s", got, d)
			}
		}
		return true, ""
	}
	f.waitFor("one watcher in each failure domain", oneWatcherEach)
	states := f.statesSent()
	f.writeExternal()
	f.waitConverged()
	if got := f.statesSent() - states; got != 0 {
		t.Errorf("whole documents sent for one changed entry: got %d, want 0", got)
	}
	first := f.watchers()["mobile-bay"][0]
	first.kill()
	f.remove(first)
	f.waitFor("one watcher in each failure domain after one died", oneWatcherEach)
	f.writeExternal()
	f.waitConverged()
}

// TestUpdateBurstReachesDaemonsWithoutStore guards against starvation of a
// daemon that cannot reach the store: while every daemon watches for itself,
// its peers delay their pushes to it, and versions that arrive faster than that
// delay must not extend it.
func TestUpdateBurstReachesDaemonsWithoutStore(t *testing.T) {
	f := newExternalFleet(t)
	f.startMembers(3, "mobile-bay", "selma-row")
	f.waitConverged()
	f.waitRelays()
	cutOff := f.members[5]
	cutOff.storeFaults.Set(fakestorer.Fault{IsDown: true})
	from := cutOff.versionInForce()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	f.waitFor("a version of the burst", func() (bool, string) {
		<-ticker.C
		f.writeExternal()
		got := cutOff.versionInForce()
		return got > from, fmt.Sprint(got)
	})
	f.waitConverged()
}
