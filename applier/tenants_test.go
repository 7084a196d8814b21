package applier

import (
	"fmt"
	"testing"

	"bambooweir.example/bambooweir/versioner"
)

// tenantEntry returns a tenant that holds the keys.
func tenantEntry(name string, keys ...string) versioner.Entry {
	tenant := new(versioner.Tenant)
	for _, key := range keys {
		tenant.KeySHA256 = append(tenant.KeySHA256, versioner.HashKey(key))
	}
	return versioner.Entry{Key: versioner.Key{Kind: versioner.KindTenant, Name: name}, Tenant: tenant}
}

// TestTenantOfAKey checks that each key identifies its tenant, in each version alone.
func TestTenantOfAKey(t *testing.T) {
	doc := document(1, 50).With([]versioner.Entry{tenantEntry("north", "n1", "n2"), tenantEntry("south", "s1"), tenantEntry("keyless")}, nil)
	before, err := Build(doc, "")
	if err != nil {
		t.Fatal(err)
	}
	after, err := Build(doc.With([]versioner.Entry{tenantEntry("north", "n2"), tenantEntry("south", "n1")}, nil), "")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ key, before, after string }{
		{"n1", "north", "south"},
		{"n2", "north", "north"},
		{"s1", "south", ""},
		{"", "", ""},
		{"N1", "", ""},
		{versioner.HashKey("n1"), "", ""},
	} {
		if got := before.Tenant(tt.key).NameOrNone(); got != tt.before {
			t.Errorf("tenant of %q: got %q, want %q", tt.key, got, tt.before)
		}
		if got := after.Tenant(tt.key).NameOrNone(); got != tt.after {
			t.Errorf("tenant of %q after the change: got %q, want %q", tt.key, got, tt.after)
		}
	}
	if got := before.TenantByName("keyless"); got == nil || got.HasQuota() || !before.HasTenants() {
		t.Errorf("tenant without keys: got %+v, want one without a quota", got)
	}
	without, err := Build(document(1, 50), "")
	if err != nil || without.HasTenants() || without.Tenant("n1") != nil || without.TenantByName("north") != nil {
		t.Errorf("configuration without tenants: got a tenant (%v), want none", err)
	}
}

// manyTenants returns a document with n tenants of two keys.
func manyTenants(n int) *versioner.Document {
	entries := make([]versioner.Entry, 0, n)
	for i := range n {
		name := fmt.Sprintf("tenant-%06d", i)
		entries = append(entries, tenantEntry(name, name+"-a", name+"-b"))
	}
	doc := document(1, 50)
	doc.Entries = append(doc.Entries, entries...)
	return doc
}

// tenantCounts are the numbers of tenants of the benchmarks: a present deployment's, and
// that of the size that the project is for.
var tenantCounts = []int{74, 100_000}

// BenchmarkTenant measures the lookup of a key of 32 characters.
func BenchmarkTenant(b *testing.B) {
	for _, n := range tenantCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			doc := manyTenants(n)
			keys := make([]string, n)
			for i := range keys {
				keys[i] = fmt.Sprintf("%032d", i)
				doc.Entries[i+1].Tenant.KeySHA256[1] = versioner.HashKey(keys[i])
			}
			s, err := Build(doc, "")
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if s.Tenant(keys[i%n]) == nil {
					b.Fatal("got no tenant, want one")
				}
			}
		})
	}
}

// BenchmarkTenantChange measures the parts of a version that changes one tenant.
func BenchmarkTenantChange(b *testing.B) {
	for _, n := range tenantCounts {
		doc := manyTenants(n)
		change := []versioner.Entry{tenantEntry("tenant-000007", "other")}
		b.Run(fmt.Sprintf("with/%d", n), func(b *testing.B) {
			for b.Loop() {
				doc.With(change, nil)
			}
		})
		b.Run(fmt.Sprintf("digest/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := doc.Digest(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("build/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Build(doc, ""); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
