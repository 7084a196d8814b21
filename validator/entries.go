package validator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"bambooweir.example/bambooweir/versioner"
)

// Limits on the size of a document and on the values in it.
const (
	maxEntries = 10_000 // tenants aside
	// maxTenants and maxEntries together stay below the 131,072 elements that the decoder of
	// documents takes in one list.
	maxTenants     = 120_000
	maxTenantKeys  = 64
	maxRatePerS    = 1e9
	maxNameBytes   = 63
	maxHosts       = 64
	maxHostBytes   = 253
	maxPathBytes   = 256
	maxReasonBytes = 1000
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxRouteMS     = 60 * 60 * 1000 // one hour, for timeouts and objectives
	maxPriority    = 1000
	maxTargets     = 1000
	maxSplitParts  = 64
	maxWeight      = 1_000_000
)

// classes holds the names of all call classes. A problem with the sum of their
// reservations is reported for the first one.
var classes = []string{
	versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan, versioner.ClassInternalRead,
}

// methods holds the HTTP methods that a route may name.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

var (
	kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	// hostSyntax matches a lower-case host name, which may contain underscores, with an
	// optional port.
	hostSyntax = regexp.MustCompile(`^[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?(\.[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?)*(:[0-9]{1,5})?$`)
	// pathSyntax matches a slash followed by characters that a URL path may contain.
	pathSyntax = regexp.MustCompile(`^/[A-Za-z0-9\-._~!$&'()*+,;=:@%/]*$`)
)

// checkName checks that a name is in kebab case and not too long.
func (c *checker) checkName(k versioner.Key, field, name string) {
	if len(name) > maxNameBytes || !kebabCase.MatchString(name) {
		c.addProblem(k, field, "must be kebab-case of at most %d characters, got %.80q", maxNameBytes, name)
	}
}

// checkOneOf checks that a value is one of those allowed.
func (c *checker) checkOneOf(k versioner.Key, field, got string, want []string) {
	if !slices.Contains(want, got) {
		c.addProblem(k, field, "must be one of %s, got %.80q", strings.Join(want, ", "), got)
	}
}

// checkRange checks that a number is from 0 to largest.
func (c *checker) checkRange(k versioner.Key, field string, got, largest int) {
	if got < 0 || got > largest {
		c.addProblem(k, field, "must be from 0 to %d, got %d", largest, got)
	}
}

func (c *checker) checkPartner(k versioner.Key, p *versioner.Partner) {
	c.checkRange(k, "share-percent", p.SharePercent, 100)
	if p.TokenSHA256 == "" {
		return
	}
	if !isSHA256(p.TokenSHA256) {
		c.addProblem(k, "token-sha256", "must be 64 lower-case hexadecimal digits")
	}
}

func (c *checker) checkService(k versioner.Key, s *versioner.Service) {
	c.checkReference(k, "partner", versioner.KindPartner, s.Partner)
	c.checkRange(k, "slots", s.Slots, maxSlots)
	c.checkRange(k, "connections", s.Connections, maxConnections)
}

func (c *checker) checkRoute(k versioner.Key, r *versioner.Route) {
	c.checkReference(k, "partner", versioner.KindPartner, r.Partner)
	c.checkDestination(k, r)
	c.checkOneOf(k, "class", r.Class, classes)
	c.checkRange(k, "timeout-ms", r.TimeoutMS, maxRouteMS)
	c.checkRange(k, "objective-ms", r.ObjectiveMS, maxRouteMS)
	c.checkRange(k, "priority", r.Priority, maxPriority)
	c.checkRange(k, "max-targets", r.MaxTargets, maxTargets)
	c.checkPathPrefix(k, r.PathPrefix)
	if len(r.Hosts) > maxHosts {
		c.addProblem(k, "hosts", "must be at most %d, got %d", maxHosts, len(r.Hosts))
	}
	for i, host := range r.Hosts {
		if len(host) > maxHostBytes || !hostSyntax.MatchString(host) {
			c.addProblem(k, "hosts", "must be lower-case host names, got %.80q", host)
		}
		if slices.Contains(r.Hosts[:i], host) {
			c.addProblem(k, "hosts", "names %q twice", host)
		}
	}
	for i, method := range r.Methods {
		c.checkOneOf(k, "methods", method, methods)
		if slices.Contains(r.Methods[:i], method) {
			c.addProblem(k, "methods", "names %q twice", method)
		}
	}
}

// checkTenant checks that a tenant's keys are digests and that its quota is a rate.
func (c *checker) checkTenant(k versioner.Key, t *versioner.Tenant) {
	if len(t.KeySHA256) > maxTenantKeys {
		c.addProblem(k, "key-sha256", "must be at most %d, got %d", maxTenantKeys, len(t.KeySHA256))
	}
	for i, digest := range t.KeySHA256 {
		if !isSHA256(digest) {
			c.addProblem(k, "key-sha256", "must be 64 lower-case hexadecimal digits each")
		}
		if slices.Contains(t.KeySHA256[:i], digest) {
			c.addProblem(k, "key-sha256", "names a key twice")
		}
	}
	if t.Priority != nil {
		c.checkRange(k, "priority", *t.Priority, maxPriority)
	}
	c.checkRate(k, "rate-per-s", t.RatePerS)
	c.checkRate(k, "burst", t.Burst)
}

// checkRate checks that a number is from 0 to maxRatePerS; it may be a fraction.
func (c *checker) checkRate(k versioner.Key, field string, got float64) {
	if !(got >= 0 && got <= maxRatePerS) {
		c.addProblem(k, field, "must be from 0 to %d, got %g", int(maxRatePerS), got)
	}
}

// isSHA256 reports whether the text is a SHA-256 in lower-case hexadecimal.
func isSHA256(text string) bool {
	if len(text) != hex.EncodedLen(sha256.Size) {
		return false
	}
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// checkDestination checks that a route has either a service or a valid split over
// several services.
func (c *checker) checkDestination(k versioner.Key, r *versioner.Route) {
	if len(r.Split) == 0 {
		c.checkReference(k, "service", versioner.KindService, r.Service)
		return
	}
	if r.Service != "" {
		c.addProblem(k, "service", "must not be set beside split")
	}
	if len(r.Split) > maxSplitParts {
		c.addProblem(k, "split", "must have at most %d parts, got %d", maxSplitParts, len(r.Split))
	}
	sum := 0
	for i, p := range r.Split {
		c.checkReference(k, "split", versioner.KindService, p.Service)
		c.checkRange(k, "split", p.Weight, maxWeight)
		if slices.ContainsFunc(r.Split[:i], func(o versioner.Part) bool { return o.Service == p.Service }) {
			c.addProblem(k, "split", "names the service %q twice", p.Service)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		c.addProblem(k, "split", "must have a weight above 0")
	}
}

func (c *checker) checkPathPrefix(k versioner.Key, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.addProblem(k, "path-prefix", "must start with /, got %.80q", prefix)
	case len(prefix) > maxPathBytes:
		c.addProblem(k, "path-prefix", "must be at most %d bytes, got %d", maxPathBytes, len(prefix))
	case !pathSyntax.MatchString(prefix):
		c.addProblem(k, "path-prefix", "must hold only characters of a URL path, got %.80q", prefix)
	case strings.Contains(prefix, "//"), slices.Contains(strings.Split(prefix, "/"), ".."), slices.Contains(strings.Split(prefix, "/"), "."):
		c.addProblem(k, "path-prefix", "must not hold empty or dot segments, got %.80q", prefix)
	}
}

// checkException checks an exception by itself; checkExceptions checks it against
// others.
func (c *checker) checkException(k versioner.Key, x *versioner.Exception) {
	if strings.TrimSpace(x.Reason) == "" {
		c.addProblem(k, "reason", "is required")
	}
	if len(x.Reason) > maxReasonBytes {
		c.addProblem(k, "reason", "must be at most %d bytes, got %d", maxReasonBytes, len(x.Reason))
	}
	if x.Scope().Specificity() == 0 {
		c.addProblem(k, "partner, service, failure-domain", "at least one is required")
	}
	if x.Partner != "" {
		c.checkReference(k, "partner", versioner.KindPartner, x.Partner)
	}
	if x.Service != "" {
		c.checkReference(k, "service", versioner.KindService, x.Service)
	}
	if x.FailureDomain != "" {
		c.checkName(k, "failure-domain", x.FailureDomain)
	}
	s, ok := versioner.FindSetting(x.Setting)
	if !ok {
		c.addProblem(k, "setting", "must name a setting of the fleet or a class, got %.80q", x.Setting)
		return
	}
	if message, ok := s.Check(x.Value); !ok {
		c.addProblem(k, "value", "%s", message)
	}
}
