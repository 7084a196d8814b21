package applier

import (
	"cmp"

	"bambooweir.example/bambooweir/versioner"
)

// Value returns what a setting is for one service of one partner on this
// daemon: the value of the exception with the narrowest matching scope, else
// the fleet-wide value. Of two equally narrow exceptions the one that sorts
// first by name holds. An unknown setting is 0.
//
// It searches the document; callers on the call path keep its results per
// snapshot.
func (s *Snapshot) Value(setting, service, partner string) int {
	known, ok := versioner.FindSetting(setting)
	if !ok {
		return 0
	}
	value, narrowest := known.FleetWide(s.Document), 0
	for _, e := range s.Document.Entries {
		x := e.Exception
		if x == nil || x.Setting != setting || !s.inScope(x, service, partner) {
			continue
		}
		if width := scopeFields(x); width > narrowest {
			value, narrowest = x.Value, width
		}
	}
	return value
}

func (s *Snapshot) inScope(x *versioner.Exception, service, partner string) bool {
	return cmp.Or(x.Service, service) == service &&
		cmp.Or(x.Partner, partner) == partner &&
		cmp.Or(x.FailureDomain, s.Domain) == s.Domain
}

// scopeFields counts the fields that narrow an exception.
func scopeFields(x *versioner.Exception) int {
	n := 0
	for _, field := range []string{x.Partner, x.Service, x.FailureDomain} {
		if field != "" {
			n++
		}
	}
	return n
}
