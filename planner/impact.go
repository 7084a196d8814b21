package planner

import (
	"cmp"
	"slices"

	"bambooweir.example/bambooweir/versioner"
)

// builder collects the impacts of a change.
type builder struct {
	from, to *versioner.Document
	impacts  map[string]*Impact
}

func (b *builder) impact(partner string) *Impact {
	if b.impacts[partner] == nil {
		b.impacts[partner] = &Impact{Partner: partner}
	}
	return b.impacts[partner]
}

func (b *builder) edit(e Edit) {
	b.side(e, b.from, e.Before)
	b.side(e, b.to, e.After)
}

// side notes what one side of an edit touches.
func (b *builder) side(e Edit, doc *versioner.Document, value *versioner.Entry) {
	if value == nil {
		return
	}
	switch {
	case value.Partner != nil:
		b.impact(e.Key.Name)
	case value.Service != nil:
		i := b.impact(value.Service.Partner)
		i.Services = append(i.Services, e.Key.Name)
		b.routesTo(doc, e.Key.Name)
	case value.Route != nil:
		b.route(doc, e.Key.Name, value.Route)
	case value.Exception != nil:
		b.exception(doc, *value)
	}
}

// routesTo notes the routes that depend on a service.
func (b *builder) routesTo(doc *versioner.Document, service string) {
	for _, e := range doc.Entries {
		if e.Route != nil && slices.Contains(e.Route.Services(), service) {
			i := b.impact(e.Route.Partner)
			i.Routes = append(i.Routes, e.Key.Name)
		}
	}
}

// route notes a route with its owner and with the owner of its service.
func (b *builder) route(doc *versioner.Document, name string, r *versioner.Route) {
	i := b.impact(r.Partner)
	i.Routes = append(i.Routes, name)
	e, ok := doc.Find(versioner.Key{Kind: versioner.KindService, Name: r.Service})
	if ok && e.Service.Partner != r.Partner {
		owner := b.impact(e.Service.Partner)
		owner.Routes = append(owner.Routes, name)
		owner.Services = append(owner.Services, r.Service)
	}
}

// exception notes an exception and the values before and after in its scope.
func (b *builder) exception(doc *versioner.Document, e versioner.Entry) {
	x := e.Exception
	s, ok := versioner.FindSetting(x.Setting)
	if !ok {
		return
	}
	change := SettingChange{Setting: x.Setting, Scope: x.Scope(), From: s.Resolve(b.from, x.Scope()), To: s.Resolve(b.to, x.Scope())}
	for _, partner := range b.covered(doc, x) {
		i := b.impact(partner)
		if change.From != change.To {
			i.Settings = append(i.Settings, change)
		}
		if doc == b.to {
			i.Exceptions = append(i.Exceptions, departure(b.to, e))
		}
	}
}

// covered returns the partners whom an exception touches.
func (b *builder) covered(doc *versioner.Document, x *versioner.Exception) []string {
	if owners := ExceptionOwners(doc, x); len(owners) > 0 {
		return owners
	}
	return Partners(doc)
}

// fleetWide notes the changed defaults with every partner, beside the
// exceptions that depart from them.
func (b *builder) fleetWide() {
	for _, s := range versioner.Settings() {
		from, to := s.FleetWide(b.from), s.FleetWide(b.to)
		if from == to {
			continue
		}
		for _, partner := range Partners(b.to) {
			i := b.impact(partner)
			i.Settings = append(i.Settings, SettingChange{Setting: s.Name, From: from, To: to})
		}
		for _, e := range b.to.Entries {
			if e.Exception == nil || e.Exception.Setting != s.Name {
				continue
			}
			for _, partner := range b.covered(b.to, e.Exception) {
				i := b.impact(partner)
				i.Exceptions = append(i.Exceptions, departure(b.to, e))
			}
		}
	}
}

// sort orders the lists and drops what is listed twice.
func (i *Impact) sort() {
	slices.Sort(i.Services)
	i.Services = slices.Compact(i.Services)
	slices.Sort(i.Routes)
	i.Routes = slices.Compact(i.Routes)
	slices.SortStableFunc(i.Settings, func(a, b SettingChange) int { return cmp.Compare(a.Setting, b.Setting) })
	i.Settings = slices.Compact(i.Settings)
	slices.SortStableFunc(i.Exceptions, func(a, b Departure) int { return cmp.Compare(a.Name, b.Name) })
	i.Exceptions = slices.CompactFunc(i.Exceptions, func(a, b Departure) bool { return a.Name == b.Name })
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
// touches, sorted, or none when it touches all: the partner of its scope, the
// owner of its service, and, without a service, the owners of the services that
// the partner's routes lead to.
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

func serviceOwner(doc *versioner.Document, name string) string {
	e, ok := doc.Find(versioner.Key{Kind: versioner.KindService, Name: name})
	if !ok || e.Service == nil {
		return ""
	}
	return e.Service.Partner
}
