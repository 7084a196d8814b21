package applier

import (
	"cmp"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

type namedRoute struct {
	name  string
	route *versioner.Route
}

// sortRoutes returns the routes with the most specific first: routes for named
// hosts before others, then longer path prefixes, then by name.
func sortRoutes(doc *versioner.Document) []namedRoute {
	var routes []namedRoute
	for _, e := range doc.Entries {
		if e.Route != nil {
			routes = append(routes, namedRoute{name: e.Key.Name, route: e.Route})
		}
	}
	slices.SortStableFunc(routes, func(a, b namedRoute) int {
		return cmp.Or(
			cmp.Compare(min(1, len(b.route.Hosts)), min(1, len(a.route.Hosts))),
			cmp.Compare(len(b.route.PathPrefix), len(a.route.PathPrefix)),
			cmp.Compare(a.name, b.name),
		)
	})
	return routes
}

// Match returns the route of a request and its name, or false.
func (s *Snapshot) Match(host, path, method string) (string, *versioner.Route, bool) {
	for _, r := range s.routes {
		if matches(r.route, host, path, method) {
			return r.name, r.route, true
		}
	}
	return "", nil, false
}

func matches(r *versioner.Route, host, path, method string) bool {
	if len(r.Hosts) > 0 && !slices.Contains(r.Hosts, host) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.PathPrefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
