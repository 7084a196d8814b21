package forwarder

import (
	"net/http"

	"bambooweir.example/bambooweir/applier"
)

// authenticate returns the tenant that holds the request's API key, or nil if there is none.
// It returns false if the route needs a key and no tenant holds the one that was sent.
func (f *Forwarder) authenticate(h http.Header, s *applier.Snapshot, route *applier.Route) (*applier.Tenant, bool) {
	if !s.HasTenants() {
		return nil, true
	}
	tenant := s.Tenant(h.Get(f.Headers.WithDefaults().APIKey))
	return tenant, tenant != nil || route.Config.Public
}
