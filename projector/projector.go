// Package projector projects the costs of each role in the fleet to a size that
// one machine can't run: it fits lines to series that package measurer measured
// at smaller sizes, and extrapolates them.
//
// The tables in docs/CAPACITY.md are its output, so that a new measurement
// changes only that page.
package projector

import (
	"fmt"
	"math"
)

// Size describes the fleet to project to.
type Size struct {
	Daemons        int `json:"daemons"`
	Services       int `json:"services"`
	FailureDomains int `json:"failure-domains"`
	Regions        int `json:"regions"`
	// RelaySlots is the number of relay leases in each failure domain.
	RelaySlots int `json:"relay-slots"`
	// FanOut is the maximum number of children of a daemon in the tree.
	FanOut int `json:"fan-out"`
	// CrossLinks is the number of links that a top relay keeps to other failure
	// domains.
	CrossLinks     int     `json:"cross-links"`
	CallsPerSecond float64 `json:"calls-per-second"`
	ChangesPerDay  float64 `json:"changes-per-day"`
	// ReplacedPerDay is the number of planned replacements of instances a day,
	// and FailedPerDay the number of instances that fail.
	ReplacedPerDay float64 `json:"replaced-per-day"`
	FailedPerDay   float64 `json:"failed-per-day"`
	// BurstChangesPerSecond and HerdReturnSeconds describe a burst of changes and
	// a mass reconnect; no row is computed from them.
	BurstChangesPerSecond float64 `json:"burst-changes-per-second"`
	HerdReturnSeconds     float64 `json:"herd-return-seconds"`
}

// DesignSize is the size that the system is designed for: the fleet that is
// expected in two years.
var DesignSize = Size{
	Daemons: 4900, Services: 130, FailureDomains: 18, Regions: 5,
	RelaySlots: 2, FanOut: 16, CrossLinks: 2,
	CallsPerSecond: 280_000, ChangesPerDay: 8300,
	ReplacedPerDay: 380, FailedPerDay: 8,
	BurstChangesPerSecond: 1, HerdReturnSeconds: 20,
}

const (
	secondsPerDay = 24 * 60 * 60
	// recordsPerReplacement is the number of membership records that one planned
	// replacement distributes: draining, gone, announced, ready.
	recordsPerReplacement = 4
	// recordsPerFailure is the number of membership records that one failure
	// distributes: gone, announced, ready.
	recordsPerFailure = 3
)

// DomainSize returns the number of daemons of one failure domain, rounded up.
func (s Size) DomainSize() int {
	return (s.Daemons + s.FailureDomains - 1) / s.FailureDomains
}

// Depth returns the number of tree levels below the top relays of a failure
// domain.
func (s Size) Depth() int {
	depth, reached, level := 0, s.RelaySlots, s.RelaySlots
	for reached < s.DomainSize() {
		level *= s.FanOut
		reached += level
		depth++
	}
	return depth
}

// ChangesPerSecond returns the mean rate of accepted changes.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// RecordsPerSecond returns the mean rate of membership records.
func (s Size) RecordsPerSecond() float64 {
	return (s.ReplacedPerDay*recordsPerReplacement + s.FailedPerDay*recordsPerFailure) / secondsPerDay
}

// CallsPerDaemon returns the mean rate of calls that one daemon runs at its target,
// in calls a second. It is also the mean rate of calls that one daemon receives
// from callers.
func (s Size) CallsPerDaemon() float64 { return s.CallsPerSecond / float64(s.Daemons) }

// Budgets holds the limits that the rows are compared with.
type Budgets struct {
	// The limits of one daemon: for control traffic, its processor time in
	// percent of a core, and resident memory.
	ControlBytesPerSecond float64
	ControlCorePercent    float64
	MemoryMegabytes       float64
	// ConvergenceSeconds and AddedMilliseconds limit 99th percentiles: the time
	// until a change is in force, and the latency that the daemons add to a call.
	ConvergenceSeconds float64
	AddedMilliseconds  float64
	// The limits of the store, for the whole fleet.
	StoreWritesPerSecond float64
	StoreReadsPerSecond  float64
}

// DesignBudgets holds the budgets that the users specified.
var DesignBudgets = Budgets{
	ControlBytesPerSecond: 13_000, ControlCorePercent: 3.4, MemoryMegabytes: 256,
	ConvergenceSeconds: 20, AddedMilliseconds: 0.35,
	StoreWritesPerSecond: 300, StoreReadsPerSecond: 2000,
}

// Row is one row of the projection: a quantity of a role at the projected size.
type Row struct {
	Role     string
	Quantity string
	Unit     string
	Estimate Estimate
	// Budget is the limit of the quantity; 0 means that it has none.
	Budget float64
	// Formula shows how the value is computed from the named series.
	Formula string
	// Mechanism names the mechanism that limits the quantity.
	Mechanism string
}

// Fits reports whether the row's value is within its budget.
func (r Row) Fits() bool { return r.Budget == 0 || r.Estimate.Value <= r.Budget }

// MissingSeriesError reports that a series that the projection needs is missing.
type MissingSeriesError struct{ Name string }

// Error implements error.
func (e *MissingSeriesError) Error() string { return fmt.Sprintf("series %s is missing", e.Name) }

// sumEstimates returns the sum of the estimates, assuming independent errors. A
// half width of NaN counts as 0.
func sumEstimates(estimates ...Estimate) Estimate {
	var sum Estimate
	variance := 0.0
	for _, e := range estimates {
		sum.Value += e.Value
		if !math.IsNaN(e.HalfWidth) {
			variance += e.HalfWidth * e.HalfWidth
		}
	}
	sum.HalfWidth = math.Sqrt(variance)
	return sum
}

// scale returns the estimate multiplied by f.
func (e Estimate) scale(f float64) Estimate {
	return Estimate{Value: e.Value * f, HalfWidth: e.HalfWidth * math.Abs(f)}
}
