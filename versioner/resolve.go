package versioner

import "cmp"

// Scope is where a setting is asked for: one service of one partner in one
// failure domain.
type Scope struct {
	Partner       string `json:"partner,omitempty"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure-domain,omitempty"`
}

// Scope returns the scope of the exception; an empty field matches everything.
func (x *Exception) Scope() Scope {
	return Scope{Partner: x.Partner, Service: x.Service, FailureDomain: x.FailureDomain}
}

// Covers says whether the exception holds at the place.
func (x *Exception) Covers(place Scope) bool {
	return cmp.Or(x.Partner, place.Partner) == place.Partner &&
		cmp.Or(x.Service, place.Service) == place.Service &&
		cmp.Or(x.FailureDomain, place.FailureDomain) == place.FailureDomain
}

// Width counts the fields that narrow the scope.
func (s Scope) Width() int {
	n := 0
	for _, field := range []string{s.Partner, s.Service, s.FailureDomain} {
		if field != "" {
			n++
		}
	}
	return n
}

// Resolve returns what the setting is at a place: the value of the exception
// with the narrowest scope that covers it, else the fleet-wide value. Of two
// equally narrow exceptions the one that sorts first by name holds.
func (s Setting) Resolve(doc *Document, place Scope) int {
	value, narrowest := s.FleetWide(doc), 0
	for _, e := range doc.Entries {
		x := e.Exception
		if x == nil || x.Setting != s.Name || !x.Covers(place) {
			continue
		}
		if width := x.Scope().Width(); width > narrowest {
			value, narrowest = x.Value, width
		}
	}
	return value
}
