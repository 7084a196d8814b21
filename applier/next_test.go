package applier

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/versioner"
)

// drawEntry draws an entry out of few names, so that entries replace and refer to each other.
// Some are invalid, or refer to entries that may not exist.
func drawEntry(t *rapid.T) versioner.Entry {
	name := func(prefix string) string { return fmt.Sprint(prefix, rapid.IntRange(0, 3).Draw(t, prefix)) }
	number := func(label string, largest int) int { return rapid.IntRange(0, largest).Draw(t, label) }
	switch number("kind", 4) {
	case 0:
		return versioner.Entry{Key: versioner.Key{Kind: versioner.KindPartner, Name: name("p")}, Partner: &versioner.Partner{SharePercent: number("share", 40)}}
	case 1:
		return versioner.Entry{Key: versioner.Key{Kind: versioner.KindService, Name: name("s")}, Service: &versioner.Service{Partner: name("p"), Slots: number("slots", 3)}}
	case 2:
		return versioner.Entry{Key: versioner.Key{Kind: versioner.KindTenant, Name: name("t")}, Tenant: &versioner.Tenant{KeySHA256: []string{versioner.HashKey(name("key"))}}}
	case 3:
		ms := 100 + number("eject", 2)
		return versioner.Entry{Key: versioner.Key{Kind: versioner.KindFleet, Name: versioner.FleetName}, Fleet: &versioner.Fleet{EjectMS: &ms}}
	}
	r := &versioner.Route{Partner: name("p"), PathPrefix: "/" + name("path"), Class: versioner.ClassLookup, Service: name("s"), Priority: number("priority", 1001) - 1}
	if number("split", 2) == 0 {
		r.Service, r.Split = "", []versioner.Part{{Service: "s0", Weight: 1 + number("weight", 3)}, {Service: "s1", Weight: 1}}
	}
	return versioner.Entry{Key: versioner.Key{Kind: versioner.KindRoute, Name: name("r")}, Route: r}
}

// A snapshot that shares what its document shares with the one before must be the one that is
// built from the document alone, and must be refused for the same problems.
func TestNextSnapshotEqualsTheWholeOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := new(versioner.Document)
		var before *Snapshot
		for range rapid.IntRange(1, 25).Draw(t, "versions") {
			var deletes []versioner.Key
			if len(doc.Entries) > 0 && rapid.IntRange(0, 5).Draw(t, "deletes") == 0 {
				deletes = append(deletes, rapid.SampledFrom(doc.Entries).Draw(t, "deleted").Key)
			}
			next := doc.With([]versioner.Entry{drawEntry(t)}, deletes)
			got, gotErr := buildNext(before, next, versioner.Digest{}, "")
			want, wantErr := buildNext(nil, next, versioner.Digest{}, "")
			if fmt.Sprint(gotErr) != fmt.Sprint(wantErr) {
				t.Fatalf("version %d: got error %v, want %v", next.Version, gotErr, wantErr)
			}
			if gotErr != nil {
				continue
			}
			wantSameSnapshot(t, got, want)
			doc, before = next, got
		}
	})
}

// wantSameSnapshot fails unless both snapshots answer alike.
func wantSameSnapshot(t *rapid.T, got, want *Snapshot) {
	if len(got.policies) != len(want.policies) || len(got.routes.all) != len(want.routes.all) || len(got.tenants.byKey) != len(want.tenants.byKey) {
		t.Fatalf("got %d policies, %d routes, %d keys, want %d, %d, %d", len(got.policies), len(got.routes.all),
			len(got.tenants.byKey), len(want.policies), len(want.routes.all), len(want.tenants.byKey))
	}
	for k, p := range want.policies {
		if *got.policies[k] != *p {
			t.Errorf("policy %v: got %+v, want %+v", k, *got.policies[k], *p)
		}
	}
	for digest, tenant := range want.tenants.byKey {
		if other := got.tenants.byKey[digest]; other == nil || other.Name != tenant.Name || other.Config != tenant.Config {
			t.Errorf("tenant of a key: got %v, want %v", other, tenant)
		}
	}
	for i := range 4 {
		path := fmt.Sprintf("/path%d/x", i)
		g, w := got.Route("a.example", path, "GET"), want.Route("a.example", path, "GET")
		if (g == nil) != (w == nil) || g != nil && (g.Name != w.Name || g.Config != w.Config || *g.Policy != *w.Policy || !g.hasPolicies(got.policies)) {
			t.Errorf("route of %s: got %+v, want %+v", path, g, w)
		}
	}
}

// A version that changes one route must not cost what a whole configuration costs.
func BenchmarkNextSnapshot(b *testing.B) {
	entries := []versioner.Entry{
		{Key: versioner.Key{Kind: versioner.KindPartner, Name: "p"}, Partner: &versioner.Partner{SharePercent: 100}},
		{Key: versioner.Key{Kind: versioner.KindService, Name: "s0"}, Service: &versioner.Service{Partner: "p"}},
		{Key: versioner.Key{Kind: versioner.KindService, Name: "s1"}, Service: &versioner.Service{Partner: "p"}},
	}
	route := func(i, weight int) versioner.Entry {
		return versioner.Entry{Key: versioner.Key{Kind: versioner.KindRoute, Name: fmt.Sprint("r", i)}, Route: &versioner.Route{
			Partner: "p", Hosts: []string{"a.example"}, PathPrefix: fmt.Sprintf("/path%d/x/", i), Class: versioner.ClassLookup,
			Split: []versioner.Part{{Service: "s0", Weight: weight}, {Service: "s1", Weight: 10}},
		}}
	}
	for i := range 1700 {
		entries = append(entries, route(i, 90))
	}
	first := new(versioner.Document).With(entries, nil)
	before, err := buildNext(nil, first, versioner.Digest{}, "")
	if err != nil {
		b.Fatal(err)
	}
	next := first.With([]versioner.Entry{route(7, 50)}, nil)
	for _, bb := range []struct {
		name   string
		before *Snapshot
	}{{"one-route", before}, {"whole", nil}} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := buildNext(bb.before, next, versioner.Digest{}, ""); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
