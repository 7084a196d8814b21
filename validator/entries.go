package validator

import (
	"encoding/hex"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// Bounds of a document.
const (
	maxEntries       = 10_000
	maxNameBytes     = 63
	maxHosts         = 64
	maxHostBytes     = 253
	maxPathBytes     = 256
	maxReasonBytes   = 1000
	maxSlots         = 100_000
	maxConnections   = 1_000_000
	maxRouteMS       = 60 * 60 * 1000
	maxPriority      = 1000
	maxTargets       = 1000
	maxParts         = 64
	maxWeight        = 1_000_000
	tokenDigestBytes = 32
)

var classes = []string{
	versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan, versioner.ClassInternalRead,
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

var (
	kebabCase  = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	hostSyntax = regexp.MustCompile(`^[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?(\.[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?)*(:[0-9]{1,5})?$`)
	pathSyntax = regexp.MustCompile(`^/[A-Za-z0-9\-._~!$&'()*+,;=:@%/]*$`)
)

func (c *checker) name(k versioner.Key, field, name string) {
	if len(name) > maxNameBytes || !kebabCase.MatchString(name) {
		c.add(k, field, "must be kebab-case of at most %d characters, got %.80q", maxNameBytes, name)
	}
}

func (c *checker) oneOf(k versioner.Key, field, got string, want []string) {
	if !slices.Contains(want, got) {
		c.add(k, field, "must be one of %s, got %.80q", strings.Join(want, ", "), got)
	}
}

func (c *checker) within(k versioner.Key, field string, got, largest int) {
	if got < 0 || got > largest {
		c.add(k, field, "must be from 0 to %d, got %d", largest, got)
	}
}

func (c *checker) partner(k versioner.Key, p *versioner.Partner) {
	c.within(k, "share-percent", p.SharePercent, 100)
	if p.TokenSHA256 == "" {
		return
	}
	b, err := hex.DecodeString(p.TokenSHA256)
	if err != nil || len(b) != tokenDigestBytes || strings.ToLower(p.TokenSHA256) != p.TokenSHA256 {
		c.add(k, "token-sha256", "must be 64 lower-case hexadecimal digits")
	}
}

func (c *checker) service(k versioner.Key, s *versioner.Service) {
	c.reference(k, "partner", versioner.KindPartner, s.Partner)
	c.within(k, "slots", s.Slots, maxSlots)
	c.within(k, "connections", s.Connections, maxConnections)
}

func (c *checker) route(k versioner.Key, r *versioner.Route) {
	c.reference(k, "partner", versioner.KindPartner, r.Partner)
	c.destination(k, r)
	c.oneOf(k, "class", r.Class, classes)
	c.within(k, "timeout-ms", r.TimeoutMS, maxRouteMS)
	c.within(k, "objective-ms", r.ObjectiveMS, maxRouteMS)
	c.within(k, "priority", r.Priority, maxPriority)
	c.within(k, "max-targets", r.MaxTargets, maxTargets)
	c.path(k, r.PathPrefix)
	if len(r.Hosts) > maxHosts {
		c.add(k, "hosts", "must be at most %d, got %d", maxHosts, len(r.Hosts))
	}
	for i, host := range r.Hosts {
		if len(host) > maxHostBytes || !hostSyntax.MatchString(host) {
			c.add(k, "hosts", "must be lower-case host names, got %.80q", host)
		}
		if slices.Contains(r.Hosts[:i], host) {
			c.add(k, "hosts", "names %q twice", host)
		}
	}
	for i, method := range r.Methods {
		c.oneOf(k, "methods", method, methods)
		if slices.Contains(r.Methods[:i], method) {
			c.add(k, "methods", "names %q twice", method)
		}
	}
}

// destination checks where the calls of a route go.
func (c *checker) destination(k versioner.Key, r *versioner.Route) {
	if len(r.Split) == 0 {
		c.reference(k, "service", versioner.KindService, r.Service)
		return
	}
	if r.Service != "" {
		c.add(k, "service", "must not be set beside split")
	}
	if len(r.Split) > maxParts {
		c.add(k, "split", "must have at most %d parts, got %d", maxParts, len(r.Split))
	}
	sum := 0
	for i, p := range r.Split {
		c.reference(k, "split", versioner.KindService, p.Service)
		c.within(k, "split", p.Weight, maxWeight)
		if slices.ContainsFunc(r.Split[:i], func(o versioner.Part) bool { return o.Service == p.Service }) {
			c.add(k, "split", "names the service %q twice", p.Service)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		c.add(k, "split", "must have a weight above 0")
	}
}

func (c *checker) path(k versioner.Key, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(k, "path-prefix", "must start with /, got %.80q", prefix)
	case len(prefix) > maxPathBytes:
		c.add(k, "path-prefix", "must be at most %d bytes, got %d", maxPathBytes, len(prefix))
	case !pathSyntax.MatchString(prefix):
		c.add(k, "path-prefix", "must hold only characters of a URL path, got %.80q", prefix)
	case strings.Contains(prefix, "//"), slices.Contains(strings.Split(prefix, "/"), ".."), slices.Contains(strings.Split(prefix, "/"), "."):
		c.add(k, "path-prefix", "must not hold empty or dot segments, got %.80q", prefix)
	}
}

func (c *checker) exception(k versioner.Key, x *versioner.Exception) {
	if strings.TrimSpace(x.Reason) == "" {
		c.add(k, "reason", "is required")
	}
	if len(x.Reason) > maxReasonBytes {
		c.add(k, "reason", "must be at most %d bytes, got %d", maxReasonBytes, len(x.Reason))
	}
	if x.Scope().Specificity() == 0 {
		c.add(k, "partner, service, failure-domain", "at least one is required")
	}
	if x.Partner != "" {
		c.reference(k, "partner", versioner.KindPartner, x.Partner)
	}
	if x.Service != "" {
		c.reference(k, "service", versioner.KindService, x.Service)
	}
	if x.FailureDomain != "" {
		c.name(k, "failure-domain", x.FailureDomain)
	}
	s, ok := versioner.FindSetting(x.Setting)
	if !ok {
		c.add(k, "setting", "must name a setting of the fleet or a class, got %.80q", x.Setting)
		return
	}
	if message, ok := s.Check(x.Value); !ok {
		c.add(k, "value", "%s", message)
	}
}
