package applier

import (
	"cmp"
	"slices"
	"time"

	"bambooweir.example/bambooweir/versioner"
)

// Defaults for the limits of a target whose service sets none.
const (
	DefaultSlots       = 12
	DefaultConnections = 110
)

// Policy holds the settings for the calls of one class to one service, on the
// routes of one partner. Every setting is resolved: an exception that applies in
// the daemon's failure domain overrides the fleet-wide value.
//
// A policy is never changed once its snapshot is built.
type Policy struct {
	Service, Class, Partner string

	// Slots is the number of calls that one target runs concurrently, at least 1.
	Slots int
	// SlotsConfigured reports whether Slots comes from the configuration. If not, the
	// number of slots that a target announces takes precedence over Slots.
	SlotsConfigured bool
	// Connections bounds the open connections to one target, at least 1.
	Connections int

	Idempotent      bool
	Timeout         time.Duration
	ReservedPercent int
	QueueLength     int
	QueueWait       time.Duration
	MaxRetries      int
	// HedgeAfter is the wait before a second, concurrent attempt; 0 disables hedging.
	HedgeAfter time.Duration

	RetryBudgetPercent int
	EjectAfterFailures int
	EjectFor           time.Duration
	MaxEjectedPercent  int
	SlowStart          time.Duration
	SpillOverPercent   int
	DrainLimit         time.Duration
	KeyRetention       time.Duration
}

// Share is the percentage of each target's slots that is guaranteed to one partner.
type Share struct {
	Partner string
	Percent int
}

// policyKey identifies a policy; an empty partner means the service's own.
type policyKey struct{ service, class, partner string }

// classes holds the names of all call classes.
var classes = []string{
	versioner.ClassInternalRead, versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan,
}

// Policy returns the policy of a class of calls to a service, on the routes of one
// partner. For a partner without such a route it returns the policy of the
// service's own partner. It returns nil if the service or class is unknown.
func (s *Snapshot) Policy(service, class, partner string) *Policy {
	if p, ok := s.policies[policyKey{service, class, partner}]; ok {
		return p
	}
	return s.policies[policyKey{service: service, class: class}]
}

// Shares returns the partners' guaranteed shares, sorted by partner. The slice
// must not be changed.
func (s *Snapshot) Shares() []Share { return s.shares }

// HasPartner reports whether the configuration defines the partner.
func (s *Snapshot) HasPartner(name string) bool {
	_, ok := slices.BinarySearchFunc(s.shares, name, func(share Share, name string) int { return cmp.Compare(share.Partner, name) })
	return ok
}

// newShares returns the shares in the order of the entries, sorted by partner.
func newShares(doc *versioner.Document) []Share {
	var shares []Share
	for _, e := range doc.Entries {
		if e.Partner != nil {
			shares = append(shares, Share{Partner: e.Key.Name, Percent: e.Partner.SharePercent})
		}
	}
	return shares
}

// newPolicies builds the policies of every service, in every class for its own
// partner and in the class of each route that another partner has to it.
func newPolicies(doc *versioner.Document, set settings) map[policyKey]*Policy {
	policies := make(map[policyKey]*Policy)
	for _, e := range doc.Entries {
		if e.Service == nil {
			continue
		}
		for _, class := range classes {
			p := newPolicy(doc, set, e.Key.Name, class, e.Service.Partner)
			policies[policyKey{service: p.Service, class: class}] = p
			policies[policyKey{p.Service, class, p.Partner}] = p
		}
	}
	for _, e := range doc.Entries {
		if e.Route == nil {
			continue
		}
		for _, service := range e.Route.Services() {
			k := policyKey{service, e.Route.Class, e.Route.Partner}
			if _, ok := policies[k]; !ok {
				policies[k] = newPolicy(doc, set, k.service, k.class, k.partner)
			}
		}
	}
	return policies
}

// newPolicy resolves the settings of one policy.
func newPolicy(doc *versioner.Document, set settings, service, class, partner string) *Policy {
	number := func(setting string) int { return set.value(setting, service, partner) }
	duration := func(setting string) time.Duration { return time.Duration(number(setting)) * time.Millisecond }
	p := &Policy{
		Service: service, Class: class, Partner: partner,
		Slots: DefaultSlots, Connections: DefaultConnections,
		Idempotent:         doc.IsIdempotent(class),
		Timeout:            duration(class + ".timeout-ms"),
		ReservedPercent:    number(class + ".reserved-percent"),
		QueueLength:        number(class + ".queue-length"),
		QueueWait:          duration(class + ".queue-ms"),
		MaxRetries:         number(class + ".max-retries"),
		HedgeAfter:         duration(class + ".hedge-ms"),
		RetryBudgetPercent: number("retry-budget-percent"),
		EjectAfterFailures: number("eject-after-failures"),
		EjectFor:           duration("eject-ms"),
		MaxEjectedPercent:  number("max-ejected-percent"),
		SlowStart:          duration("slow-start-ms"),
		SpillOverPercent:   number("spill-over-percent"),
		DrainLimit:         duration("drain-ms"),
		KeyRetention:       duration("key-retention-ms"),
	}
	e, _ := doc.Find(versioner.Key{Kind: versioner.KindService, Name: service})
	if e.Service != nil && e.Service.Slots > 0 {
		p.Slots, p.SlotsConfigured = e.Service.Slots, true
	}
	if e.Service != nil && e.Service.Connections > 0 {
		p.Connections = e.Service.Connections
	}
	return p
}
