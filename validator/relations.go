package validator

import (
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// checkShares checks that the partners' guaranteed shares add up to at most 100
// percent, so that all of them can be kept.
func (c *checker) checkShares() {
	sum := 0
	var last versioner.Key
	for _, e := range c.doc.Entries {
		if e.Partner != nil {
			sum += e.Partner.SharePercent
			last = e.Key
		}
	}
	if sum > 100 {
		c.addProblem(last, "share-percent", "shares of all partners add up to %d, must be at most 100", sum)
	}
}

// checkTokens checks that no two partners have the same token, so that a token
// identifies one partner.
func (c *checker) checkTokens() {
	owners := make(map[string]string)
	for _, e := range c.doc.Entries {
		if e.Partner == nil || e.Partner.TokenSHA256 == "" {
			continue
		}
		if owner, ok := owners[e.Partner.TokenSHA256]; ok {
			c.addProblem(e.Key, "token-sha256", "is the token of partner %q", owner)
		}
		owners[e.Partner.TokenSHA256] = e.Key.Name
	}
}

// checkTenantKeys checks that no two tenants have a key in common, so that a key identifies
// one tenant.
func (c *checker) checkTenantKeys() {
	count := 0
	for _, e := range c.doc.Entries {
		if e.Tenant != nil {
			count += len(e.Tenant.KeySHA256)
		}
	}
	owners := make(map[string]string, count)
	for _, e := range c.doc.Entries {
		if e.Tenant == nil {
			continue
		}
		for _, key := range e.Tenant.KeySHA256 {
			if owner, ok := owners[key]; ok && owner != e.Key.Name {
				c.addProblem(e.Key, "key-sha256", "holds a key of tenant %q", owner)
			}
			owners[key] = e.Key.Name
		}
	}
}

// checkRoutes checks that no two routes match the same requests with equal
// precedence.
func (c *checker) checkRoutes() {
	byPath := make(map[string][]versioner.Entry)
	for _, e := range c.doc.Entries {
		if e.Route == nil {
			continue
		}
		path := strings.TrimSuffix(e.Route.PathPrefix, "/")
		for _, other := range byPath[path] {
			if ambiguous(e.Route, other.Route) {
				c.addProblem(e.Key, "path-prefix", "matches the same requests as %s", other.Key)
			}
		}
		byPath[path] = append(byPath[path], e)
	}
}

// ambiguous reports whether routes with equal paths match a common request with
// equal precedence. A route with hosts takes precedence over one without.
func ambiguous(a, b *versioner.Route) bool {
	if (len(a.Hosts) == 0) != (len(b.Hosts) == 0) {
		return false
	}
	return Intersect(a.Hosts, b.Hosts) && Intersect(a.Methods, b.Methods)
}

// Intersect reports whether two lists of hosts or methods have an element in
// common. An empty list matches every host or method.
func Intersect(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

// checkExceptions checks that no two exceptions override the same setting in the
// same scope, and that the partner of a scope owns or calls the scope's service.
func (c *checker) checkExceptions() {
	type scopedSetting struct {
		scope   versioner.Scope
		setting string
	}
	seen := make(map[scopedSetting]versioner.Key)
	for _, e := range c.doc.Entries {
		x := e.Exception
		if x == nil {
			continue
		}
		s := scopedSetting{scope: x.Scope(), setting: x.Setting}
		if other, ok := seen[s]; ok {
			c.addProblem(e.Key, "setting", "overrides the same setting in the same scope as %s", other)
		}
		seen[s] = e.Key
		owner, ok := c.doc.Find(versioner.Key{Kind: versioner.KindService, Name: x.Service})
		if ok && x.Partner != "" && owner.Service.Partner != x.Partner && !c.hasRouteTo(x.Partner, x.Service) {
			c.addProblem(e.Key, "service", "belongs to partner %q, and partner %q has no route to it", owner.Service.Partner, x.Partner)
		}
	}
}

// hasRouteTo reports whether a partner has a route to a service.
func (c *checker) hasRouteTo(partner, service string) bool {
	return slices.ContainsFunc(c.doc.Entries, func(e versioner.Entry) bool {
		return e.Route != nil && e.Route.Partner == partner && slices.Contains(e.Route.Services(), service)
	})
}

// reservedField is the last part of the name of each class's setting for the
// percentage of a target's slots that is reserved for the class.
const reservedField = "reserved-percent"

// checkReservations checks that the reservations of all classes leave every target
// some unreserved slots, fleet-wide and wherever exceptions change a reservation.
func (c *checker) checkReservations() {
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
	if sum := totalReserved(relevant, versioner.Scope{}); sum >= 100 {
		c.addProblem(versioner.Key{Kind: versioner.KindClass, Name: classes[0]}, reservedField, "reservations of all classes add up to %d, must be below 100", sum)
	}
	for _, e := range relevant.Entries {
		if e.Exception != nil {
			c.checkExceptionReservations(e, relevant, domains)
		}
	}
}

// checkExceptionReservations checks the sum of the reservations in every scope of a
// service and a failure domain that one exception covers. The document relevant holds the
// classes and the exceptions of reservations, and domains their failure domains.
func (c *checker) checkExceptionReservations(e versioner.Entry, relevant *versioner.Document, domains []string) {
	for _, s := range c.doc.Entries {
		if s.Service == nil {
			continue
		}
		for _, domain := range domains {
			scope := versioner.Scope{Partner: s.Service.Partner, Service: s.Key.Name, FailureDomain: domain}
			if !e.Exception.Covers(scope) {
				continue
			}
			if sum := totalReserved(relevant, scope); sum >= 100 {
				c.addProblem(e.Key, "value", "reservations at service %q add up to %d, must be below 100", s.Key.Name, sum)
				return
			}
		}
	}
}

// totalReserved returns the sum of the reservations of all classes in a scope, in
// percent.
func totalReserved(doc *versioner.Document, scope versioner.Scope) int {
	sum := 0
	for _, class := range classes {
		if s, ok := versioner.FindSetting(class + "." + reservedField); ok {
			sum += s.Resolve(doc, scope)
		}
	}
	return sum
}
