package applier

import (
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/versioner"
)

// TestVersionsStateMachine offers random valid and invalid versions from several
// goroutines at a time. No reader may see a version after a higher one, and the
// highest valid version must be in force at the end.
func TestVersionsStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type offer struct {
			version versioner.Version
			broken  bool
		}
		draw := rapid.Custom(func(t *rapid.T) offer {
			return offer{versioner.Version(rapid.Uint64Range(1, 20).Draw(t, "version")), rapid.IntRange(0, 3).Draw(t, "broken") == 0}
		})
		sources := rapid.SliceOfN(rapid.SliceOfN(draw, 0, 12), 1, 4).Draw(rt, "sources")
		a := &Applier{Domain: "selma-row"}
		want := versioner.Version(0)
		var wg sync.WaitGroup
		for _, offers := range sources {
			for _, o := range offers {
				if !o.broken {
					want = max(want, o.version)
				}
			}
			wg.Go(func() {
				seen := versioner.Version(0)
				for _, o := range offers {
					doc := &versioner.Document{Version: o.version, Entries: []versioner.Entry{partnerEntry("magnolia")}}
					if o.broken {
						doc.Entries = []versioner.Entry{serviceEntry("ledger-view", "nobody")}
					}
					applied, err := a.Offer(doc)
					if applied && (err != nil || o.broken) {
						rt.Errorf("version %d was applied with error %v", o.version, err)
					}
					if s := a.Current(); s != nil {
						if s.Version() < seen {
							rt.Errorf("version %d in force after %d", s.Version(), seen)
						}
						seen = s.Version()
					}
				}
			})
		}
		wg.Wait()
		got := versioner.Version(0)
		if s := a.Current(); s != nil {
			got = s.Version()
		}
		if got != want {
			rt.Errorf("in force at the end: got version %d, want %d", got, want)
		}
	})
}

// TestSplitStateMachine draws random weights and checks that in every sequence of
// calls as long as the sum of the weights, each part gets exactly as many calls as
// its weight.
func TestSplitStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 5).Draw(t, "weights")
		var parts []versioner.Part
		var policies []*Policy
		sum := 0
		for i, w := range weights {
			name := fmt.Sprint("s", i)
			parts = append(parts, versioner.Part{Service: name, Weight: w})
			policies = append(policies, &Policy{Service: name})
			sum += w
		}
		if sum == 0 {
			t.Skip("no part has a weight")
		}
		s := newSplitter(parts, policies)
		var calls []string
		for range sum + rapid.IntRange(0, 200).Draw(t, "calls") {
			calls = append(calls, s.next().Service)
		}
		counts := make(map[string]int)
		for i, service := range calls {
			counts[service]++
			if i < sum-1 {
				continue
			}
			for _, p := range parts {
				if got := counts[p.Service]; got != p.Weight {
					t.Fatalf("calls %d to %d: %s got %d, want %d", i-sum+1, i, p.Service, got, p.Weight)
				}
			}
			counts[calls[i-sum+1]]--
		}
	})
}
