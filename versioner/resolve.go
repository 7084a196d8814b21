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

// Specificity counts the fields that narrow the scope.
func (s Scope) Specificity() int {
	n := 0
	for _, field := range []string{s.Partner, s.Service, s.FailureDomain} {
		if field != "" {
			n++
		}
	}
	return n
}

// Narrowest returns the exception with the narrowest scope that covers the
// place, or nil. Of two equally narrow exceptions the first one holds; in a
// document that is the one that sorts first by name.
func Narrowest(exceptions []*Exception, place Scope) *Exception {
	var narrowest *Exception
	width := 0
	for _, x := range exceptions {
		if w := x.Scope().Specificity(); w > width && x.Covers(place) {
			narrowest, width = x, w
		}
	}
	return narrowest
}

// Resolve returns what the setting is at a place: the value of the narrowest
// exception that covers it, else the fleet-wide value.
func (s Setting) Resolve(doc *Document, place Scope) int {
	var exceptions []*Exception
	for _, e := range doc.Entries {
		if e.Exception != nil && e.Exception.Setting == s.Name {
			exceptions = append(exceptions, e.Exception)
		}
	}
	if x := Narrowest(exceptions, place); x != nil {
		return x.Value
	}
	return s.FleetWide(doc)
}
