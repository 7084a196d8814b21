package applier

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bambooweir.example/bambooweir/versioner"
)

func entry(kind versioner.Kind, name string) versioner.Entry {
	return versioner.Entry{Key: versioner.Key{Kind: kind, Name: name}}
}

func partnerEntry(name string) versioner.Entry {
	e := entry(versioner.KindPartner, name)
	e.Partner = &versioner.Partner{SharePercent: 50}
	return e
}

func serviceEntry(name, partner string) versioner.Entry {
	e := entry(versioner.KindService, name)
	e.Service = &versioner.Service{Partner: partner, Slots: 16}
	return e
}

func routeEntry(name string, r versioner.Route) versioner.Entry {
	e := entry(versioner.KindRoute, name)
	e.Route = &r
	return e
}

// build returns the snapshot of the entries in the failure domain selma-row.
func build(t testing.TB, entries ...versioner.Entry) *Snapshot {
	t.Helper()
	s, err := Build((&versioner.Document{}).With(entries, nil), "selma-row")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestPolicyResolvesExceptions checks that the narrowest exception that applies
// overrides the fleet-wide value, and that exceptions of another failure domain
// are ignored.
func TestPolicyResolvesExceptions(t *testing.T) {
	exception := func(name string, x versioner.Exception) versioner.Entry {
		e := entry(versioner.KindException, name)
		x.Setting, x.Reason = "lookup.timeout-ms", "agreed"
		e.Exception = &x
		return e
	}
	s := build(t,
		partnerEntry("magnolia"), partnerEntry("regie"),
		serviceEntry("ledger-view", "magnolia"), serviceEntry("catalogue", "regie"),
		routeEntry("shared", versioner.Route{Partner: "regie", PathPrefix: "/", Service: "ledger-view", Class: versioner.ClassLookup}),
		exception("a", versioner.Exception{Service: "ledger-view", Value: 700}),
		exception("b", versioner.Exception{Service: "ledger-view", FailureDomain: "selma-row", Value: 800}),
		exception("c", versioner.Exception{Service: "catalogue", FailureDomain: "clohars", Value: 900}),
		exception("d", versioner.Exception{Partner: "regie", Value: 950}),
	)
	for _, tt := range []struct {
		service, class, partner string
		want                    time.Duration
	}{
		{"ledger-view", versioner.ClassLookup, "magnolia", 800 * time.Millisecond},
		{"ledger-view", versioner.ClassLookup, "regie", 800 * time.Millisecond},
		{"ledger-view", versioner.ClassLookup, "unknown", 800 * time.Millisecond},
		{"ledger-view", versioner.ClassPosting, "magnolia", 10 * time.Second},
		{"catalogue", versioner.ClassLookup, "regie", 950 * time.Millisecond},
		{"catalogue", versioner.ClassLookup, "unknown", 950 * time.Millisecond},
		{"catalogue", versioner.ClassPosting, "regie", 10 * time.Second},
	} {
		p := s.Policy(tt.service, tt.class, tt.partner)
		if p == nil || p.Timeout != tt.want || p.Slots != 16 {
			t.Errorf("Policy(%s, %s, %s): got %+v, want timeout %v and 16 slots", tt.service, tt.class, tt.partner, p, tt.want)
		}
	}
	if !s.HasPartner("regie") || s.HasPartner("") || s.HasPartner("other") {
		t.Error("HasPartner: want true for the configured partners only")
	}
	if got := s.Policy("absent", versioner.ClassLookup, "regie"); got != nil {
		t.Errorf("Policy of an absent service: got %+v, want nil", got)
	}
}

// matchLinear is the reference for the route index: a linear search of the sorted
// routes. It returns the name of the matching route, or the empty string.
func matchLinear(doc *versioner.Document, host, path, method string) string {
	best, bestScore := "", -1
	for _, e := range doc.Entries {
		r := e.Route
		if r == nil || (len(r.Hosts) > 0 && !slices.Contains(r.Hosts, host)) || (len(r.Methods) > 0 && !slices.Contains(r.Methods, method)) {
			continue
		}
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		rest, ok := strings.CutPrefix(path, prefix)
		if !ok || (rest != "" && rest[0] != '/') || rest == "" && strings.HasSuffix(r.PathPrefix, "/") {
			continue
		}
		if score := min(1, len(r.Hosts))*1000 + len(prefix); score > bestScore {
			best, bestScore = e.Key.Name, score
		}
	}
	return best
}

// TestRouteFollowsLinearSearch compares the route index with matchLinear on random
// routes and requests, including paths with empty segments.
func TestRouteFollowsLinearSearch(t *testing.T) {
	path := rapid.Custom(func(t *rapid.T) string {
		segments := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "ab"}), 0, 4).Draw(t, "segments")
		return "/" + strings.Join(segments, "/")
	})
	host := rapid.SampledFrom([]string{"x.example", "y.example"})
	method := rapid.SampledFrom([]string{"GET", "POST"})
	rapid.Check(t, func(rt *rapid.T) {
		entries := []versioner.Entry{partnerEntry("magnolia"), serviceEntry("ledger-view", "magnolia")}
		for i := range rapid.IntRange(0, 12).Draw(rt, "routes") {
			entries = append(entries, routeEntry(fmt.Sprintf("r%02d", i), versioner.Route{
				Partner: "magnolia", Service: "ledger-view", Class: versioner.ClassLookup, PathPrefix: path.Draw(rt, "prefix"),
				Hosts:   rapid.SliceOfN(host, 0, 2).Draw(rt, "hosts"),
				Methods: rapid.SliceOfN(method, 0, 1).Draw(rt, "methods"),
			}))
		}
		// This skips Build, which refuses a document with ambiguous routes: the index
		// must order them, too.
		doc := (&versioner.Document{}).With(entries, nil)
		s := &Snapshot{Document: doc, routes: newRouteIndex(doc, newPolicies(doc, newSettings(doc, "selma-row")), new(routeIndex))}
		h, p, m := host.Draw(rt, "host"), path.Draw(rt, "path"), method.Draw(rt, "method")
		got, _, _ := s.Match(h, p, m)
		if want := matchLinear(s.Document, h, p, m); got != want {
			rt.Errorf("Match(%q, %q, %q): got %q, want %q", h, p, m, got, want)
		}
	})
}

func TestRouteIgnoresPortAndCaseOfHost(t *testing.T) {
	s := build(t, partnerEntry("magnolia"), serviceEntry("ledger-view", "magnolia"),
		routeEntry("named", versioner.Route{Partner: "magnolia", Service: "ledger-view", Class: versioner.ClassLookup, PathPrefix: "/", Hosts: []string{"shares.example"}}))
	for _, host := range []string{"shares.example", "SHARES.example:8080", "Shares.Example"} {
		if s.Route(host, "/x", "GET") == nil {
			t.Errorf("Route(%q): got nil, want the route", host)
		}
	}
}

// benchmarkSnapshot returns a snapshot with 130 services and 500 routes.
func benchmarkSnapshot(b *testing.B) *Snapshot {
	entries := []versioner.Entry{partnerEntry("magnolia")}
	for i := range 130 {
		entries = append(entries, serviceEntry(fmt.Sprintf("s%03d", i), "magnolia"))
	}
	for i := range 500 {
		entries = append(entries, routeEntry(fmt.Sprintf("r%03d", i), versioner.Route{
			Partner: "magnolia", Service: fmt.Sprintf("s%03d", i%130), Class: versioner.ClassLookup, PathPrefix: fmt.Sprintf("/v1/area%d/shares", i),
		}))
	}
	return build(b, entries...)
}

func BenchmarkRoute500(b *testing.B) {
	s := benchmarkSnapshot(b)
	b.ReportAllocs()
	for b.Loop() {
		if s.Route("127.0.0.1:8080", "/v1/area250/shares/7", "GET") == nil {
			b.Fatal("no route")
		}
	}
}

func BenchmarkMatchLinear500(b *testing.B) {
	s := benchmarkSnapshot(b)
	for b.Loop() {
		if matchLinear(s.Document, "127.0.0.1:8080", "/v1/area250/shares/7", "GET") == "" {
			b.Fatal("no route")
		}
	}
}

func BenchmarkPolicy(b *testing.B) {
	s := benchmarkSnapshot(b)
	b.ReportAllocs()
	for b.Loop() {
		if s.Policy("s077", versioner.ClassLookup, "magnolia") == nil {
			b.Fatal("no policy")
		}
	}
}

func BenchmarkBuild500(b *testing.B) {
	doc := benchmarkSnapshot(b).Document
	for b.Loop() {
		if _, err := Build(doc, "selma-row"); err != nil {
			b.Fatal(err)
		}
	}
}
