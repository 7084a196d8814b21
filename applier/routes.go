package applier

import (
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// Route is one route in the form that the call path reads.
type Route struct {
	Name   string
	Config *versioner.Route
	// Policy is that of the route's service, or of the first part of its split.
	// It is never nil.
	Policy *Policy
	// split is nil for a route to one service.
	split *splitter
}

// NextPolicy returns the policy of the service that takes the next call.
func (r *Route) NextPolicy() *Policy {
	if r.split == nil {
		return r.Policy
	}
	return r.split.next()
}

// routeIndex finds routes by host, then by path segment.
type routeIndex struct {
	byHost  map[string]*routeNode
	anyHost routeNode
}

// routeNode holds the routes of one path prefix, sorted by name, and the nodes
// of the prefixes that are one segment longer.
type routeNode struct {
	routes   []*Route
	children map[string]*routeNode
}

func newRouteIndex(doc *versioner.Document, policies map[policyKey]*Policy) *routeIndex {
	x := &routeIndex{byHost: make(map[string]*routeNode)}
	for _, e := range doc.Entries {
		if e.Route == nil {
			continue
		}
		r := &Route{Name: e.Key.Name, Config: e.Route}
		parts := make([]*Policy, 0, 1)
		for _, service := range e.Route.Services() {
			parts = append(parts, policies[policyKey{service, e.Route.Class, e.Route.Partner}])
		}
		r.Policy = parts[0]
		if len(e.Route.Split) > 0 {
			r.split = newSplitter(e.Route.Split, parts)
		}
		x.add(r)
	}
	return x
}

func (x *routeIndex) add(r *Route) {
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

// cutSegment takes the first segment off a path that starts with a slash.
func cutSegment(path string) (segment, rest string) {
	path = path[1:]
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:]
	}
	return path, ""
}

// find returns the route with the longest prefix of path that takes the method.
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

// byMethod returns the first route that takes the method. Routes whose prefix
// ends with a slash take only paths that go on below it.
func (n *routeNode) byMethod(method string, goesOn bool) *Route {
	for _, r := range n.routes {
		if !goesOn && strings.HasSuffix(r.Config.PathPrefix, "/") {
			continue
		}
		if len(r.Config.Methods) == 0 || slices.Contains(r.Config.Methods, method) {
			return r
		}
	}
	return nil
}

// Route returns the route of a request, or nil. Routes for the named host come
// before routes for every host, then the longest path prefix that takes the
// method wins, then the name that sorts first. The host's case and port do not
// matter.
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

// HasRoute says whether the configuration names the route.
func (s *Snapshot) HasRoute(name string) bool {
	_, ok := s.Document.Find(versioner.Key{Kind: versioner.KindRoute, Name: name})
	return ok
}

// Match returns the route of a request and its name, or false.
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
