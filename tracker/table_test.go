package tracker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func record(id string, incarnation, sequence uint64, state State) Record {
	return Record{InstanceID: id, Incarnation: incarnation, Sequence: sequence, Service: "ledger-view", Domain: "mobile-bay", State: state}
}

// A record that arrives late or twice must not replace a newer one. For equal
// incarnation and sequence the higher state applies.
func TestMergeOrdersByIncarnationThenSequence(t *testing.T) {
	tests := []struct {
		name     string
		first    Record
		second   Record
		wantKept State
	}{
		{"higher sequence", record("a", 1, 1, StateReady), record("a", 1, 2, StateDraining), StateDraining},
		{"lower sequence", record("a", 1, 2, StateReady), record("a", 1, 1, StateDraining), StateReady},
		{"same sequence, later state", record("a", 1, 1, StateReady), record("a", 1, 1, StateGone), StateGone},
		{"same sequence, earlier state", record("a", 1, 1, StateGone), record("a", 1, 1, StateReady), StateGone},
		{"new incarnation after departure", record("a", 1, 9, StateGone), record("a", 2, 1, StateReady), StateReady},
		{"departure of an old incarnation", record("a", 2, 1, StateReady), record("a", 1, 9, StateGone), StateReady},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table Table
			table.Merge([]Record{tt.first})
			table.Merge([]Record{tt.second})
			if got, _ := table.Find("a"); got.State != tt.wantKept {
				t.Errorf("state: got %v, want %v", got.State, tt.wantKept)
			}
		})
	}
}

// Tables that received the same records in another order, twice, or have purged
// departed targets must have equal digests. Otherwise their daemons would keep
// exchanging records.
func TestDigestIsIndependentOfOrderAndPurge(t *testing.T) {
	var records []Record
	for i := range 200 {
		records = append(records, record(fmt.Sprint("i", i%60), uint64(i/60), uint64(i), State(1+i%3)))
	}
	var a, b Table
	a.Merge(records)
	rng := rand.New(rand.NewPCG(1, 2))
	rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	b.Merge(records)
	b.Merge(records)
	b.Purge(time.Now().Add(time.Hour))
	if got, want := b.Digest(), a.Digest(); got != want {
		t.Errorf("digest: got %x, want %x", got, want)
	}
	if got, want := b.Digests(), a.Digests(); got["mobile-bay"] != want["mobile-bay"] {
		t.Errorf("digests: got %x, want %x", got, want)
	}
}

// Since must return only the newest record of an instance, and no record to the
// session over which it arrived.
func TestSinceSkipsSupersededAndOwnSource(t *testing.T) {
	var table Table
	start := table.Now()
	table.MergeFrom([]Record{record("a", 1, 1, StateReady), record("b", 1, 1, StateReady)}, 7)
	table.MergeFrom([]Record{record("a", 1, 2, StateDraining)}, 8)
	got, next, ok := table.Since(start, 7, 10)
	if !ok || len(got) != 1 || got[0].State != StateDraining {
		t.Fatalf("Since: got %v, %v, want only the draining record", got, ok)
	}
	if got, _, _ := table.Since(next, 7, 10); len(got) != 0 {
		t.Errorf("Since the end of the journal: got %v, want none", got)
	}
}

// When the journal has been cut beyond a cursor, Since must report it instead of
// omitting the missing changes.
func TestSinceReportsTruncatedJournal(t *testing.T) {
	var table Table
	for i := range uint64(2*minJournalLength + 1) {
		table.Merge([]Record{record("a", 1, i+1, StateReady)})
	}
	if _, _, ok := table.Since(0, 0, 10); ok {
		t.Error("Since(0): got ok, want a truncated journal")
	}
}

// Departed must drop a target after departureRetention even if its tombstone is
// still in the table.
func TestDepartedDropsOldDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table Table
		table.Merge([]Record{record("a", 1, 1, StateReady), record("b", 1, 1, StateReady)})
		table.Merge([]Record{record("a", 1, 2, StateGone)})
		if got := table.Departed("ledger-view"); len(got) != 1 || got[0].Record.InstanceID != "a" {
			t.Fatalf("departed: got %v, want a", got)
		}
		if got := table.Service("ledger-view"); len(got) != 1 || got[0].InstanceID != "b" {
			t.Fatalf("ready targets: got %v, want b", got)
		}
		time.Sleep(departureRetention + time.Second)
		table.Purge(time.Now().Add(-2 * departureRetention))
		if got := table.Departed("ledger-view"); len(got) != 0 {
			t.Errorf("departed: got %v, want none", got)
		}
		if _, ok := table.Find("a"); !ok {
			t.Error("tombstone of a: got none, want one")
		}
	})
}

// fullTable returns a table of 4900 instances in 130 services and 18 failure
// domains, and its records.
func fullTable() (*Table, []Record) {
	var records []Record
	for i := range 4900 {
		records = append(records, Record{
			InstanceID: fmt.Sprintf("instance-%04d", i), Incarnation: 1, Sequence: 1, State: StateReady,
			Service: fmt.Sprintf("service-%03d", i%130), Domain: fmt.Sprintf("domain-%02d", i%18), PeerAddress: "127.0.0.1:7101",
		})
	}
	table := new(Table)
	table.Merge(records)
	return table, records
}

func BenchmarkMergeOneOf4900(b *testing.B) {
	table, records := fullTable()
	for i := 0; b.Loop(); i++ {
		r := &records[i%len(records)]
		r.Sequence++
		table.Merge(records[i%len(records) : i%len(records)+1])
	}
}

func BenchmarkMergeAllKnown(b *testing.B) {
	table, records := fullTable()
	records = slices.Clone(records)
	for b.Loop() {
		table.Merge(records)
	}
}

func BenchmarkDigest4900(b *testing.B) {
	table, _ := fullTable()
	for b.Loop() {
		table.Digest()
	}
}

func TestLiveCountExcludesGoneInstances(t *testing.T) {
	var table Table
	table.Merge([]Record{
		{InstanceID: "a", Incarnation: 1, Sequence: 1, State: StateReady},
		{InstanceID: "b", Incarnation: 1, Sequence: 1, State: StateDraining},
		{InstanceID: "c", Incarnation: 1, Sequence: 1, State: StateGone},
	})
	if got, want := table.LiveCount(), 2; got != want {
		t.Errorf("live instances: got %d, want %d", got, want)
	}
}

// Records that a member invents must not grow the table beyond its bound, and must not keep
// known targets from changing.
func TestFloodOfRecordsIsBounded(t *testing.T) {
	const bound = 1000
	table := &Table{MaxRecords: bound}
	known := Record{InstanceID: "d1", Incarnation: 1, Sequence: 1, Service: "ledger-view", Domain: "selma-row", State: StateReady}
	table.Merge([]Record{known})
	for i := range 10 * bound {
		table.Merge([]Record{{InstanceID: fmt.Sprint("x", i), Incarnation: 1, Sequence: 1, Service: fmt.Sprint("s", i), Domain: fmt.Sprint("z", i), State: StateReady}})
	}
	if got := len(table.All()); got != bound {
		t.Errorf("records: got %d, want %d", got, bound)
	}
	if got := table.Counters.Rejected.Value(); got != 9*bound+1 {
		t.Errorf("rejected: got %d, want %d", got, 9*bound+1)
	}
	if !table.IsFull() {
		t.Error("full: got false, want true")
	}
	known.Sequence, known.State = 2, StateDraining
	if got := table.Merge([]Record{known}); len(got) != 1 {
		t.Errorf("a known target's change: got %d changed records, want 1", len(got))
	}
}
