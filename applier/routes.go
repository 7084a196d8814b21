package applier

import (
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// Route is one route with its resolved policies.
type Route struct {
	Name   string
	Config *versioner.Route
	// Policy is the policy of the route's service, or of the first service of its
	// split. It is never nil.
	Policy *Policy
	// split is nil for a route to one service.
	split *splitter
}

// NextPolicy returns the policy of the service that serves the next call. For a route
// with a split, each call advances the split.
func (r *Route) NextPolicy() *Policy {
	if r.split == nil {
		return r.Policy
	}
	return r.split.next()
}

// RouteShare is a service of a route and its share of the route's calls.
type RouteShare struct {
	Policy  *Policy
	Percent float64
}

// Shares returns the services of the route with their shares. It advances no split.
func (r *Route) Shares() []RouteShare {
	if r.split == nil {
		return []RouteShare{{Policy: r.Policy, Percent: 100}}
	}
	var shares []RouteShare
	for i, p := range r.split.parts {
		shares = append(shares, RouteShare{Policy: p, Percent: 100 * float64(r.split.weights[i]) / float64(max(1, r.split.sum))})
	}
	return shares
}

// routeIndex finds routes by host, and then by path prefix in a tree of path
// segments.
type routeIndex struct {
	// byHost maps a host in lower case to the routes that name it.
	byHost map[string]*routeNode
	// anyHost holds the routes that name no host.
	anyHost routeNode
	// all holds all routes, sorted by name.
	all []*Route
}

// routeNode holds the routes of one path prefix, sorted by name, and the nodes
// of the prefixes that are one segment longer.
type routeNode struct {
	routes   []*Route
	children map[string]*routeNode
}

// newRouteIndex indexes the routes of a document. The policies must contain those
// of every route. Routes of the index before are kept if they and their policies are the same.
func newRouteIndex(doc *versioner.Document, policies map[policyKey]*Policy, before *routeIndex) *routeIndex {
	x := &routeIndex{byHost: make(map[string]*routeNode), all: make([]*Route, 0, len(before.all))}
	old := before.all
	for _, e := range doc.Entries {
		if e.Route == nil {
			continue
		}
		for len(old) > 0 && old[0].Name < e.Key.Name {
			old = old[1:]
		}
		if len(old) > 0 && old[0].Config == e.Route && old[0].hasPolicies(policies) {
			x.add(old[0])
			continue
		}
		x.add(newRoute(e.Key.Name, e.Route, policies))
	}
	return x
}

// newRoute returns a route with its policies.
func newRoute(name string, config *versioner.Route, policies map[policyKey]*Policy) *Route {
	r := &Route{Name: name, Config: config}
	parts := make([]*Policy, 0, 1)
	for _, service := range config.Services() {
		parts = append(parts, policies[policyKey{service, config.Class, config.Partner}])
	}
	r.Policy = parts[0]
	if len(config.Split) > 0 {
		r.split = newSplitter(config.Split, parts)
	}
	return r
}

// hasPolicies reports whether the route's policies are those that the map holds for it.
func (r *Route) hasPolicies(policies map[policyKey]*Policy) bool {
	if r.split == nil {
		return policies[policyKey{r.Config.Service, r.Config.Class, r.Config.Partner}] == r.Policy
	}
	for i, part := range r.Config.Split {
		if policies[policyKey{part.Service, r.Config.Class, r.Config.Partner}] != r.split.parts[i] {
			return false
		}
	}
	return true
}

// add adds a route under each of its hosts.
func (x *routeIndex) add(r *Route) {
	x.all = append(x.all, r)
	prefix := strings.TrimSuffix(r.Config.PathPrefix, "/")
	if len(r.Config.Hosts) == 0 {
		x.anyHost.add(prefix, r)
		return
	}
	for _, host := range r.Config.Hosts {
		host = strings.ToLower(host)
		root := x.byHost[host]
		if root == nil {
			root = new(routeNode)
			x.byHost[host] = root
		}
		root.add(prefix, r)
	}
}

// add adds a route below the node, under a prefix without its final slash.
func (n *routeNode) add(prefix string, r *Route) {
	for prefix != "" {
		var segment string
		segment, prefix = cutSegment(prefix)
		child := n.children[segment]
		if child == nil {
			child = new(routeNode)
			if n.children == nil {
				n.children = make(map[string]*routeNode)
			}
			n.children[segment] = child
		}
		n = child
	}
	if !slices.Contains(n.routes, r) {
		n.routes = append(n.routes, r)
	}
}

// cutSegment returns the first segment of a path that starts with a slash, and the
// rest of the path, which starts with a slash or is empty.
func cutSegment(path string) (segment, rest string) {
	path = path[1:]
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:]
	}
	return path, ""
}

// find returns the route whose prefix is the longest prefix of the path, among the
// routes that match the method; nil if there is none.
func (n *routeNode) find(path, method string) *Route {
	var found *Route
	for n != nil {
		if r := n.byMethod(method, path != ""); r != nil {
			found = r
		}
		if path == "" || n.children == nil {
			break
		}
		var segment string
		segment, path = cutSegment(path)
		n = n.children[segment]
	}
	return found
}

// byMethod returns the first route of the node that matches the method, or nil.
// hasRest reports whether the path is longer than the node's prefix: only then
// does a route match whose prefix ends with a slash.
func (n *routeNode) byMethod(method string, hasRest bool) *Route {
	for _, r := range n.routes {
		if !hasRest && strings.HasSuffix(r.Config.PathPrefix, "/") {
			continue
		}
		if len(r.Config.Methods) == 0 || slices.Contains(r.Config.Methods, method) {
			return r
		}
	}
	return nil
}

// Route returns the route of a request, or nil. A route that names the host takes
// precedence over routes for every host; then the route with the longest path
// prefix among those that match the method; then the route whose name sorts
// first. The case and the port of the host are ignored.
func (s *Snapshot) Route(host, path, method string) *Route {
	if path != "" && path[0] != '/' {
		return nil
	}
	if root := s.routes.byHost[hostName(host)]; root != nil {
		if r := root.find(path, method); r != nil {
			return r
		}
	}
	return s.routes.anyHost.find(path, method)
}

// HasRoute reports whether the configuration defines the route.
func (s *Snapshot) HasRoute(name string) bool {
	_, ok := s.Document.Find(versioner.Key{Kind: versioner.KindRoute, Name: name})
	return ok
}

// Match returns the name and the configuration of a request's route, and reports
// whether there is one.
func (s *Snapshot) Match(host, path, method string) (string, *versioner.Route, bool) {
	r := s.Route(host, path, method)
	if r == nil {
		return "", nil, false
	}
	return r.Name, r.Config, true
}

// hostName returns the host in lower case without its port. It allocates only
// for a host with upper-case letters.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
