package acceptor_test

import (
	"testing"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/versioner"
)

// knownOf returns what a daemon knows that has the newest version of the store in force.
func knownOf(t *testing.T, store *fakestorer.Store) acceptor.Known {
	t.Helper()
	head, _, err := acceptor.ReadHead(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := acceptor.ReadDocument(t.Context(), store, head)
	if err != nil {
		t.Fatal(err)
	}
	return acceptor.Known{Document: doc, Digest: head.Digest, Deltas: head.Recent}
}

// TestChangeAfterARestoreGetsAHigherVersionThanTheLostOnes guards against a change that is
// accepted under a number that daemons have in force already, and so refuse.
func TestChangeAfterARestoreGetsAHigherVersionThanTheLostOnes(t *testing.T) {
	tests := []struct {
		name string
		// copied is the number of versions that the restored copy holds.
		copied int
		// hasDeltas is set if the daemon knows the deltas of the lost versions.
		hasDeltas bool
	}{
		{"two versions lost", 1, true},
		{"all versions lost", 0, true},
		{"without deltas", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := new(fakestorer.Store)
			a := &acceptor.Acceptor{Store: store}
			copied := store.Copy()
			for i := range 3 {
				if i == tt.copied {
					copied = store.Copy()
				}
				mustAccept(t, a, change(string(rune('a'+i)), magnolia(50+i)))
			}
			known := knownOf(t, store)
			if !tt.hasDeltas {
				known.Deltas = nil
			}
			store.Restore(copied)
			a = &acceptor.Acceptor{Store: store, Known: func() acceptor.Known { return known }}
			if got, want := mustAccept(t, a, change("new", service("payout-desk", 5))), versioner.Version(4); got != want {
				t.Errorf("version of the next change: got %d, want %d", got, want)
			}
			doc, err := a.ReadNewest(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if _, ok := doc.Find(magnolia(0).Key); !ok || len(doc.Entries) != 2 {
				t.Errorf("document: got %d entries, want the lost entry and the new one", len(doc.Entries))
			}
			if !tt.hasDeltas {
				return
			}
			if got, want := mustAccept(t, a, change("c", magnolia(52))), versioner.Version(3); got != want {
				t.Errorf("lost change sent again: got version %d, want %d", got, want)
			}
		})
	}
}
