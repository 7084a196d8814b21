package versioner

// The call classes. Their names are fixed; entries of KindClass set their policies.
const (
	ClassLookup       = "lookup"
	ClassPosting      = "posting"
	ClassScan         = "scan"
	ClassInternalRead = "internal-read"
)

// FleetName is the name of the only entry of KindFleet.
const FleetName = "defaults"

// Fleet holds the fleet-wide defaults that do not belong to a call class. A nil
// field means the built-in default, see Settings.
type Fleet struct {
	RetryBudgetPercent *int `json:"retry-budget-percent,omitempty" toml:"retry-budget-percent"`
	EjectAfterFailures *int `json:"eject-after-failures,omitempty" toml:"eject-after-failures"`
	EjectMS            *int `json:"eject-ms,omitempty" toml:"eject-ms"`
	MaxEjectedPercent  *int `json:"max-ejected-percent,omitempty" toml:"max-ejected-percent"`
	SlowStartMS        *int `json:"slow-start-ms,omitempty" toml:"slow-start-ms"`
	SpillOverPercent   *int `json:"spill-over-percent,omitempty" toml:"spill-over-percent"`
	DrainMS            *int `json:"drain-ms,omitempty" toml:"drain-ms"`
	KeyRetentionMS     *int `json:"key-retention-ms,omitempty" toml:"key-retention-ms"`
	MaxHeaderBytes     *int `json:"max-header-bytes,omitempty" toml:"max-header-bytes"`
	MaxBodyBytes       *int `json:"max-body-bytes,omitempty" toml:"max-body-bytes"`
	HeaderTimeoutMS    *int `json:"header-timeout-ms,omitempty" toml:"header-timeout-ms"`
	IdleTimeoutMS      *int `json:"idle-timeout-ms,omitempty" toml:"idle-timeout-ms"`
}

// Partner is an owner of services that may edit the shared configuration.
type Partner struct {
	// SharePercent is the partner's guaranteed share of shared capacity, 0-100.
	SharePercent int `json:"share-percent,omitempty" toml:"share-percent,omitempty"`
	// TokenSHA256 is the SHA-256 of the token of the partner's operators, in
	// hexadecimal.
	TokenSHA256 string `json:"token-sha256,omitempty" toml:"token-sha256,omitempty"`
}

// Class holds the policy for calls of one class. A nil field means the built-in
// default of the class, see Settings.
type Class struct {
	// Idempotent reports whether a call may run more than once. By default this
	// is true for lookups and internal reads, and false for postings and scans.
	Idempotent      *bool `json:"idempotent,omitempty" toml:"idempotent"`
	TimeoutMS       *int  `json:"timeout-ms,omitempty" toml:"timeout-ms"`
	ReservedPercent *int  `json:"reserved-percent,omitempty" toml:"reserved-percent"`
	QueueLength     *int  `json:"queue-length,omitempty" toml:"queue-length"`
	QueueMS         *int  `json:"queue-ms,omitempty" toml:"queue-ms"`
	MaxRetries      *int  `json:"max-retries,omitempty" toml:"max-retries"`
	HedgeMS         *int  `json:"hedge-ms,omitempty" toml:"hedge-ms"`
}

// Service is a set of equivalent targets.
type Service struct {
	Partner string `json:"partner" toml:"partner,omitempty"`
	// Slots is the number of calls that one target runs at a time.
	Slots int `json:"slots,omitempty" toml:"slots,omitempty"`
	// Connections bounds the open connections to one target.
	Connections int `json:"connections,omitempty" toml:"connections,omitempty"`
}

// Route assigns matching calls to a service.
type Route struct {
	Partner string `json:"partner" toml:"partner,omitempty"`
	// Hosts lists the host names that match; empty matches every host.
	Hosts []string `json:"hosts,omitempty" toml:"hosts,omitempty"`
	// PathPrefix matches whole path segments. A prefix that ends with a slash
	// matches only paths below it.
	PathPrefix string `json:"path-prefix" toml:"path-prefix,omitempty"`
	// Methods lists the HTTP methods that match; empty matches every method.
	Methods []string `json:"methods,omitempty" toml:"methods,omitempty"`
	// Service receives all calls of the route, unless Split is set.
	Service string `json:"service,omitempty" toml:"service,omitempty"`
	// Split distributes the calls over several services. Exactly one of Service
	// and Split is set.
	Split []Part `json:"split,omitempty" toml:"split,omitempty"`
	Class string `json:"class" toml:"class,omitempty"`
	// TimeoutMS overrides the class's timeout, in milliseconds.
	TimeoutMS int `json:"timeout-ms,omitempty" toml:"timeout-ms,omitempty"`
	// ObjectiveMS is the latency objective, in milliseconds: an answer within it
	// has the highest value. 0 means that there is none.
	ObjectiveMS int `json:"objective-ms,omitempty" toml:"objective-ms,omitempty"`
	// Priority orders the calls that wait for a slot of a target; 0 is served
	// first.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
	// MaxTargets bounds the number of targets to which one call may be sent; 0
	// means that only the class's number of retries bounds it.
	MaxTargets int `json:"max-targets,omitempty" toml:"max-targets,omitempty"`
	// Public reports whether calls need no API key where the configuration has
	// tenants.
	Public bool `json:"public,omitempty" toml:"public,omitempty"`
}

// Tenant is a customer of the partners, on whose behalf callers make calls. Callers
// state one of its API keys.
//
// Invariant: no two tenants of a document have a key in common.
type Tenant struct {
	// KeySHA256 lists the SHA-256 of the tenant's API keys, in hexadecimal.
	KeySHA256 []string `json:"key-sha256,omitempty" toml:"key-sha256,omitempty"`
	// Priority takes precedence over the priority of the route; nil means that the
	// route's applies.
	Priority *int `json:"priority,omitempty" toml:"priority,omitempty"`
	// RatePerS is the quota of the tenant over all daemons, in calls per second; 0
	// means that there is none.
	RatePerS float64 `json:"rate-per-s,omitempty" toml:"rate-per-s,omitempty"`
	// Burst is the number of calls that the tenant may make at once beyond the rate.
	Burst float64 `json:"burst,omitempty" toml:"burst,omitempty"`
}

// Part is the share of a route's calls that one service gets.
type Part struct {
	Service string `json:"service" toml:"service"`
	// Weight divided by the sum of the weights of the route's parts is the
	// service's share.
	Weight int `json:"weight" toml:"weight"`
}

// Services returns all services to which the route may send calls.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	services := make([]string, len(r.Split))
	for i, p := range r.Split {
		services[i] = p.Service
	}
	return services
}

// Exception overrides one default within a scope.
//
// Invariant: Reason is not empty, and at least one scope field is set.
type Exception struct {
	Partner       string `json:"partner,omitempty" toml:"partner,omitempty"`
	Service       string `json:"service,omitempty" toml:"service,omitempty"`
	FailureDomain string `json:"failure-domain,omitempty" toml:"failure-domain,omitempty"`
	// Setting names the default that is overridden: a field of the fleet
	// defaults ("eject-ms") or of a class ("lookup.timeout-ms").
	Setting string `json:"setting" toml:"setting,omitempty"`
	// Value replaces the default. Its unit is the one in the setting's name.
	Value  int    `json:"value" toml:"value"`
	Reason string `json:"reason" toml:"reason,omitempty"`
	// Author and At are set when the exception is accepted.
	Author string    `json:"author,omitempty" toml:"-"`
	At     Timestamp `json:"at,omitzero" toml:"-"`
}
