package planner

import (
	"cmp"
	"slices"

	"bambooweir.example/bambooweir/versioner"
)

// planBuilder collects the impacts of a change by partner.
type planBuilder struct {
	from, to *versioner.Document
	impacts  map[string]*Impact
}

// impactOn returns the impact on a partner, which it creates if there is none.
func (b *planBuilder) impactOn(partner string) *Impact {
	if b.impacts[partner] == nil {
		b.impacts[partner] = &Impact{Partner: partner}
	}
	return b.impacts[partner]
}

// addEdit adds the impacts of an edit: those of the entry's value before the edit, in
// the old document, and those of its value after the edit, in the new one.
func (b *planBuilder) addEdit(e Edit) {
	b.addEntry(e, b.from, e.Before)
	b.addEntry(e, b.to, e.After)
}

// addEntry adds the impacts of the value that an edit's entry has in doc.
func (b *planBuilder) addEntry(e Edit, doc *versioner.Document, value *versioner.Entry) {
	if value == nil {
		return
	}
	switch {
	case value.Partner != nil:
		b.impactOn(e.Key.Name)
	case value.Service != nil:
		i := b.impactOn(value.Service.Partner)
		i.Services = append(i.Services, e.Key.Name)
		b.addDependentRoutes(doc, e.Key.Name)
	case value.Route != nil:
		b.addRoute(doc, e.Key.Name, value.Route)
	case value.Exception != nil:
		b.addException(doc, *value)
	}
}

// addDependentRoutes adds the routes that lead to a service to the impacts on
// their owners.
func (b *planBuilder) addDependentRoutes(doc *versioner.Document, service string) {
	for _, e := range doc.Entries {
		if e.Route != nil && slices.Contains(e.Route.Services(), service) {
			i := b.impactOn(e.Route.Partner)
			i.Routes = append(i.Routes, e.Key.Name)
		}
	}
}

// addRoute adds a route to the impacts on its owner and on the owners of its
// services.
func (b *planBuilder) addRoute(doc *versioner.Document, name string, r *versioner.Route) {
	i := b.impactOn(r.Partner)
	i.Routes = append(i.Routes, name)
	for _, service := range r.Services() {
		if partner := serviceOwner(doc, service); partner != "" && partner != r.Partner {
			owner := b.impactOn(partner)
			owner.Routes = append(owner.Routes, name)
			owner.Services = append(owner.Services, service)
		}
	}
}

// addException adds an exception to the impacts on the affected partners, with the
// setting's values before and after in the exception's scope.
func (b *planBuilder) addException(doc *versioner.Document, e versioner.Entry) {
	x := e.Exception
	s, ok := versioner.FindSetting(x.Setting)
	if !ok {
		return
	}
	change := SettingChange{Setting: x.Setting, Scope: x.Scope(), From: s.Resolve(b.from, x.Scope()), To: s.Resolve(b.to, x.Scope())}
	for _, partner := range b.affectedPartners(doc, x) {
		i := b.impactOn(partner)
		if change.From != change.To {
			i.Settings = append(i.Settings, change)
		}
		if doc == b.to {
			i.Exceptions = append(i.Exceptions, withDefault(b.to, e))
		}
	}
}

// affectedPartners returns the partners that an exception affects: its owners, or
// all partners if it has none.
func (b *planBuilder) affectedPartners(doc *versioner.Document, x *versioner.Exception) []string {
	if owners := ExceptionOwners(doc, x); len(owners) > 0 {
		return owners
	}
	return Partners(doc)
}

// addChangedDefaults adds each changed default to the impacts on every partner, and
// the exceptions that override it to the impacts on the partners they affect.
func (b *planBuilder) addChangedDefaults() {
	for _, s := range versioner.Settings() {
		from, to := s.FleetWide(b.from), s.FleetWide(b.to)
		if from == to {
			continue
		}
		for _, partner := range Partners(b.to) {
			i := b.impactOn(partner)
			i.Settings = append(i.Settings, SettingChange{Setting: s.Name, From: from, To: to})
		}
		for _, e := range b.to.Entries {
			if e.Exception == nil || e.Exception.Setting != s.Name {
				continue
			}
			for _, partner := range b.affectedPartners(b.to, e.Exception) {
				i := b.impactOn(partner)
				i.Exceptions = append(i.Exceptions, withDefault(b.to, e))
			}
		}
	}
}

// normalize sorts the lists and removes duplicates.
func (i *Impact) normalize() {
	slices.Sort(i.Services)
	i.Services = slices.Compact(i.Services)
	slices.Sort(i.Routes)
	i.Routes = slices.Compact(i.Routes)
	slices.SortStableFunc(i.Settings, func(a, b SettingChange) int { return cmp.Compare(a.Setting, b.Setting) })
	i.Settings = slices.Compact(i.Settings)
	slices.SortStableFunc(i.Exceptions, func(a, b ExceptionWithDefault) int { return cmp.Compare(a.Name, b.Name) })
	i.Exceptions = slices.CompactFunc(i.Exceptions, func(a, b ExceptionWithDefault) bool { return a.Name == b.Name })
}

// Partners returns the names of the document's partners.
func Partners(doc *versioner.Document) []string {
	var names []string
	for _, e := range doc.Entries {
		if e.Partner != nil {
			names = append(names, e.Key.Name)
		}
	}
	return names
}

// ExceptionOwners returns the partners whose calls or services an exception
// affects, sorted, or none if it affects all partners. The owners are the partner
// of its scope, the owner of its service and, if it has a partner but no service,
// the owners of the services that the partner's routes lead to.
func ExceptionOwners(doc *versioner.Document, x *versioner.Exception) []string {
	var owners []string
	if x.Partner != "" {
		owners = append(owners, x.Partner)
	}
	if x.Service != "" {
		owners = append(owners, serviceOwner(doc, x.Service))
	}
	if x.Partner != "" && x.Service == "" {
		for _, e := range doc.Entries {
			if e.Route != nil && e.Route.Partner == x.Partner {
				for _, service := range e.Route.Services() {
					owners = append(owners, serviceOwner(doc, service))
				}
			}
		}
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	return slices.DeleteFunc(owners, func(s string) bool { return s == "" })
}

// serviceOwner returns the partner to whom a service belongs, or "" if the service
// does not exist.
func serviceOwner(doc *versioner.Document, name string) string {
	e, ok := doc.Find(versioner.Key{Kind: versioner.KindService, Name: name})
	if !ok || e.Service == nil {
		return ""
	}
	return e.Service.Partner
}
