package messenger

import "cmp"

// HeaderNames holds the names of the header fields by which daemons, callers and
// targets exchange metadata of calls. A deployment can set other names. An empty
// field means bambooweir's own name, which WithDefaults fills in.
type HeaderNames struct {
	// RequestID is the caller's id of a request, used in logs and answers.
	// Targets repeat it on their answers.
	RequestID string
	// Deadline is the time left until a call's deadline, in milliseconds.
	Deadline string
	// CallingService is the service of the entry daemon's target.
	CallingService string
	// Target identifies the run of the target for which a call is intended.
	Target string
	// NotRun marks a target's answer to a call that it did not run and never
	// will.
	NotRun string
	// RateLimit is the number of calls per second, a decimal number, that a target
	// takes from all daemons together for as long as its answers carry the field.
	RateLimit string
	// Leaving is "1" on every answer of a target that is shutting down.
	Leaving string
	// APIKey is the key by which a caller identifies its tenant. It is read by the entry
	// daemon alone and sent no further.
	APIKey string
	// Tenant tells the target on which tenant's behalf a call is made.
	Tenant string
}

// WithDefaults returns n with bambooweir's own names in its empty fields.
func (n HeaderNames) WithDefaults() HeaderNames {
	return HeaderNames{
		RequestID:      cmp.Or(n.RequestID, "Bambooweir-Request-Id"),
		Deadline:       cmp.Or(n.Deadline, HeaderDeadline),
		CallingService: cmp.Or(n.CallingService, "Bambooweir-Calling-Service"),
		Target:         cmp.Or(n.Target, "Bambooweir-Target"),
		NotRun:         cmp.Or(n.NotRun, "Bambooweir-Not-Run"),
		RateLimit:      cmp.Or(n.RateLimit, "Bambooweir-Rate-Limit"),
		Leaving:        cmp.Or(n.Leaving, "Bambooweir-Leaving"),
		APIKey:         cmp.Or(n.APIKey, "Bambooweir-Api-Key"),
		Tenant:         cmp.Or(n.Tenant, "Bambooweir-Tenant"),
	}
}
