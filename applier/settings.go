package applier

import (
	"cmp"

	"bambooweir.example/bambooweir/versioner"
)

// Value returns the value of a setting for one service of one partner in the
// snapshot's failure domain: the value of the exception with the narrowest
// matching scope, or else the fleet-wide value. Of two equally narrow exceptions,
// the one whose name sorts first applies. The value of an unknown setting is 0.
func (s *Snapshot) Value(setting, service, partner string) int {
	return s.settings.value(setting, service, partner)
}

// settings holds the fleet-wide values of a document, and the exceptions that can
// apply in one failure domain.
type settings struct {
	fleetWide map[string]int
	domain    string
	// exceptions lists the exceptions of each setting, sorted by entry name.
	exceptions map[string][]*versioner.Exception
}

// newSettings collects the settings of a document for one failure domain.
func newSettings(doc *versioner.Document, domain string) settings {
	s := settings{domain: domain, fleetWide: make(map[string]int), exceptions: make(map[string][]*versioner.Exception)}
	for _, known := range versioner.Settings() {
		s.fleetWide[known.Name] = known.FleetWide(doc)
	}
	for _, e := range doc.Entries {
		x := e.Exception
		if x != nil && cmp.Or(x.FailureDomain, domain) == domain {
			s.exceptions[x.Setting] = append(s.exceptions[x.Setting], x)
		}
	}
	return s
}

// value implements Snapshot.Value.
func (s settings) value(setting, service, partner string) int {
	value, ok := s.fleetWide[setting]
	if !ok {
		return 0
	}
	place := versioner.Scope{Partner: partner, Service: service, FailureDomain: s.domain}
	if x := versioner.Narrowest(s.exceptions[setting], place); x != nil {
		return x.Value
	}
	return value
}
