package spreader

import (
	"context"
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/recoverer"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// allMessageKinds is above the highest kind of message.
const allMessageKinds = 64

// emptyMessages returns a message of every kind as it is decoded when all its fields
// are missing.
func emptyMessages(t *testing.T) []messenger.Message {
	t.Helper()
	var messages []messenger.Message
	for kind := range allMessageKinds {
		for _, body := range []byte{0xa0, 0x80} { // an empty map, an empty array
			if m, err := messenger.Decode([]byte{byte(kind), body}); err == nil {
				messages = append(messages, m)
			}
		}
	}
	if len(messages) == 0 {
		t.Fatal("no message was decoded")
	}
	return messages
}

// A message whose fields are all missing must do no harm to the daemon that handles it,
// whatever its kind: one peer's fault would otherwise end every daemon that it reaches.
func TestEmptyMessagesDoNotPanic(t *testing.T) {
	for _, m := range emptyMessages(t) {
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if cause := recover(); cause != nil {
					t.Errorf("empty %T: panic: %v", m, cause)
				}
			}()
			s := newIdleSpreader()
			s.handle(t.Context(), newIdleSession(s), m)
		})
	}
}

// Random bytes that decode as a message must do no harm to the daemon either.
func TestRandomMessagesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.IntRange(1, allMessageKinds).Draw(rt, "kind")
		pairs := rapid.SliceOfN(rapid.Byte(), 0, 24).Draw(rt, "bytes")
		m, err := messenger.Decode(append([]byte{byte(kind), 0xa0 | byte(min(len(pairs)/2, 15))}, pairs...))
		if err != nil {
			return
		}
		var cause any
		synctest.Test(t, func(t *testing.T) {
			defer func() { cause = recover() }()
			s := newIdleSpreader()
			s.handle(t.Context(), newIdleSession(s), m)
		})
		if cause != nil {
			rt.Fatalf("%T: panic: %v", m, cause)
		}
	})
}

// A panic while a session's message is handled must end that session alone.
func TestPanicEndsOneSession(t *testing.T) {
	s := newIdleSpreader()
	s.Log = zap.NewNop()
	before := recoverer.Panics.Value()
	if s.handleSafely(context.Background(), nil, &messenger.Pull{}) {
		t.Error("message of no session: got handled, want a contained panic")
	}
	if got := recoverer.Panics.Value() - before; got != 1 {
		t.Errorf("panics: got %d, want 1", got)
	}
	if !s.handleSafely(context.Background(), newIdleSession(s), &messenger.Pull{}) {
		t.Error("next session's message: got a panic, want it handled")
	}
}

// A store that cannot be read because of a fault of ours must not end the process.
func TestPanicInReadingTheStoreIsAnError(t *testing.T) {
	s := newIdleSpreader()
	s.Store = nil // reading it panics
	head := acceptor.Head{Version: 7, Digest: versioner.Digest{1}}
	if _, err := s.documentOf(t.Context(), digestedDoc{}, head); !errors.Is(err, errDecodePanic) {
		t.Errorf("got %v, want %v", err, errDecodePanic)
	}
}

// While the table is full its digests differ from those of the peers for good, so that records
// must not be exchanged with each mismatch.
func TestFullTableExchangesNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newIdleSpreader()
		s.Table.MaxRecords = 2
		s.Table.Merge([]tracker.Record{
			{InstanceID: "d1", Incarnation: 1, Sequence: 1, Domain: "selma-row", State: tracker.StateReady},
			{InstanceID: "d2", Incarnation: 1, Sequence: 1, Domain: "selma-row", State: tracker.StateReady},
		})
		sess := newIdleSession(s)
		before := len(sess.queue)
		for range 10 {
			s.handle(t.Context(), sess, &messenger.MemberDigests{Reply: true})
		}
		if got := len(sess.queue) - before; got != 0 {
			t.Errorf("messages queued for ten mismatches: got %d, want 0", got)
		}
	})
}

// TestOddRecordMovesNoState guards against a daemon whose own record is never believed again,
// or that calls a target without an address, because of one odd record among others.
func TestOddRecordMovesNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newIdleSpreader()
		own := tracker.Record{InstanceID: "a", Incarnation: 5, Sequence: 1, Service: "payout-desk", PeerAddress: "10.0.0.1:7101", State: tracker.StateReady}
		other := own
		other.InstanceID, other.PeerAddress = "b", "10.0.0.2:7101"
		s.Announce(t.Context(), []tracker.Record{own})
		poisoned, unreachable, unknown := own, other, other
		poisoned.Incarnation, poisoned.State = math.MaxUint64, tracker.StateGone
		unreachable.InstanceID, unreachable.PeerAddress = "c", "10.0.0.3:65536"
		unknown.InstanceID, unknown.State = "d", 9
		s.handle(t.Context(), newIdleSession(s), &messenger.Members{Records: []tracker.Record{poisoned, unreachable, other, unknown}})
		s.reannounceOwn()
		var got []string
		for _, r := range s.Table.Service("payout-desk") {
			got = append(got, r.InstanceID)
		}
		if want := []string{"a", "b"}; !slices.Equal(got, want) {
			t.Errorf("targets in use: got %v, want %v", got, want)
		}
		if got := len(s.Table.All()); got != 2 {
			t.Errorf("records: got %d, want 2", got)
		}
		if got := s.Counters.Malformed.Value(); got != 3 {
			t.Errorf("malformed records: got %d, want 3", got)
		}
	})
}

// TestOddSlotsKeepNoRelayOut guards against a failure domain without relays, whose daemons
// join nothing, because another writer left odd values under the slots' keys.
func TestOddSlotsKeepNoRelayOut(t *testing.T) {
	for _, value := range []string{"", "\x00\xff", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", strings.Repeat("[", 4096), "10.0.0.1:99999999999999999999"} {
		synctest.Test(t, func(t *testing.T) {
			s := newIdleSpreader()
			s.PeerAddress = "10.0.0.1:7101"
			for n := range s.cfg.Slots {
				if _, err := s.Store.CompareAndSwap(t.Context(), slotKey(s.Domain, n), []byte(value), 0, 0); err != nil {
					t.Fatal(err)
				}
			}
			slots, err := s.readSlots(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			free, ok := s.claimableSlot(s.ownSlots(slots), "")
			if !ok {
				t.Fatalf("slots with the value %.20q: got none that can be claimed, want all", value)
			}
			if _, err := s.Store.CompareAndSwap(t.Context(), free.key, []byte(s.PeerAddress), free.revision, 0); err != nil {
				t.Errorf("claim of a slot with the value %.20q: got error %v, want none", value, err)
			}
		})
	}
}

// FuzzLoadQuarantine guards against a value of another writer that ends the daemons that read
// the relay slots, or that keeps a request from being run for longer than any quarantine.
func FuzzLoadQuarantine(f *testing.F) {
	record := quarantiner.Record{Service: "ledger-view", Crashes: []quarantiner.Crash{{Run: 1, IsTrial: true}, {Run: 2}, {Run: 3}}, AgeMS: 1000}
	for _, saved := range []savedQuarantine{{}, {SavedAtMS: 1, Records: []quarantiner.Record{record}}, {SavedAtMS: math.MinInt64, Records: []quarantiner.Record{record}}, {SavedAtMS: math.MaxInt64, Records: []quarantiner.Record{record}}} {
		value, err := cbor.Marshal(saved)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	f.Add([]byte("\x9f\x9f\x9f\x9f"))
	f.Fuzz(func(t *testing.T, value []byte) {
		s := newIdleSpreader()
		s.Quarantine = new(quarantiner.Table)
		s.loadQuarantine(storer.Item{Key: quarantineKey, Value: value})
		for _, r := range s.Quarantine.Quarantined() {
			if got := s.Quarantine.Judge(r.Request, r.Service); got.Remaining > 5*time.Hour {
				t.Errorf("quarantine of %v: got %v, want at most 5 h", r.Request, got.Remaining)
			}
		}
	})
}
