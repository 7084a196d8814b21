// Package projector works out what each role costs at a size that no machine
// here can run, from slopes that were measured at smaller sizes.
//
// It is the arithmetic behind docs/CAPACITY.md: the page's tables are its
// output, so that a new measurement changes the page and nothing else.
package projector

import (
	"fmt"
	"math"
)

// Size is the fleet to project to.
type Size struct {
	Daemons        int `json:"daemons"`
	Services       int `json:"services"`
	FailureDomains int `json:"failure-domains"`
	Regions        int `json:"regions"`
	// RelaySlots is the number of relay leases in each failure domain.
	RelaySlots int `json:"relay-slots"`
	// FanOut bounds the children of one daemon in the tree.
	FanOut int `json:"fan-out"`
	// CrossLinks is the number of links that a top relay keeps to other domains.
	CrossLinks      int     `json:"cross-links"`
	CallsPerSecond  float64 `json:"calls-per-second"`
	ChangesPerDay   float64 `json:"changes-per-day"`
	ReplacedPerDay  float64 `json:"replaced-per-day"`
	FailedPerDay    float64 `json:"failed-per-day"`
	BurstPerSecond  float64 `json:"burst-changes-per-second"`
	HerdReturnAfter float64 `json:"herd-return-seconds"`
}

// DesignSize is the size that the system is designed for.
var DesignSize = Size{
	Daemons: 4900, Services: 130, FailureDomains: 18, Regions: 5,
	RelaySlots: 2, FanOut: 16, CrossLinks: 2,
	CallsPerSecond: 280_000, ChangesPerDay: 8300,
	ReplacedPerDay: 380, FailedPerDay: 8,
	BurstPerSecond: 1, HerdReturnAfter: 20,
}

const (
	secondsPerDay = 24 * 60 * 60
	// recordsPerReplacement counts the membership records that one planned
	// replacement spreads: draining, gone, announced, ready.
	recordsPerReplacement = 4
	// recordsPerFailure counts those of a failure: gone, announced, ready.
	recordsPerFailure = 3
)

// DomainSize is the number of daemons of one failure domain, rounded up.
func (s Size) DomainSize() int {
	return (s.Daemons + s.FailureDomains - 1) / s.FailureDomains
}

// Depth is the number of tree levels below the top relays of a domain.
func (s Size) Depth() int {
	depth, reached, level := 0, s.RelaySlots, s.RelaySlots
	for reached < s.DomainSize() {
		level *= s.FanOut
		reached += level
		depth++
	}
	return depth
}

// ChangesPerSecond is the mean rate of accepted changes.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// RecordsPerSecond is the mean rate of membership records.
func (s Size) RecordsPerSecond() float64 {
	return (s.ReplacedPerDay*recordsPerReplacement + s.FailedPerDay*recordsPerFailure) / secondsPerDay
}

// CallsPerDaemon is the mean rate of calls that one daemon runs at its target;
// it is also the mean rate that one daemon enters.
func (s Size) CallsPerDaemon() float64 { return s.CallsPerSecond / float64(s.Daemons) }

// Budgets are the limits that the rows are held against.
type Budgets struct {
	ControlBytesPerSecond float64
	ControlCorePercent    float64
	MemoryMegabytes       float64
	ConvergenceSeconds    float64
	AddedMilliseconds     float64
	StoreWritesPerSecond  float64
	StoreReadsPerSecond   float64
}

// DesignBudgets holds the budgets that the users set.
var DesignBudgets = Budgets{
	ControlBytesPerSecond: 13_000, ControlCorePercent: 3.4, MemoryMegabytes: 256,
	ConvergenceSeconds: 20, AddedMilliseconds: 0.35,
	StoreWritesPerSecond: 300, StoreReadsPerSecond: 2000,
}

// Row is one line of the page: a quantity of a role at the projected size.
type Row struct {
	Role     string
	Quantity string
	Unit     string
	Estimate Estimate
	// Budget is the limit that holds for the quantity; 0 means none was set.
	Budget float64
	// Formula says how the value was worked out, in the names of the series.
	Formula string
	// Mechanism names the part that keeps the quantity small.
	Mechanism string
}

// Fits says whether the row's value is within its budget.
func (r Row) Fits() bool { return r.Budget == 0 || r.Estimate.Value <= r.Budget }

// MissingSeriesError reports a series that the projection needs.
type MissingSeriesError struct{ Name string }

// Error implements error.
func (e *MissingSeriesError) Error() string { return fmt.Sprintf("series %s is missing", e.Name) }

// plus returns the sum of estimates, their errors taken as independent.
func plus(estimates ...Estimate) Estimate {
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

// times scales an estimate.
func (e Estimate) times(f float64) Estimate {
	return Estimate{Value: e.Value * f, HalfWidth: e.HalfWidth * math.Abs(f)}
}
