package forwarder

import (
	"net/http"
	"strings"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/versioner"
)

// Query describes a request of which an operator asks where it would go.
type Query struct {
	Host   string `json:"host"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// APIKey is the caller's key. It is neither logged nor returned.
	APIKey string `json:"api-key,omitempty"`
	// Bytes is the size of the request's body.
	Bytes int `json:"bytes,omitempty"`
}

// Explanation says where a request that reaches this daemon now would go, and why.
type Explanation struct {
	// InstanceID is the entry daemon that explains, Version its configuration in force.
	InstanceID string            `json:"instance-id"`
	Version    versioner.Version `json:"version"`
	Route      string            `json:"route,omitempty"`
	Class      string            `json:"class,omitempty"`
	Partner    string            `json:"partner,omitempty"`
	// Tenant holds the key; "" if the configuration has no tenants, or the route is public
	// and no key was sent.
	Tenant string `json:"tenant,omitempty"`
	// RatePerS and Burst are the tenant's quota, 0 for none.
	RatePerS float64 `json:"rate-per-s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
	// Priority is the tenant's, or else the route's.
	Priority    int   `json:"priority"`
	TimeoutMS   int64 `json:"timeout-ms,omitempty"`
	ObjectiveMS int   `json:"objective-ms,omitempty"`
	// Refusal is how this daemon would refuse the request, nil if it would send it on. The
	// target's daemon may still refuse it for lack of capacity.
	Refusal *ExpectedRefusal `json:"refusal,omitempty"`
	// Parts lists the services of the route: one, or those of its split.
	Parts []ExplainedPart `json:"parts,omitempty"`
}

// ExpectedRefusal is the refusal that a request would get.
type ExpectedRefusal struct {
	// Cause is the one of the problem document.
	Cause  string `json:"cause"`
	Status int    `json:"status"`
}

// ExplainedPart is a service of the route with its targets.
type ExplainedPart struct {
	Service string `json:"service"`
	// SharePercent is the share of the route's requests that go to the service.
	SharePercent float64            `json:"share-percent"`
	Targets      []picker.Candidate `json:"targets"`
}

// Explain says where the request would go if it reached this daemon now, without sending it.
// It decides in the order of ServeHTTP. It does not know the body, so that it leaves out
// whether the request is quarantined.
func (f *Forwarder) Explain(q Query) *Explanation {
	x := &Explanation{InstanceID: f.InstanceID}
	s := f.Applier.Current()
	switch {
	case f.stopping.Load():
		return x.refuse(causeDraining)
	case s == nil:
		return x.refuse(causeNoConfiguration)
	}
	x.Version = s.Version()
	path, _, _ := strings.Cut(q.Path, "?")
	route := s.Route(q.Host, path, q.Method)
	if route == nil {
		return x.refuse(causeNoRoute)
	}
	x.describeRoute(route)
	h := make(http.Header)
	h.Set(f.Headers.WithDefaults().APIKey, q.APIKey)
	tenant, ok := f.authenticate(h, s, route)
	if !ok {
		return x.refuse(causeUnknownKey)
	}
	x.describeTenant(tenant)
	need := picker.Need{Objective: time.Duration(x.ObjectiveMS) * time.Millisecond, Bytes: q.Bytes}
	hasTarget := false
	for i, share := range route.Shares() {
		part := ExplainedPart{Service: share.Policy.Service, SharePercent: share.Percent, Targets: f.Picker.Explain(share.Policy, need)}
		for j := range part.Targets {
			hasTarget = hasTarget || part.Targets[j].OddsPercent > 0
		}
		if i == 0 {
			x.TimeoutMS = timeoutOf(share.Policy, route.Config).Milliseconds()
		}
		x.Parts = append(x.Parts, part)
	}
	if !hasTarget {
		return x.refuse(causeNoTarget)
	}
	return x
}

// timeoutOf returns the time limit of a call whose caller states none.
func timeoutOf(policy *applier.Policy, route *versioner.Route) time.Duration {
	timeout, _ := callTimeout("", policy, route)
	return timeout
}

// describeRoute fills in what the route says.
func (x *Explanation) describeRoute(r *applier.Route) {
	x.Route, x.Class, x.Partner = r.Name, r.Config.Class, r.Config.Partner
	x.Priority, x.ObjectiveMS = r.Config.Priority, r.Config.ObjectiveMS
}

// describeTenant fills in the tenant, unless it is nil.
func (x *Explanation) describeTenant(t *applier.Tenant) {
	if t == nil {
		return
	}
	x.Tenant, x.RatePerS, x.Burst = t.Name, t.Config.RatePerS, t.Config.Burst
	if t.Config.Priority != nil {
		x.Priority = *t.Config.Priority
	}
}

// refuse fills in the refusal that requests get for the cause.
func (x *Explanation) refuse(cause string) *Explanation {
	x.Refusal = &ExpectedRefusal{Cause: cause, Status: statusOf(messenger.NotRun(messenger.CallID{}, cause))}
	return x
}
