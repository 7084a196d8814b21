package authorizer

import (
	"fmt"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// Requirements returns every approval that leads from one document to the next.
func Requirements(from, to *versioner.Document) []Refusal {
	r := requirements{from: from, to: to}
	for _, e := range planner.Compare(from, to) {
		r.edit(e)
	}
	return r.list
}

type requirements struct {
	from, to *versioner.Document
	list     []Refusal
}

func (r *requirements) need(k versioner.Key, rule Rule, partner, format string, args ...any) {
	r.list = append(r.list, Refusal{Key: k, Rule: rule, Partner: partner, Reason: fmt.Sprintf(format, args...)})
}

func (r *requirements) edit(e planner.Edit) {
	switch e.Key.Kind {
	case versioner.KindPartner:
		r.partner(e)
	case versioner.KindService, versioner.KindRoute, versioner.KindException:
		r.owners(e)
	default:
		r.need(e.Key, RuleShared, "", "a shared default is changed with a second partner's consent")
	}
	if e.After != nil && e.After.Route != nil {
		r.foreignService(e)
		r.captures(e)
	}
}

func (r *requirements) partner(e planner.Edit) {
	switch e.Action {
	case planner.ActionCreate:
		r.need(e.Key, RuleShared, "", "a partner is added with a second partner's consent")
		return
	case planner.ActionDelete:
		r.need(e.Key, RuleOwn, e.Key.Name, "partner %s would be removed", e.Key.Name)
		r.need(e.Key, RuleShared, "", "a partner is removed with a second partner's consent")
		return
	}
	before, after := e.Before.Partner, e.After.Partner
	if before.TokenSHA256 != after.TokenSHA256 {
		r.need(e.Key, RuleOwn, e.Key.Name, "the token of partner %s would change", e.Key.Name)
	}
	switch {
	case after.SharePercent < before.SharePercent:
		r.need(e.Key, RuleShare, e.Key.Name, "the share of partner %s would fall from %d to %d percent", e.Key.Name, before.SharePercent, after.SharePercent)
	case after.SharePercent > before.SharePercent:
		r.need(e.Key, RuleShared, "", "a share is raised with a second partner's consent")
	}
}

// owners needs the approval of those to whom the entry belongs before and after.
func (r *requirements) owners(e planner.Edit) {
	var owners []string
	isShared := false
	for _, side := range []struct {
		doc   *versioner.Document
		entry *versioner.Entry
	}{{r.from, e.Before}, {r.to, e.After}} {
		if side.entry == nil {
			continue
		}
		of := ownersOf(side.doc, side.entry)
		isShared = isShared || len(of) == 0
		owners = append(owners, of...)
	}
	if isShared {
		r.need(e.Key, RuleShared, "", "an exception for every partner is changed with a second partner's consent")
	}
	slices.Sort(owners)
	for _, owner := range slices.Compact(owners) {
		r.need(e.Key, RuleOwn, owner, "the entry touches partner %s", owner)
	}
}

// ownersOf returns the partners to whom an entry belongs; none for a shared one.
func ownersOf(doc *versioner.Document, e *versioner.Entry) []string {
	switch {
	case e.Service != nil:
		return []string{e.Service.Partner}
	case e.Route != nil:
		return []string{e.Route.Partner}
	}
	return planner.ExceptionOwners(doc, e.Exception)
}

func (r *requirements) foreignService(e planner.Edit) {
	route := e.After.Route
	service, ok := r.to.Find(versioner.Key{Kind: versioner.KindService, Name: route.Service})
	if !ok || service.Service.Partner == route.Partner {
		return
	}
	if e.Before != nil && e.Before.Route.Service == route.Service && e.Before.Route.Partner == route.Partner {
		return
	}
	r.need(e.Key, RuleService, service.Service.Partner, "calls would load service %s of partner %s", route.Service, service.Service.Partner)
}

// captures needs the approval of each partner from whose routes the edited
// route would take requests that it did not take before.
func (r *requirements) captures(e planner.Edit) {
	route := e.After.Route
	for _, other := range r.from.Entries {
		if other.Route == nil || other.Route.Partner == route.Partner || !takes(route, other.Route) {
			continue
		}
		if e.Before != nil && samePattern(e.Before.Route, route) {
			continue
		}
		if _, stays := r.to.Find(other.Key); stays {
			r.need(e.Key, RuleCapture, other.Route.Partner, "requests of %s of partner %s would be taken", other.Key, other.Route.Partner)
		}
	}
}

// takes says whether a matches before b some request that b matches.
func takes(a, b *versioner.Route) bool {
	if !validator.Intersect(a.Hosts, b.Hosts) || !validator.Intersect(a.Methods, b.Methods) {
		return false
	}
	pathA, pathB := strings.TrimSuffix(a.PathPrefix, "/"), strings.TrimSuffix(b.PathPrefix, "/")
	if len(a.Hosts) > 0 && len(b.Hosts) == 0 {
		return under(pathA, pathB) || under(pathB, pathA)
	}
	if len(a.Hosts) == 0 && len(b.Hosts) > 0 {
		return false
	}
	return under(pathA, pathB)
}

// under says whether the path prefix lies within the other.
func under(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func samePattern(a, b *versioner.Route) bool {
	return a.PathPrefix == b.PathPrefix && equalSets(a.Hosts, b.Hosts) && equalSets(a.Methods, b.Methods)
}

func equalSets(a, b []string) bool {
	return strings.Join(a, "\n") == strings.Join(b, "\n")
}
