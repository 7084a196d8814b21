package messenger

import "cmp"

// HeaderNames names the header fields of calls that are bambooweir's own business,
// as a deployment spells them. A field that is empty has bambooweir's own name;
// see Names.
type HeaderNames struct {
	// RequestID names one request of a caller in logs and answers. Targets repeat
	// it on answers.
	RequestID string
	// Deadline is the time left until a call's deadline, in milliseconds.
	Deadline string
	// CallingService is the service beside whose target the call entered.
	CallingService string
	// Target names the run of a target that a call is meant for.
	Target string
	// NotRun marks an answer of a target that has not run the call and never will.
	NotRun string
}

// WithDefaults returns the dialect with every name set.
func (d HeaderNames) WithDefaults() HeaderNames {
	return HeaderNames{
		RequestID:      cmp.Or(d.RequestID, "Bambooweir-Request-Id"),
		Deadline:       cmp.Or(d.Deadline, HeaderDeadline),
		CallingService: cmp.Or(d.CallingService, "Bambooweir-Calling-Service"),
		Target:         cmp.Or(d.Target, "Bambooweir-Target"),
		NotRun:         cmp.Or(d.NotRun, "Bambooweir-Not-Run"),
	}
}
