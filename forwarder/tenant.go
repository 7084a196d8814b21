package forwarder

import (
	"net/http"
	"slices"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tallier"
)

// authenticate returns the tenant that holds the request's API key, or nil if there is none.
// It returns false if the route needs a key and no tenant holds the one that was sent.
func (f *Forwarder) authenticate(h http.Header, s *applier.Snapshot, route *applier.Route) (*applier.Tenant, bool) {
	if !s.HasTenants() {
		return nil, true
	}
	var tenant *applier.Tenant
	if keys := h[f.Headers.WithDefaults().APIKey]; len(keys) > 0 {
		tenant = s.Tenant(keys[0])
	}
	if tenant == nil && !route.Config.Public {
		f.Counters.UnknownKeys.Add(1)
		return nil, false
	}
	return tenant, true
}

// tally counts the answer to a call of the tenant; "" means that the call has none.
func (f *Forwarder) tally(tenant string, answer *messenger.Answer) {
	if tenant == "" {
		return
	}
	outcome := tallier.Unknown
	switch {
	case answer.Outcome == messenger.OutcomeAnswered:
		outcome = tallier.Answered
	case answer.Outcome == messenger.OutcomeNotRun && statusOf(answer) == http.StatusTooManyRequests:
		outcome = tallier.OverQuota
	case answer.Outcome == messenger.OutcomeNotRun:
		outcome = tallier.Refused
	}
	f.Tenants.Add(tenant, outcome)
}

// forwardedHeaders returns the header fields that are sent on to the target. The
// calling service and, where the configuration has tenants, the tenant are set by this
// daemon; values from the caller are dropped, as is its API key.
func (f *Forwarder) forwardedHeaders(h http.Header, s *applier.Snapshot, tenant *applier.Tenant) []messenger.Header {
	names := f.Headers.WithDefaults()
	hasTenants := s.HasTenants()
	fields := slices.DeleteFunc(messenger.FromHTTP(h), func(field messenger.Header) bool {
		return field.Name == names.CallingService || field.Name == names.Target ||
			hasTenants && (field.Name == names.APIKey || field.Name == names.Tenant)
	})
	if tenant != nil {
		fields = append(fields, messenger.Header{Name: names.Tenant, Value: tenant.Name})
	}
	if f.Service == nil {
		return fields
	}
	if service := f.Service(); service != "" {
		fields = append(fields, messenger.Header{Name: names.CallingService, Value: service})
	}
	return fields
}
