package validator

import (
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// shares checks that the partners' guarantees can all be kept.
func (c *checker) shares() {
	sum := 0
	var last versioner.Key
	for _, e := range c.doc.Entries {
		if e.Partner != nil {
			sum += e.Partner.SharePercent
			last = e.Key
		}
	}
	if sum > 100 {
		c.add(last, "share-percent", "shares of all partners add up to %d, must be at most 100", sum)
	}
}

// tokens checks that a token identifies one partner.
func (c *checker) tokens() {
	owners := make(map[string]string)
	for _, e := range c.doc.Entries {
		if e.Partner == nil || e.Partner.TokenSHA256 == "" {
			continue
		}
		if owner, ok := owners[e.Partner.TokenSHA256]; ok {
			c.add(e.Key, "token-sha256", "is the token of partner %q", owner)
		}
		owners[e.Partner.TokenSHA256] = e.Key.Name
	}
}

// routes checks that no two routes match the same requests with equal
// precedence.
func (c *checker) routes() {
	byPath := make(map[string][]versioner.Entry)
	for _, e := range c.doc.Entries {
		if e.Route == nil {
			continue
		}
		path := strings.TrimSuffix(e.Route.PathPrefix, "/")
		for _, other := range byPath[path] {
			if ambiguous(e.Route, other.Route) {
				c.add(e.Key, "path-prefix", "matches the same requests as %s", other.Key)
			}
		}
		byPath[path] = append(byPath[path], e)
	}
}

// ambiguous says whether routes with equal paths match a common request
// without the host deciding between them.
func ambiguous(a, b *versioner.Route) bool {
	if (len(a.Hosts) == 0) != (len(b.Hosts) == 0) {
		return false
	}
	return Intersect(a.Hosts, b.Hosts) && Intersect(a.Methods, b.Methods)
}

// Intersect says whether two lists of hosts or methods match a common one. An
// empty list matches all.
func Intersect(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

// exceptions checks that scopes are consistent and that a scope departs from a
// setting once.
func (c *checker) exceptions() {
	type departure struct {
		scope   versioner.Scope
		setting string
	}
	seen := make(map[departure]versioner.Key)
	for _, e := range c.doc.Entries {
		x := e.Exception
		if x == nil {
			continue
		}
		d := departure{scope: x.Scope(), setting: x.Setting}
		if other, ok := seen[d]; ok {
			c.add(e.Key, "setting", "departs from the same setting in the same scope as %s", other)
		}
		seen[d] = e.Key
		owner, ok := c.doc.Find(versioner.Key{Kind: versioner.KindService, Name: x.Service})
		if ok && x.Partner != "" && owner.Service.Partner != x.Partner && !c.calls(x.Partner, x.Service) {
			c.add(e.Key, "service", "belongs to partner %q, and partner %q has no route to it", owner.Service.Partner, x.Partner)
		}
	}
}

// calls says whether a partner has a route to a service.
func (c *checker) calls(partner, service string) bool {
	return slices.ContainsFunc(c.doc.Entries, func(e versioner.Entry) bool {
		return e.Route != nil && e.Route.Partner == partner && slices.Contains(e.Route.Services(), service)
	})
}

const reservedField = "reserved-percent"

// reservations checks that every target keeps slots that no class reserves,
// fleet-wide and wherever exceptions change a reservation.
func (c *checker) reservations() {
	relevant := new(versioner.Document)
	domains := []string{""}
	for _, e := range c.doc.Entries {
		x := e.Exception
		reserves := x != nil && strings.HasSuffix(x.Setting, "."+reservedField)
		if e.Class != nil || reserves {
			relevant.Entries = append(relevant.Entries, e)
		}
		if reserves && !slices.Contains(domains, x.FailureDomain) {
			domains = append(domains, x.FailureDomain)
		}
	}
	if sum := reserved(relevant, versioner.Scope{}); sum >= 100 {
		c.add(versioner.Key{Kind: versioner.KindClass, Name: classes[0]}, reservedField, "reservations of all classes add up to %d, must be below 100", sum)
	}
	for _, e := range relevant.Entries {
		if e.Exception != nil {
			c.reservedBy(e, relevant, domains)
		}
	}
}

// reservedBy checks the places that one exception covers.
func (c *checker) reservedBy(e versioner.Entry, relevant *versioner.Document, domains []string) {
	for _, s := range c.doc.Entries {
		if s.Service == nil {
			continue
		}
		for _, domain := range domains {
			place := versioner.Scope{Partner: s.Service.Partner, Service: s.Key.Name, FailureDomain: domain}
			if !e.Exception.Covers(place) {
				continue
			}
			if sum := reserved(relevant, place); sum >= 100 {
				c.add(e.Key, "value", "reservations at service %q add up to %d, must be below 100", s.Key.Name, sum)
				return
			}
		}
	}
}

func reserved(doc *versioner.Document, place versioner.Scope) int {
	sum := 0
	for _, class := range classes {
		if s, ok := versioner.FindSetting(class + "." + reservedField); ok {
			sum += s.Resolve(doc, place)
		}
	}
	return sum
}
