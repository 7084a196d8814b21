package limiter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/versioner"
)

// A target with twelve slots and runs of 100 ms answers 120 calls a second. Three tenants ask
// for 25 each; a fourth sends five times that. It must not take room from the others, and no
// slot may stay idle: it gets what they leave.
func TestFloodOfOneTenant(t *testing.T) {
	const (
		run      = 100 * time.Millisecond
		calmRate = 25
		duration = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		l := newOnePartnerLimiter(t, 12)
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		var callers []*caller
		for i, perSecond := range []int{calmRate, calmRate, calmRate, 5 * calmRate} {
			c := &caller{
				request: Request{Class: lookup, Partner: "magnolia", Tenant: fmt.Sprint("tenant-", i), Objective: 400 * time.Millisecond},
				every:   time.Second / time.Duration(perSecond),
			}
			callers = append(callers, c)
			go c.run(ctx, l, run)
		}
		<-ctx.Done()
		time.Sleep(time.Second)
		total := int64(0)
		for i, c := range callers {
			done, refused := c.done.Load(), c.refused.Load()
			total += done
			if i < 3 && refused*20 > done {
				t.Errorf("%s: got %d of %d calls refused, want at most one in twenty", c.request.Tenant, refused, done+refused)
			}
		}
		if want := int64(12 * duration / run * 9 / 10); total < want {
			t.Errorf("calls of all tenants: got %d answered, want at least %d", total, want)
		}
	})
}

// Tenants that send in proportion to their quotas share the refusals; one that sends three
// times its part is over its share, however small its quota is.
func TestIsOverShare(t *testing.T) {
	s, err := applier.Build(tenantsDocument(map[string]float64{"large": 90, "small": 9, "third": 1}), "")
	if err != nil {
		t.Fatal(err)
	}
	const run = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		// runs is the number of runs of each tenant within a second.
		runs map[string]int
		over string
	}{
		{"in proportion", map[string]int{"large": 90, "small": 9, "third": 1}, ""},
		{"the large one floods", map[string]int{"large": 300, "small": 9, "third": 4}, ""},
		{"the small one floods", map[string]int{"large": 90, "small": 30, "third": 1}, "small"},
		{"the smallest one floods", map[string]int{"large": 90, "small": 9, "third": 6}, "third"},
		{"alone", map[string]int{"small": 50}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var uses tenantUses
			now := time.Unix(1000, 0)
			for range 10 {
				now = now.Add(run)
				for name, runs := range tt.runs {
					uses.use(name, run*time.Duration(runs)/10, s, now)
				}
			}
			for name := range tt.runs {
				if got, want := uses.isOverShare(name, run, now), name == tt.over; got != want {
					t.Errorf("%s: got over its share %v, want %v", name, got, want)
				}
			}
		})
	}
}

// Use must be forgotten: a tenant that has sent much before is not behind others forever, and
// the table does not grow with all tenants that ever called.
func TestTenantUseIsForgotten(t *testing.T) {
	var uses tenantUses
	now := time.Unix(1000, 0)
	for i := range 2 * maxTenants {
		uses.use(fmt.Sprint(i), time.Second, nil, now)
	}
	if got := len(uses.uses); got > maxTenants {
		t.Errorf("tenants: got %d, want at most %d", got, maxTenants)
	}
	now = now.Add(20 * tenantHalfLife)
	uses.use("new", time.Second, nil, now)
	if got := len(uses.uses); got != 1 {
		t.Errorf("tenants after a pause: got %d, want 1", got)
	}
}

// tenantsDocument returns a configuration with tenants that have the quotas.
func tenantsDocument(quotas map[string]float64) *versioner.Document {
	var entries []versioner.Entry
	for name, rate := range quotas {
		entries = append(entries, versioner.Entry{
			Key:    versioner.Key{Kind: versioner.KindTenant, Name: name},
			Tenant: &versioner.Tenant{RatePerS: rate, Burst: rate},
		})
	}
	return new(versioner.Document).With(entries, nil)
}

func BenchmarkTenantUse(b *testing.B) {
	var uses tenantUses
	now := time.Unix(1000, 0)
	for i := range 74 {
		uses.use(fmt.Sprint(i), time.Second, nil, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		uses.use("7", time.Millisecond, nil, now)
		uses.isOverShare("8", time.Millisecond, now)
	}
}
