package authorizer

import (
	"fmt"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// Requirements returns every approval that the change from one document to the next
// needs.
func Requirements(from, to *versioner.Document) []Refusal {
	r := requirements{from: from, to: to}
	for _, e := range planner.Compare(from, to) {
		r.addEdit(e)
	}
	return r.list
}

// requirements collects the approvals that a change needs.
type requirements struct {
	from, to *versioner.Document
	list     []Refusal
}

// add records that the edit of the entry needs the partner's approval; "" means that
// of any second partner. The reason is formatted as by fmt.Sprintf.
func (r *requirements) add(k versioner.Key, rule Rule, partner, format string, args ...any) {
	r.list = append(r.list, Refusal{Key: k, Rule: rule, Partner: partner, Reason: fmt.Sprintf(format, args...)})
}

// addEdit adds the approvals that an edit needs.
func (r *requirements) addEdit(e planner.Edit) {
	switch e.Key.Kind {
	case versioner.KindPartner:
		r.addPartnerEdit(e)
	case versioner.KindService, versioner.KindRoute, versioner.KindException:
		r.addOwnerApprovals(e)
	default:
		r.add(e.Key, RuleShared, "", "a shared default is changed with a second partner's consent")
	}
	if e.After != nil && e.After.Route != nil {
		r.addForeignService(e)
		r.addCapturedRoutes(e)
	}
}

// addPartnerEdit adds the approvals that an edit of a partner entry needs.
func (r *requirements) addPartnerEdit(e planner.Edit) {
	switch e.Action {
	case planner.ActionCreate:
		r.add(e.Key, RuleShared, "", "a partner is added with a second partner's consent")
		return
	case planner.ActionDelete:
		r.add(e.Key, RuleOwn, e.Key.Name, "partner %s would be removed", e.Key.Name)
		r.add(e.Key, RuleShared, "", "a partner is removed with a second partner's consent")
		return
	}
	before, after := e.Before.Partner, e.After.Partner
	if before.TokenSHA256 != after.TokenSHA256 {
		r.add(e.Key, RuleOwn, e.Key.Name, "the token of partner %s would change", e.Key.Name)
	}
	switch {
	case after.SharePercent < before.SharePercent:
		r.add(e.Key, RuleShare, e.Key.Name, "the share of partner %s would fall from %d to %d percent", e.Key.Name, before.SharePercent, after.SharePercent)
	case after.SharePercent > before.SharePercent:
		r.add(e.Key, RuleShared, "", "a share is raised with a second partner's consent")
	}
}

// addOwnerApprovals adds the approvals of the partners to whom the entry belongs
// before or after the edit, and of a second partner if it belongs to none then.
func (r *requirements) addOwnerApprovals(e planner.Edit) {
	var owners []string
	isShared := false
	for _, side := range []struct {
		doc   *versioner.Document
		entry *versioner.Entry
	}{{r.from, e.Before}, {r.to, e.After}} {
		if side.entry == nil {
			continue
		}
		sideOwners := ownersOf(side.doc, side.entry)
		isShared = isShared || len(sideOwners) == 0
		owners = append(owners, sideOwners...)
	}
	if isShared {
		r.add(e.Key, RuleShared, "", "an exception for every partner is changed with a second partner's consent")
	}
	slices.Sort(owners)
	for _, owner := range slices.Compact(owners) {
		r.add(e.Key, RuleOwn, owner, "the entry touches partner %s", owner)
	}
}

// ownersOf returns the partners to whom a service, route or exception belongs; none
// for an exception that affects all partners.
func ownersOf(doc *versioner.Document, e *versioner.Entry) []string {
	switch {
	case e.Service != nil:
		return []string{e.Service.Partner}
	case e.Route != nil:
		return []string{e.Route.Partner}
	}
	return planner.ExceptionOwners(doc, e.Exception)
}

// addForeignService adds the approval of each partner to whose service an edited route
// newly leads, or leads a greater share of its calls, if that is not the route's own
// partner.
func (r *requirements) addForeignService(e planner.Edit) {
	route := e.After.Route
	for _, name := range route.Services() {
		service, ok := r.to.Find(versioner.Key{Kind: versioner.KindService, Name: name})
		if !ok || service.Service.Partner == route.Partner {
			continue
		}
		if e.Before != nil && e.Before.Route.Partner == route.Partner && shareOf(e.Before.Route, name) >= shareOf(route, name) {
			continue
		}
		r.add(e.Key, RuleService, service.Service.Partner, "calls would load service %s of partner %s", name, service.Service.Partner)
	}
}

// shareOf returns the share of the route's calls that a service gets, 0 to 1.
func shareOf(route *versioner.Route, service string) float64 {
	if len(route.Split) == 0 {
		if route.Service == service {
			return 1
		}
		return 0
	}
	weight, total := 0, 0
	for _, p := range route.Split {
		total += p.Weight
		if p.Service == service {
			weight += p.Weight
		}
	}
	if total == 0 {
		return 0
	}
	return float64(weight) / float64(total)
}

// addCapturedRoutes adds the approval of each partner from whose routes the edited
// route would take requests. It adds none if the edit leaves the requests that the
// route matches as they were, or for a route that the change deletes.
func (r *requirements) addCapturedRoutes(e planner.Edit) {
	route := e.After.Route
	for _, other := range r.from.Entries {
		if other.Route == nil || other.Route.Partner == route.Partner || !capturesFrom(route, other.Route) {
			continue
		}
		if e.Before != nil && samePattern(e.Before.Route, route) {
			continue
		}
		if _, exists := r.to.Find(other.Key); exists {
			r.add(e.Key, RuleCapture, other.Route.Partner, "requests of %s of partner %s would be taken", other.Key, other.Route.Partner)
		}
	}
}

// capturesFrom reports whether route a takes precedence over route b for some request
// that both match. A route with hosts takes precedence over one without, and a longer
// path prefix over a shorter one.
func capturesFrom(a, b *versioner.Route) bool {
	if !validator.Intersect(a.Hosts, b.Hosts) || !validator.Intersect(a.Methods, b.Methods) {
		return false
	}
	pathA, pathB := strings.TrimSuffix(a.PathPrefix, "/"), strings.TrimSuffix(b.PathPrefix, "/")
	if len(a.Hosts) > 0 && len(b.Hosts) == 0 {
		return isUnder(pathA, pathB) || isUnder(pathB, pathA)
	}
	if len(a.Hosts) == 0 && len(b.Hosts) > 0 {
		return false
	}
	return isUnder(pathA, pathB)
}

// isUnder reports whether path equals prefix or is below it.
func isUnder(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// samePattern reports whether two routes have the same path prefix, hosts and methods, in
// any order.
func samePattern(a, b *versioner.Route) bool {
	return a.PathPrefix == b.PathPrefix && equalLists(a.Hosts, b.Hosts) && equalLists(a.Methods, b.Methods)
}

func equalLists(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
