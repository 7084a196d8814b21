package tallier

import (
	"fmt"
	"slices"
	"testing"
)

// TestBusyTenantsAreCountedByName checks that busy tenants are counted by name among far
// more rare ones, that no call is lost, and that the number of names is bounded.
func TestBusyTenantsAreCountedByName(t *testing.T) {
	tallier := &Tallier{Max: 8}
	outcomes := []Outcome{Answered, Refused, OverQuota, Unknown}
	const calls = 100_000
	for n := range calls {
		tenant := fmt.Sprintf("rare-%d", n%20_000)
		if n%2 == 0 {
			tenant = fmt.Sprintf("busy-%d", n/2%3)
		}
		tallier.Add(tenant, outcomes[n%len(outcomes)])
	}
	busiest, others := tallier.Report()
	if got := len(busiest); got != 8 {
		t.Errorf("tenants by name: got %d, want 8", got)
	}
	var names []string
	sum := others
	for _, tally := range busiest {
		names = append(names, tally.Tenant)
		sum.merge(tally.Counts)
	}
	slices.Sort(names[:3])
	if got, want := names[:3], []string{"busy-0", "busy-1", "busy-2"}; !slices.Equal(got, want) {
		t.Errorf("busiest: got %v, want %v", got, want)
	}
	if want := (Counts{Asked: calls, Answered: calls / 4, Refused: calls / 4, OverQuota: calls / 4, Unknown: calls / 4}); sum != want {
		t.Errorf("sum: got %+v, want %+v", sum, want)
	}
}

// TestFormerlyBusyTenantGivesWay guards against a tenant that was busy for long keeping its
// place for as long again.
func TestFormerlyBusyTenantGivesWay(t *testing.T) {
	tallier := &Tallier{Max: 2}
	for range 20 * rankWindowCalls {
		tallier.Add("former", Answered)
	}
	for n := range 4 * rankWindowCalls {
		tallier.Add([]string{"now", "now-too"}[n%2], Answered)
	}
	busiest, _ := tallier.Report()
	for _, tally := range busiest {
		if tally.Tenant == "former" {
			t.Errorf("busiest: got %+v, want now and now-too", busiest)
		}
	}
}

// BenchmarkAdd measures counting a call, of few tenants and of 100,000 in turn.
func BenchmarkAdd(b *testing.B) {
	for _, tenants := range []int{1, 100_000} {
		names := make([]string, tenants)
		for i := range names {
			names[i] = fmt.Sprintf("tenant-%d", i)
		}
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			var tallier Tallier
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				tallier.Add(names[n%tenants], Answered)
			}
		})
	}
}
