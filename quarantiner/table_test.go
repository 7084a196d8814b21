package quarantiner

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

const (
	testService = "ledger-view"
	// maxRecordBytes bounds the length of an encoded record.
	maxRecordBytes = 2*maxNameBytes + 20*maxCrashes + 64
)

// digestOf returns the digest of a lookup of a partner.
func digestOf(partner, path string) Digest { return NewDigest(partner, "", "GET", path, nil) }

// crash returns the crash of a run with the number.
func crash(run uint64, isTrial bool) Crash { return Crash{Run: run, IsTrial: isTrial} }

func TestStatusAfterCrashesAndAnswers(t *testing.T) {
	request := digestOf("magnolia", "/shares/7")
	tests := []struct {
		name    string
		crashes []Crash
		// answered is the service at which the request then runs to its end.
		answered string
		want     Status
	}{
		{name: "nothing", want: StatusClear},
		{name: "one crash", crashes: []Crash{crash(1, false)}, want: StatusSuspected},
		{name: "two trials", crashes: []Crash{crash(1, false), crash(2, true), crash(2, true)}, want: StatusSuspected},
		{name: "all targets at once", crashes: []Crash{crash(1, false), crash(2, false), crash(3, false), crash(4, false), crash(5, false)}, want: StatusSuspected},
		{name: "third in a trial", crashes: []Crash{crash(1, false), crash(2, false), crash(3, true)}, want: StatusQuarantined},
		{name: "trial before others", crashes: []Crash{crash(1, false), crash(2, true), crash(3, false)}, want: StatusQuarantined},
		{name: "answered", crashes: []Crash{crash(1, false), crash(2, true)}, answered: testService, want: StatusClear},
		{name: "answered after the third", crashes: []Crash{crash(1, false), crash(2, true), crash(3, true)}, answered: testService, want: StatusClear},
		{name: "answered by another service", crashes: []Crash{crash(1, false), crash(2, true), crash(3, true)}, answered: "claims-vault", want: StatusQuarantined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table Table
			for _, c := range tt.crashes {
				table.ReportCrash(request, testService, "magnolia", c)
			}
			if tt.answered != "" {
				table.ReportAnswer(request, tt.answered)
			}
			if got := table.Judge(request, testService).Status; got != tt.want {
				t.Errorf("status: got %v, want %v", got, tt.want)
			}
		})
	}
}

// A route that is moved or split sends the request to another service, whose targets it ends
// as well.
func TestCrashesOfAnotherServiceCount(t *testing.T) {
	request := digestOf("magnolia", "/shares/7")
	var table Table
	table.ReportCrash(request, testService, "magnolia", crash(1, false))
	table.ReportCrash(request, testService, "magnolia", crash(2, true))
	table.ReportCrash(request, "payout-desk", "magnolia", crash(3, true))
	if got, want := table.Judge(request, "claims-vault").Status, StatusQuarantined; got != want {
		t.Errorf("status at a third service: got %v, want %v", got, want)
	}
	table.ReportAnswer(request, "payout-desk")
	if got, want := table.Judge(request, "payout-desk").Status, StatusClear; got != want {
		t.Errorf("status at a service that ran it: got %v, want %v", got, want)
	}
	if got, want := table.Judge(request, testService).Status, StatusSuspected; got != want {
		t.Errorf("status at the service that it crashed: got %v, want %v", got, want)
	}
}

// Partners send the same request; what it does for one of them says nothing about the other.
func TestRequestOfAnotherPartnerIsNotHeldResponsible(t *testing.T) {
	var table Table
	for run := range uint64(5) {
		table.ReportCrash(digestOf("magnolia", "/shares/7"), testService, "magnolia", crash(run, true))
	}
	if got, want := table.Judge(digestOf("regie", "/shares/7"), testService).Status, StatusClear; got != want {
		t.Errorf("status of the other partner's request: got %v, want %v", got, want)
	}
}

func TestQuarantineEndsWithOneTrialAndDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := digestOf("magnolia", "/shares/7")
		var table Table
		for run := range uint64(3) {
			table.ReportCrash(request, testService, "magnolia", crash(run, run > 0))
		}
		for n, want := range []time.Duration{10, 20, 40, 80, 160, 240, 240} {
			v := table.Judge(request, testService)
			if v.Status != StatusQuarantined || v.Remaining != want*time.Minute {
				t.Fatalf("after crash %d: got status %v for %s, want quarantined for %s", n+3, v.Status, v.Remaining, want*time.Minute)
			}
			time.Sleep(v.Remaining)
			if got, want := table.Judge(request, testService).Status, StatusSuspected; got != want {
				t.Fatalf("after the term: got status %v, want %v", got, want)
			}
			table.ReportCrash(request, testService, "magnolia", crash(uint64(n+3), true))
		}
		time.Sleep(longestTerm + suspicionLifetime + time.Second)
		table.Sweep()
		if !table.IsEmpty() {
			t.Error("the table holds records without effect")
		}
	})
}

// A daemon that was cut off while a request was cleared returns with its older record.
func TestOlderRecordDoesNotUndoAnAnswer(t *testing.T) {
	request := digestOf("magnolia", "/shares/7")
	var table, cutOff Table
	for run := range uint64(3) {
		table.ReportCrash(request, testService, "magnolia", crash(run, true))
	}
	cutOff.Merge(table.Find(request), 1)
	table.ReportAnswer(request, testService)
	table.Merge(cutOff.Find(request), 2)
	if got, want := table.Judge(request, testService).Status, StatusClear; got != want {
		t.Errorf("after the older record: got %v, want %v", got, want)
	}
	cutOff.Merge(table.Find(request), 3)
	if got, want := cutOff.Judge(request, testService).Status, StatusClear; got != want {
		t.Errorf("at the daemon that was cut off: got %v, want %v", got, want)
	}
}

// A partner that sends ever new requests that end targets must not displace what is held
// against another partner's, nor use more memory or bytes than the bounds allow.
func TestNoPartnerFillsTheTable(t *testing.T) {
	victim, suspect := digestOf("magnolia", "/shares/7"), digestOf("magnolia", "/shares/8")
	var table Table
	table.ReportCrash(suspect, testService, "magnolia", crash(9, false))
	for run := range uint64(3) {
		table.ReportCrash(victim, testService, "magnolia", crash(run, true))
	}
	for n := range 5 * maxRecords {
		request := digestOf("regie", fmt.Sprint("/fittings/", n))
		for run := range uint64(1 + n%4) {
			table.ReportCrash(request, "catalogue", "regie", crash(run, true))
		}
	}
	if got, want := table.Judge(victim, testService).Status, StatusQuarantined; got != want {
		t.Errorf("the other partner's request: got %v, want %v", got, want)
	}
	if got, want := table.Judge(suspect, testService).Status, StatusSuspected; got != want {
		t.Errorf("the other partner's suspect: got %v, want %v", got, want)
	}
	records, _ := table.Since(0, 0, 10*maxRecords)
	if got, want := len(records), maxRecords; got != want {
		t.Errorf("records: got %d, want %d", got, want)
	}
	if got, want := len(table.entries), maxRecords; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
	b, err := cbor.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(b), maxRecords*maxRecordBytes; got > want {
		t.Errorf("bytes of all records: got %d, want at most %d", got, want)
	}
}

// Records from other daemons are kept within the bounds, whatever they hold.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	long := string(make([]byte, maxNameBytes+1))
	var table Table
	table.Merge([]Record{
		{Service: testService},
		{Service: long, Cleared: 1},
		{Partner: long, Cleared: 1},
		{Service: testService, Crashes: make([]Crash, maxCrashes+1)},
		{Service: testService, Cleared: 1, AgeMS: -1},
	}, 1)
	if !table.IsEmpty() {
		t.Errorf("records: got %v, want none", table.Find(Digest{}))
	}
	if got, want := table.Counters.Invalid.Value(), int64(5); got != want {
		t.Errorf("invalid records: got %d, want %d", got, want)
	}
}

// Daemons that exchange their records in any order, twice or not, hold the same against each
// request in the end.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]Table, 3)
		var runs uint64
		request := digestOf("magnolia", "/shares/7")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from, to := rapid.IntRange(0, 2).Draw(t, "table"), rapid.IntRange(0, 2).Draw(t, "other")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				runs++
				tables[from].ReportCrash(request, testService, "magnolia", crash(runs, rapid.Bool().Draw(t, "trial")))
			case 1:
				tables[from].ReportAnswer(request, testService)
			default:
				tables[to].Merge(tables[from].Find(request), 1)
			}
		}
		for range 2 {
			for i := range tables {
				for j := range tables {
					tables[i].Merge(tables[j].Find(request), 1)
				}
			}
		}
		for i := range tables {
			for j := range tables {
				before := tables[i].changes
				tables[i].Merge(tables[j].Find(request), 1)
				if tables[i].changes != before {
					t.Fatalf("tables %d and %d still change each other", i, j)
				}
			}
		}
		want := tables[0].Judge(request, testService)
		for i := range tables {
			got := tables[i].Judge(request, testService)
			if got.Status != want.Status || got.Crashes != want.Crashes {
				t.Errorf("table %d: got %v with %d crashes, want %v with %d", i, got.Status, got.Crashes, want.Status, want.Crashes)
			}
		}
	})
}

// A peer's record may arrive before this daemon has sent the peer what it knew of the same
// request. The peer must get the sum of both.
func TestSourceGetsWhatItLacksOfItsOwnRecord(t *testing.T) {
	request := digestOf("magnolia", "/shares/7")
	var table Table
	table.ReportCrash(request, testService, "magnolia", crash(1, false))
	table.Merge([]Record{{Request: request, Service: testService, Crashes: []Crash{crash(2, false)}}}, 5)
	records, _ := table.Since(0, 5, 10)
	if len(records) != 1 || len(records[0].Crashes) != 2 {
		t.Errorf("records for the source: got %v, want one with two crashes", records)
	}
}

// A peer gets each change once, in messages of bounded size, and none of its own.
func TestChangesSinceACursor(t *testing.T) {
	var table Table
	for n := range 5 {
		table.Merge([]Record{{Request: digestOf("magnolia", fmt.Sprint(n)), Service: testService, Crashes: []Crash{crash(1, false)}}}, uint64(1+n%2))
	}
	var got []string
	for cursor := uint64(0); ; {
		records, next := table.Since(cursor, 1, 1)
		if len(records) == 0 {
			break
		}
		got = append(got, records[0].Request.String())
		cursor = next
	}
	want := []string{digestOf("magnolia", "1").String(), digestOf("magnolia", "3").String()}
	if !slices.Equal(got, want) {
		t.Errorf("records: got %v, want %v", got, want)
	}
}

// What is saved is less than what a daemon may know; no partner takes all of it.
func TestPartnersShareWhatIsSaved(t *testing.T) {
	var table Table
	quarantine := func(partner string, n int) {
		for i := range n {
			for run := range uint64(3) {
				table.ReportCrash(digestOf(partner, fmt.Sprint(i)), testService, partner, crash(run, true))
			}
		}
	}
	quarantine("magnolia", 2)
	quarantine("regie", 50)
	counts := make(map[string]int)
	for _, r := range table.ConvictedShare(10) {
		counts[r.Partner]++
	}
	if got, want := fmt.Sprint(counts), "map[magnolia:2 regie:8]"; got != want {
		t.Errorf("records by partner: got %s, want %s", got, want)
	}
}

// TestRecordFromTheFutureQuarantinesNothing guards against a request that is refused for years
// because of a record whose age is beyond what a duration holds.
func TestRecordFromTheFutureQuarantinesNothing(t *testing.T) {
	request := NewDigest("magnolia", "", "GET", "/shares/7", nil)
	crashes := []Crash{{Run: 1, IsTrial: true}, {Run: 2, IsTrial: true}, {Run: 3, IsTrial: true}}
	for _, ageMS := range []int64{math.MinInt64, -1, maxAgeMS + 1, math.MaxInt64/1_000_000 + 1, math.MaxInt64 / 500_000, math.MaxInt64} {
		var table Table
		table.Merge([]Record{{Request: request, Service: "ledger-view", Crashes: crashes, AgeMS: ageMS}}, 0)
		if got := table.Judge(request, "ledger-view"); got.Status != StatusClear {
			t.Errorf("age %d ms: got status %v for %v, want clear", ageMS, got.Status, got.Remaining)
		}
	}
}
