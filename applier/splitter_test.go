package applier

import (
	"fmt"
	"math"
	"testing"

	"bambooweir.example/bambooweir/versioner"
)

// TestSplitIsExact checks that each part gets exactly as many calls as its weight
// in a sequence of calls as long as the sum of the weights.
func TestSplitIsExact(t *testing.T) {
	for _, weights := range [][]int{{90, 10}, {1, 1, 1}, {0, 5}, {7}, {50, 30, 20}} {
		t.Run(fmt.Sprint(weights), func(t *testing.T) {
			var parts []versioner.Part
			var policies []*Policy
			sum := 0
			for i, w := range weights {
				name := fmt.Sprint("s", i)
				parts = append(parts, versioner.Part{Service: name, Weight: w})
				policies = append(policies, &Policy{Service: name})
				sum += w
			}
			s := newSplitter(parts, policies)
			got := make(map[string]int)
			for range sum {
				got[s.next().Service]++
			}
			for _, p := range parts {
				if got[p.Service] != p.Weight {
					t.Errorf("%s: got %d of %d calls, want %d", p.Service, got[p.Service], sum, p.Weight)
				}
			}
		})
	}
}

// TestSplitHoldsOverManyVersions guards against splitters that all start at the
// same position. If each version routes only a few calls before the next one
// replaces it, the part with the largest weight would then get all of them.
func TestSplitHoldsOverManyVersions(t *testing.T) {
	const versions, calls = 2000, 3
	parts := []versioner.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	policies := []*Policy{{Service: "a"}, {Service: "b"}}
	got := 0
	for range versions {
		s := newSplitter(parts, policies)
		for range calls {
			if s.next().Service == "b" {
				got++
			}
		}
	}
	if share := float64(got) / (versions * calls); math.Abs(share-0.1) > 0.03 {
		t.Errorf("share of b: got %.3f, want 0.1", share)
	}
}
