package versioner

import "cmp"

// Scope identifies the calls for which a setting is resolved: those of one
// service of one partner in one failure domain. In the scope of an exception, an
// empty field matches everything.
type Scope struct {
	Partner       string `json:"partner,omitempty"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure-domain,omitempty"`
}

// Scope returns the scope of the exception.
func (x *Exception) Scope() Scope {
	return Scope{Partner: x.Partner, Service: x.Service, FailureDomain: x.FailureDomain}
}

// Covers reports whether the exception applies to the scope.
func (x *Exception) Covers(scope Scope) bool {
	return cmp.Or(x.Partner, scope.Partner) == scope.Partner &&
		cmp.Or(x.Service, scope.Service) == scope.Service &&
		cmp.Or(x.FailureDomain, scope.FailureDomain) == scope.FailureDomain
}

// Specificity returns the number of fields that are set. The higher it is, the
// narrower the scope.
func (s Scope) Specificity() int {
	n := 0
	for _, field := range []string{s.Partner, s.Service, s.FailureDomain} {
		if field != "" {
			n++
		}
	}
	return n
}

// Narrowest returns the narrowest exception that covers the scope, or nil. Of
// several equally narrow exceptions it returns the first; in a document that is
// the one whose name sorts first.
func Narrowest(exceptions []*Exception, scope Scope) *Exception {
	var narrowest *Exception
	specificity := 0
	for _, x := range exceptions {
		if n := x.Scope().Specificity(); n > specificity && x.Covers(scope) {
			narrowest, specificity = x, n
		}
	}
	return narrowest
}

// Resolve returns the value of the setting in a scope: that of the narrowest
// exception that covers the scope, or else the fleet-wide value.
func (s Setting) Resolve(doc *Document, scope Scope) int {
	var exceptions []*Exception
	for _, e := range doc.Entries {
		if e.Exception != nil && e.Exception.Setting == s.Name {
			exceptions = append(exceptions, e.Exception)
		}
	}
	if x := Narrowest(exceptions, scope); x != nil {
		return x.Value
	}
	return s.FleetWide(doc)
}
