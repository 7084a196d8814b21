package acceptor_test

import (
	"errors"
	"fmt"
	"testing"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/versioner"
)

// storedHead returns the encoded head after three changes.
func storedHead(t testing.TB) []byte {
	t.Helper()
	store := newStore()
	a := &acceptor.Acceptor{Store: store}
	for i := range 3 {
		if _, err := a.Accept(t.Context(), change(fmt.Sprint("change-", i), magnolia(i+1))); err != nil {
			t.Fatal(err)
		}
	}
	item, err := store.Get(t.Context(), acceptor.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	return item.Value
}

// TestDecodeHeadRefusesABrokenChain checks that DecodeHead detects each violation of
// the chain of deltas.
func TestDecodeHeadRefusesABrokenChain(t *testing.T) {
	for name, alter := range map[string]func(*acceptor.Head){
		"last delta ends at another version": func(h *acceptor.Head) { h.Version++ },
		"last digest differs":                func(h *acceptor.Head) { h.Digest[0]++ },
		"gap":                                func(h *acceptor.Head) { h.Recent = append(h.Recent[:1:1], h.Recent[2:]...) },
		"delta over two versions":            func(h *acceptor.Head) { h.Recent = h.Recent[2:]; h.Recent[0].From-- },
		"digests of neighbours differ":       func(h *acceptor.Head) { h.Recent[1].FromDigest[0]++ },
	} {
		head, err := acceptor.DecodeHead(storedHead(t))
		if err != nil {
			t.Fatal(err)
		}
		alter(&head)
		b, err := versioner.Marshal(head)
		if err != nil {
			t.Fatal(err)
		}
		var invalid *acceptor.InvalidHeadError
		if _, err := acceptor.DecodeHead(b); !errors.As(err, &invalid) {
			t.Errorf("%s: got %v, want an InvalidHeadError", name, err)
		}
	}
}

// TestReadDocumentRefusesOtherContent replaces the stored document by another one,
// which must not be returned under the head's digest.
func TestReadDocumentRefusesOtherContent(t *testing.T) {
	store := newStore()
	a := &acceptor.Acceptor{Store: store}
	mustAccept(t, a, change("one", magnolia(1)))
	head, _, err := acceptor.ReadHead(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	item, err := store.Get(t.Context(), acceptor.ContentKey(head.Digest))
	if err != nil {
		t.Fatal(err)
	}
	other, err := versioner.Marshal(new(versioner.Document).With([]versioner.Entry{magnolia(2)}, nil))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(t.Context(), item.Key, other, item.Revision, 0); err != nil {
		t.Fatal(err)
	}
	var mismatch *versioner.DigestMismatchError
	if _, err := acceptor.ReadDocument(t.Context(), store, head); !errors.As(err, &mismatch) {
		t.Errorf("got %v, want a DigestMismatchError", err)
	}
}

// FuzzDecodeHead checks that every head that DecodeHead accepts is accepted again
// after encoding it.
func FuzzDecodeHead(f *testing.F) {
	f.Add(storedHead(f))
	f.Add([]byte{})
	f.Add([]byte{0xa0})
	f.Add([]byte("\xbf\x61\x61"))
	f.Fuzz(func(t *testing.T, b []byte) {
		head, err := acceptor.DecodeHead(b)
		if err != nil {
			return
		}
		again, err := versioner.Marshal(head)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := acceptor.DecodeHead(again); err != nil {
			t.Fatalf("decoding the encoded head: %v", err)
		}
	})
}

// TestAcceptStoreCalls bounds the calls of the store for one change in the steady
// state, in which each change also moves older deltas to the history and prunes.
func TestAcceptStoreCalls(t *testing.T) {
	const warmUp, changes = 100, 50
	store := newStore()
	a := &acceptor.Acceptor{Store: store, HistoryVersions: 20}
	for i := range warmUp {
		mustAccept(t, a, change(fmt.Sprint("warm-up-", i), magnolia(1+i%2)))
	}
	before := store.Counts()
	for i := range changes {
		mustAccept(t, a, change(fmt.Sprint("change-", i), magnolia(1+i%2)))
	}
	after := store.Counts()
	reads := float64(after.Reads-before.Reads) / changes
	writes := float64(after.Writes-before.Writes) / changes
	t.Logf("calls of the store per change: %.1f reads, %.1f writes", reads, writes)
	if reads > 5 || writes > 8 {
		t.Errorf("calls of the store per change: got %.1f reads and %.1f writes, want at most 5 and 8", reads, writes)
	}
}

// fleetEdits returns the edits that create a configuration with the given number
// of services, each with a route, up to the size of the largest fleet.
func fleetEdits(services int) []versioner.Entry {
	edits := []versioner.Entry{magnolia(50)}
	for i := range services {
		name := fmt.Sprint("service-", i)
		edits = append(edits, service(name, 12), versioner.Entry{
			Key: versioner.Key{Kind: versioner.KindRoute, Name: "route-" + name},
			Route: &versioner.Route{
				Partner: "magnolia", PathPrefix: "/" + name, Service: name, Class: versioner.ClassLookup,
				Hosts: []string{name + ".example"}, Methods: []string{"GET"},
			},
		})
	}
	return edits
}

func BenchmarkAccept(b *testing.B) {
	for _, services := range []int{13, 130, 1300} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			store := newStore()
			a := &acceptor.Acceptor{Store: store}
			if _, err := a.Accept(b.Context(), change("first", fleetEdits(services)...)); err != nil {
				b.Fatal(err)
			}
			n := 0
			before := store.Counts()
			b.ReportAllocs()
			for b.Loop() {
				n++
				if _, err := a.Accept(b.Context(), change(fmt.Sprint("change-", n), service("service-0", 1+n%1000))); err != nil {
					b.Fatal(err)
				}
			}
			after := store.Counts()
			head, _ := store.Get(b.Context(), acceptor.HeadKey)
			h, _ := acceptor.DecodeHead(head.Value)
			content, _ := store.Get(b.Context(), acceptor.ContentKey(h.Digest))
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(n), "reads/op")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(n), "writes/op")
			b.ReportMetric(float64(len(head.Value)), "head-bytes")
			b.ReportMetric(float64(len(content.Value)), "content-bytes")
		})
	}
}
