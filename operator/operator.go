// Package operator is the HTTP surface of a daemon towards operators: status,
// health, metrics, and the acceptance of changes.
package operator

import (
	"expvar"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
)

// Surface is the operators' view of one daemon. All fields must be set.
type Surface struct {
	InstanceID string
	Domain     string
	Applier    *applier.Applier
	Table      *tracker.Table
	Acceptor   *acceptor.Acceptor

	malformed expvar.Int
}

// Register adds the surface's resources to the router.
func (s *Surface) Register(e *echo.Echo) {
	e.GET("/v1/status", s.status)
	e.POST(ChangesPath, s.change)
	e.POST(PlanPath, s.plan)
	e.GET(ConfigurationPath, s.configuration)
	e.GET(HistoryPath, s.history)
	e.GET(ExceptionsPath, s.exceptions)
	e.GET("/v1/applied", s.applied)
	e.GET("/healthz", s.health)
	e.GET("/readyz", s.readiness)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
}
