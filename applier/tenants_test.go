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

// TestVersionsShareTenants checks that versions without a change of tenants have the index of
// the one before, and that tenants are checked and indexed anew once one changes.
func TestVersionsShareTenants(t *testing.T) {
	var a Applier
	offer := func(doc *versioner.Document, want bool) *tenantIndex {
		t.Helper()
		if got, err := a.Offer(doc); got != want {
			t.Fatalf("offer of version %d: got %t (%v), want %t", doc.Version, got, err, want)
		}
		return a.Current().tenants
	}
	first := document(1, 50).With([]versioner.Entry{tenantEntry("north", "n1"), tenantEntry("south", "s1")}, nil)
	index := offer(first, true)
	second := first.With(document(1, 40).Entries, nil)
	if offer(second, true) != index {
		t.Error("version without a change of tenants: got another index, want that of the version before")
	}
	for _, bad := range []versioner.Entry{tenantEntry("south", "n1"), {Key: tenantEntry("south").Key, Tenant: &versioner.Tenant{Burst: -1}}} {
		offer(second.With([]versioner.Entry{bad}, nil), false)
	}
	offer(second.With([]versioner.Entry{tenantEntry("south", "s2")}, []versioner.Key{tenantEntry("north").Key}), true)
	for key, want := range map[string]string{"n1": "", "s1": "", "s2": "south"} {
		if got := a.Current().Tenant(key).NameOrNone(); got != want {
			t.Errorf("tenant of %q: got %q, want %q", key, got, want)
		}
	}
	offer(a.Current().Document.With(nil, []versioner.Key{tenantEntry("south").Key}), true)
	if a.Current().HasTenants() {
		t.Error("version without tenants: got some, want none")
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

// BenchmarkTenantChange measures the parts of a version that changes one tenant, and the
// snapshot of one that changes another entry (build-next).
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
		b.Run(fmt.Sprintf("build-next/%d", n), func(b *testing.B) {
			s, err := Build(doc, "")
			if err != nil {
				b.Fatal(err)
			}
			next := doc.With(document(1, 40).Entries, nil)
			for b.Loop() {
				if _, err := buildNext(s, next, versioner.Digest{}, ""); err != nil {
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
