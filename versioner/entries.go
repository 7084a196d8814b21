package versioner

// Call classes. Their entries set the limits; the names are fixed.
const (
	ClassLookup       = "lookup"
	ClassPosting      = "posting"
	ClassScan         = "scan"
	ClassInternalRead = "internal-read"
)

// FleetName is the name of the only entry of KindFleet.
const FleetName = "defaults"

// Fleet holds the fleet-wide defaults that are not bound to a call class.
// A nil field means the built-in default, see Settings.
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

// Partner is one owner of services who edits the shared configuration.
type Partner struct {
	// SharePercent is the partner's guaranteed share of shared capacity, 0-100.
	SharePercent int `json:"share-percent,omitempty" toml:"share-percent,omitempty"`
	// TokenSHA256 is the hexadecimal SHA-256 of the operators' token.
	TokenSHA256 string `json:"token-sha256,omitempty" toml:"token-sha256,omitempty"`
}

// Class sets how calls of one class are treated. A nil field means the
// built-in default of the class, see Settings.
type Class struct {
	// Idempotent says that a call may run more than once. By default lookups and
	// internal reads are, postings and scans are not.
	Idempotent      *bool `json:"idempotent,omitempty" toml:"idempotent"`
	TimeoutMS       *int  `json:"timeout-ms,omitempty" toml:"timeout-ms"`
	ReservedPercent *int  `json:"reserved-percent,omitempty" toml:"reserved-percent"`
	QueueLength     *int  `json:"queue-length,omitempty" toml:"queue-length"`
	QueueMS         *int  `json:"queue-ms,omitempty" toml:"queue-ms"`
	MaxRetries      *int  `json:"max-retries,omitempty" toml:"max-retries"`
	HedgeMS         *int  `json:"hedge-ms,omitempty" toml:"hedge-ms"`
}

// Service is a set of equal targets.
type Service struct {
	Partner string `json:"partner" toml:"partner,omitempty"`
	// Slots is the number of calls that one target runs at a time.
	Slots int `json:"slots,omitempty" toml:"slots,omitempty"`
	// Connections bounds the open connections to one target.
	Connections int `json:"connections,omitempty" toml:"connections,omitempty"`
}

// Route sends matching calls to a service.
type Route struct {
	Partner string `json:"partner" toml:"partner,omitempty"`
	// Hosts lists the host names that match; empty matches every host.
	Hosts []string `json:"hosts,omitempty" toml:"hosts,omitempty"`
	// PathPrefix matches whole path segments. One that ends with a slash matches
	// only what lies below it.
	PathPrefix string `json:"path-prefix" toml:"path-prefix,omitempty"`
	// Methods lists the HTTP methods that match; empty matches every method.
	Methods []string `json:"methods,omitempty" toml:"methods,omitempty"`
	// Service takes the calls, unless Split divides them.
	Service string `json:"service,omitempty" toml:"service,omitempty"`
	// Split divides the calls among services. Exactly one of Service and Split is
	// set.
	Split []Part `json:"split,omitempty" toml:"split,omitempty"`
	Class string `json:"class" toml:"class,omitempty"`
	// TimeoutMS overrides the class's timeout, in milliseconds.
	TimeoutMS int `json:"timeout-ms,omitempty" toml:"timeout-ms,omitempty"`
	// ObjectiveMS is the latency up to which an answer is worth most, in
	// milliseconds; 0 means that none is stated.
	ObjectiveMS int `json:"objective-ms,omitempty" toml:"objective-ms,omitempty"`
	// Priority ranks the calls that wait for one target; 0 goes first.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
	// MaxTargets bounds the targets that one call may be sent to; 0 means no
	// bound but the class's retries.
	MaxTargets int `json:"max-targets,omitempty" toml:"max-targets,omitempty"`
}

// Part is what one service gets of a route's calls.
type Part struct {
	Service string `json:"service" toml:"service"`
	// Weight is the part's share of the sum of all weights of the route.
	Weight int `json:"weight" toml:"weight"`
}

// Services returns every service that may take the route's calls.
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

// Exception departs from one default within a scope.
//
// Invariant: Reason is not empty, and at least one scope field is set.
type Exception struct {
	Partner       string `json:"partner,omitempty" toml:"partner,omitempty"`
	Service       string `json:"service,omitempty" toml:"service,omitempty"`
	FailureDomain string `json:"failure-domain,omitempty" toml:"failure-domain,omitempty"`
	// Setting names the default that is departed from: a field of the fleet
	// defaults ("eject-ms") or of a class ("lookup.timeout-ms").
	Setting string `json:"setting" toml:"setting,omitempty"`
	// Value replaces the default, in the unit that Setting's name states.
	Value  int    `json:"value" toml:"value"`
	Reason string `json:"reason" toml:"reason,omitempty"`
	// Author and At are set when the exception is accepted.
	Author string    `json:"author,omitempty" toml:"-"`
	At     Timestamp `json:"at,omitzero" toml:"-"`
}
