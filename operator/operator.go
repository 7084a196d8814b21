// Package operator is the HTTP surface of a daemon towards operators: status,
// health, metrics, and the acceptance of changes.
package operator

import (
	"expvar"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/tracker"
)

// API is the operators' view of one daemon. The fields must be set, but for
// Spread, Choices and Counters.
type API struct {
	InstanceID string
	Domain     string
	Applier    *applier.Applier
	Table      *tracker.Table
	Acceptor   *acceptor.Acceptor
	// Distribution tells the daemon's place in the spreading; nil tells nothing.
	Distribution func() DistributionStatus
	// TargetViews tells how the daemon sees each target; nil tells nothing.
	TargetViews func() []picker.TargetView
	Counters    Counters
}

// Register adds the surface's resources to the router.
func (s *API) Register(e *echo.Echo) {
	gate := newGate()
	e.GET(StatusPath, s.status)
	e.POST(ChangesPath, s.change, gate)
	e.POST(PlanPath, s.plan, gate)
	e.GET(ConfigurationPath, s.configuration, gate)
	e.GET(HistoryPath, s.history, gate)
	e.GET(ExceptionsPath, s.exceptions, gate)
	e.GET(AppliedPath, s.applied)
	e.GET(HealthPath, s.health)
	e.GET(ReadinessPath, s.readiness)
	e.GET(MetricsPath, echo.WrapHandler(expvar.Handler()))
}
