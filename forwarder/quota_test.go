package forwarder

import (
	"context"
	"errors"
	"testing"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/versioner"
)

// newQuoter returns the quoter of a daemon of the mesh, which asks over call links.
func (m *mesh) newQuoter(id string, limit quoter.Limit) *quoter.Quoter {
	members := &quoter.Members{Ready: threeTargets}
	q := &quoter.Quoter{
		InstanceID: id, Members: func() *quoter.Members { return members },
		Limit: func(string) (quoter.Limit, bool) { return limit, true },
		Send: func(ctx context.Context, to string, ask quoter.Ask) (quoter.Reply, error) {
			record, _ := m.table.Find(to)
			message := &messenger.QuotaAsk{ID: messenger.NewCallID(), Asker: id, Ask: ask}
			answer, err := m.forwarder.Ask(ctx, record, message.ID, message)
			if err != nil {
				return quoter.Reply{}, err
			}
			return *answer.Quota, nil
		},
	}
	q.SetBounds(quoter.Bounds{})
	q.ObserveMembers()
	return q
}

// TestQuotaHoldsOverLinks sends the calls of a tenant through an entry daemon that asks the
// tenant's home over call links: calls over the quota must get 429 and not run, and the
// next in rank must take over when the home ends.
func TestQuotaHoldsOverLinks(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		limit := quoter.Limit{RatePerS: 2, Burst: 5}
		tenant := versioner.Entry{
			Key:    versioner.Key{Kind: versioner.KindTenant, Name: "vestergaard"},
			Tenant: &versioner.Tenant{KeySHA256: []string{versioner.HashKey("k1")}, RatePerS: limit.RatePerS, Burst: limit.Burst},
		}
		doc := new(versioner.Document).With(meshEntries(), nil).With([]versioner.Entry{tenant}, nil)
		if _, err := m.forwarder.Applier.Offer(doc); err != nil {
			t.Fatal(err)
		}
		m.forwarder.Quota = m.newQuoter("entry", limit)
		for _, target := range m.targets {
			target.executor.Quota = m.newQuoter(target.name, limit)
		}
		admitted := func(calls int) int {
			n := 0
			for range calls {
				got := m.call(m.ctx, "/lookups", "", messenger.HeaderNames{}.WithDefaults().APIKey, "k1")
				switch {
				case got.status == 200:
					n++
				case !got.contains("429", "not-run", "quota-exceeded"):
					t.Errorf("refused call: got %v, want 429 quota-exceeded", got)
				}
			}
			return n
		}
		time.Sleep(10 * time.Second)
		if got := admitted(20); got != 5 {
			t.Errorf("admitted at once: got %d, want the burst of 5", got)
		}
		home := ""
		for _, target := range m.targets {
			if target.executor.Quota.Counters.Granted.Value() > 0 {
				home += target.name
			}
		}
		if len(home) != 1 {
			t.Fatalf("homes: got %q, want one", home)
		}
		m.targets[home].kill()
		n := 0
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			n += admitted(1)
		}
		// The new home begins with an empty bucket, which fills at a part of the rate.
		if n < 1 || n > 6 {
			t.Errorf("admitted in 3 s after the home ended: got %d, want 1 to 6", n)
		}
	})
}

// Requests that arrive before the home of their tenant is known must wait for it, as they wait
// for the first configuration; one that is unknown for longer than that must not make each
// request wait.
func TestRequestsWaitForTheHomeOfTheirTenant(t *testing.T) {
	runInMesh(t, threeTargets, func(t *testing.T, m *mesh) {
		// The share of one daemon in the small quota is less than a call.
		large, small := quoter.Limit{RatePerS: 100, Burst: 100}, quoter.Limit{RatePerS: 0.01, Burst: 1}
		doc := new(versioner.Document).With(meshEntries(), nil)
		for key, limit := range map[string]quoter.Limit{"large": large, "small": small} {
			doc = doc.With([]versioner.Entry{{
				Key:    versioner.Key{Kind: versioner.KindTenant, Name: key},
				Tenant: &versioner.Tenant{KeySHA256: []string{versioner.HashKey(key)}, RatePerS: limit.RatePerS, Burst: limit.Burst},
			}}, nil)
		}
		if _, err := m.forwarder.Applier.Offer(doc); err != nil {
			t.Fatal(err)
		}
		call := func(key string) (callerResponse, time.Duration) {
			start := time.Now()
			got := m.call(m.ctx, "/lookups", "1", messenger.HeaderNames{}.WithDefaults().APIKey, key)
			return got, time.Since(start)
		}
		// A daemon that knows no other is the home of no tenant for its first ten seconds.
		m.forwarder.Quota = m.newQuoter("entry", large)
		members := &quoter.Members{Ready: []string{"entry"}}
		m.forwarder.Quota.Members = func() *quoter.Members { return members }
		m.forwarder.Quota.SetBounds(quoter.Bounds{Slack: 20})
		m.forwarder.Quota.ObserveMembers()
		time.Sleep(9 * time.Second)
		got, waited := call("large")
		wantResponse(t, got, "200")
		if waited < 900*time.Millisecond || waited > startupWait {
			t.Errorf("wait for a home that is known a second later: got %v", waited)
		}
		m.forwarder.Quota = m.newQuoter("entry", small)
		m.forwarder.Quota.Send = func(context.Context, string, quoter.Ask) (quoter.Reply, error) {
			return quoter.Reply{}, errors.New("cut off")
		}
		got, waited = call("small")
		wantResponse(t, got, "503", "quota-unknown")
		if waited < startupWait {
			t.Errorf("first call without a home: got refused after %v, want %v at least", waited, startupWait)
		}
		if got, waited = call("small"); got.status != 503 || waited > startupWait/2 {
			t.Errorf("later call without a home: got %d after %v, want 503 at once", got.status, waited)
		}
	})
}
