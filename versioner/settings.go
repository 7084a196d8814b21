package versioner

import (
	"fmt"
	"slices"
)

// Setting describes a numeric setting that operators can set fleet-wide and
// override by exceptions.
type Setting struct {
	// Name is "field" for fleet defaults and "class.field" for classes.
	Name string
	// Default is the value if the configuration sets none.
	Default  int
	Min, Max int
	// Doc describes the setting and its unit for users.
	Doc string

	// fleetField or classField returns the setting's field in an entry; the
	// other one is nil.
	fleetField func(*Fleet) *int
	classField func(*Class) *int
	// className is the class to which the setting belongs, or "" for fleet
	// defaults.
	className string
}

const (
	minuteMS = 60_000
	hourMS   = 60 * minuteMS
)

// fleetSettings holds the settings that do not belong to a call class.
var fleetSettings = []Setting{
	{Name: "retry-budget-percent", Default: 10, Max: 100, Doc: "retries, in percent of first attempts, that one daemon may make on one route", fleetField: func(f *Fleet) *int { return f.RetryBudgetPercent }},
	{Name: "eject-after-failures", Default: 5, Min: 1, Max: 1000, Doc: "consecutive failures after which a target is ejected", fleetField: func(f *Fleet) *int { return f.EjectAfterFailures }},
	{Name: "eject-ms", Default: 5000, Min: 100, Max: hourMS, Doc: "length of a target's first ejection, in milliseconds; it doubles on repeats", fleetField: func(f *Fleet) *int { return f.EjectMS }},
	{Name: "max-ejected-percent", Default: 34, Max: 100, Doc: "largest share of a service's targets that may be ejected, in percent", fleetField: func(f *Fleet) *int { return f.MaxEjectedPercent }},
	{Name: "slow-start-ms", Default: 10_000, Max: hourMS, Doc: "time in which a new target's weight grows to its full value, in milliseconds", fleetField: func(f *Fleet) *int { return f.SlowStartMS }},
	{Name: "spill-over-percent", Default: 80, Min: 1, Max: 100, Doc: "load of the local failure domain, in percent of its slots, above which calls go to other domains", fleetField: func(f *Fleet) *int { return f.SpillOverPercent }},
	{Name: "drain-ms", Default: 30_000, Min: 100, Max: hourMS, Doc: "longest time that a planned stop waits for calls in flight, in milliseconds", fleetField: func(f *Fleet) *int { return f.DrainMS }},
	{Name: "key-retention-ms", Default: 2 * minuteMS, Min: 1000, Max: hourMS, Doc: "time for which a target's daemon remembers an idempotency key, in milliseconds", fleetField: func(f *Fleet) *int { return f.KeyRetentionMS }},
	{Name: "max-header-bytes", Default: 64 << 10, Min: 1024, Max: 1 << 20, Doc: "largest head of a caller's request, in bytes", fleetField: func(f *Fleet) *int { return f.MaxHeaderBytes }},
	{Name: "max-body-bytes", Default: 16 << 20, Max: 1 << 30, Doc: "largest body of a caller's request, in bytes; a daemon takes at most 16 MB", fleetField: func(f *Fleet) *int { return f.MaxBodyBytes }},
	{Name: "header-timeout-ms", Default: 10_000, Min: 100, Max: hourMS, Doc: "longest time that a caller may take for the head of a request, in milliseconds", fleetField: func(f *Fleet) *int { return f.HeaderTimeoutMS }},
	{Name: "idle-timeout-ms", Default: minuteMS, Min: 100, Max: hourMS, Doc: "time after which a caller's idle connection is closed, in milliseconds", fleetField: func(f *Fleet) *int { return f.IdleTimeoutMS }},
}

// classDefaults holds the built-in defaults of one class.
type classDefaults struct {
	name                                                         string
	timeoutMS, reservedPercent, queueLength, queueMS, maxRetries int
}

var builtinClasses = []classDefaults{
	{name: ClassInternalRead, timeoutMS: 1000, reservedPercent: 20, maxRetries: 2},
	{name: ClassLookup, timeoutMS: 2000, queueLength: 16, queueMS: 50, maxRetries: 2},
	{name: ClassPosting, timeoutMS: 10_000, queueLength: 32, queueMS: 500},
	{name: ClassScan, timeoutMS: 2 * minuteMS, queueLength: 8, queueMS: 2000},
}

var allSettings = newSettings()

// newSettings returns fleetSettings and the settings of each class.
func newSettings() []Setting {
	settings := slices.Clone(fleetSettings)
	for _, c := range builtinClasses {
		settings = append(settings,
			Setting{Name: c.name + ".timeout-ms", Default: c.timeoutMS, Min: 1, Max: hourMS, Doc: "longest time that a call may take, in milliseconds", classField: func(c *Class) *int { return c.TimeoutMS }, className: c.name},
			Setting{Name: c.name + ".reserved-percent", Default: c.reservedPercent, Max: 90, Doc: "share of a target's slots kept for the class, in percent", classField: func(c *Class) *int { return c.ReservedPercent }, className: c.name},
			Setting{Name: c.name + ".queue-length", Default: c.queueLength, Max: 10_000, Doc: "calls that may wait for a slot at a target's daemon", classField: func(c *Class) *int { return c.QueueLength }, className: c.name},
			Setting{Name: c.name + ".queue-ms", Default: c.queueMS, Max: hourMS, Doc: "longest wait for a slot, in milliseconds", classField: func(c *Class) *int { return c.QueueMS }, className: c.name},
			Setting{Name: c.name + ".max-retries", Default: c.maxRetries, Max: 10, Doc: "retries of one call", classField: func(c *Class) *int { return c.MaxRetries }, className: c.name},
			Setting{Name: c.name + ".hedge-ms", Default: 0, Max: minuteMS, Doc: "wait before a second attempt is started beside the first, in milliseconds; 0 means never", classField: func(c *Class) *int { return c.HedgeMS }, className: c.name},
		)
	}
	return settings
}

// Settings returns all settings, fleet defaults first.
func Settings() []Setting { return slices.Clone(allSettings) }

// FindSetting returns the setting with the name, and whether there is one.
func FindSetting(name string) (Setting, bool) {
	i := slices.IndexFunc(allSettings, func(s Setting) bool { return s.Name == name })
	if i < 0 {
		return Setting{}, false
	}
	return allSettings[i], true
}

// FleetWide returns the fleet-wide value in the document, or the built-in
// default if the document sets none.
func (s Setting) FleetWide(doc *Document) int {
	key := Key{Kind: KindFleet, Name: FleetName}
	if s.classField != nil {
		key = Key{Kind: KindClass, Name: s.className}
	}
	e, ok := doc.Find(key)
	if !ok {
		return s.Default
	}
	if value := s.ValueIn(e); value != nil {
		return *value
	}
	return s.Default
}

// ValueIn returns the value that the entry sets, or nil if it sets none.
func (s Setting) ValueIn(e Entry) *int {
	switch {
	case s.classField != nil && e.Class != nil && e.Key.Name == s.className:
		return s.classField(e.Class)
	case s.fleetField != nil && e.Fleet != nil:
		return s.fleetField(e.Fleet)
	}
	return nil
}

// Field returns the name of the setting's field within an entry.
func (s Setting) Field() string {
	if s.className == "" {
		return s.Name
	}
	return s.Name[len(s.className)+1:]
}

// Check reports whether the value is within bounds, and otherwise returns a
// message that says what is wrong.
func (s Setting) Check(value int) (string, bool) {
	if value >= s.Min && value <= s.Max {
		return "", true
	}
	return fmt.Sprintf("must be from %d to %d, got %d", s.Min, s.Max, value), false
}

// IsIdempotent reports whether calls of the class may run more than once.
func (d *Document) IsIdempotent(class string) bool {
	if e, ok := d.Find(Key{Kind: KindClass, Name: class}); ok && e.Class != nil && e.Class.Idempotent != nil {
		return *e.Class.Idempotent
	}
	return class == ClassLookup || class == ClassInternalRead
}
