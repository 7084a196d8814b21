// Package operator implements a daemon's HTTP API for operators: status, health,
// metrics, and the submission of configuration changes.
package operator

import (
	"expvar"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/canarier"
	"bambooweir.example/bambooweir/forwarder"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/tallier"
	"bambooweir.example/bambooweir/tracker"
)

// API serves the operators' API of one daemon. All fields must be set, except
// Distribution, TargetViews, Rollouts, Quarantine, Tenants, UnknownKeys, Quotas, Explain and Counters.
type API struct {
	InstanceID string
	Domain     string
	Applier    *applier.Applier
	Table      *tracker.Table
	Acceptor   *acceptor.Acceptor
	// Distribution returns the daemon's position in the distribution tree for the
	// status. It may be nil; the status then has none.
	Distribution func() DistributionStatus
	// TargetViews returns whether and why the daemon uses each target, for the status.
	// It may be nil; the status then has none.
	TargetViews func() []picker.TargetView
	// Rollouts describes the roll-outs for the status; it may be nil.
	Rollouts func() []canarier.View
	// Quarantine holds the requests that are not run; nil means that there are none.
	Quarantine *quarantiner.Table
	// Tenants counts the calls of tenants, and UnknownKeys the requests refused for their
	// API keys; nil means that there are none.
	Tenants     *tallier.Tallier
	UnknownKeys *expvar.Int
	// Quotas returns the quotas of tenants as the daemon sees them; it may be nil.
	Quotas func() []quoter.View
	// Explain says where a request would go now. It may be nil; the resource then does not
	// exist.
	Explain  func(forwarder.Query) *forwarder.Explanation
	Counters Counters
}

// Register adds the API's resources to the router. Resources that may read the
// store share one concurrency limit.
func (a *API) Register(e *echo.Echo) {
	limit := newConcurrencyLimit()
	e.GET(StatusPath, a.status)
	e.POST(ChangesPath, a.change, limit)
	e.POST(PlanPath, a.plan, limit)
	e.GET(ConfigurationPath, a.configuration, limit)
	e.GET(HistoryPath, a.history, limit)
	e.GET(ExceptionsPath, a.exceptions, limit)
	e.GET(AppliedPath, a.applied)
	e.GET(QuarantinePath, a.quarantine)
	e.GET(TenantsPath, a.tenants)
	e.GET(QuotasPath, a.quotas)
	if a.Explain != nil {
		e.POST(WherePath, a.where, limit)
	}
	e.GET(HealthPath, a.health)
	e.GET(ReadinessPath, a.readiness)
	e.GET(MetricsPath, echo.WrapHandler(expvar.Handler()))
}
