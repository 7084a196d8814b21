package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Status is what a daemon says of itself.
type Status struct {
	InstanceID    string            `json:"instance-id"`
	FailureDomain string            `json:"failure-domain"`
	Version       versioner.Version `json:"version"`
	Digest        string            `json:"digest"`
	Targets       []tracker.Record  `json:"targets"`
}

func (s *Surface) status(c echo.Context) error {
	status := Status{InstanceID: s.InstanceID, FailureDomain: s.Domain, Targets: s.Table.All()}
	if snapshot := s.Applier.Current(); snapshot != nil {
		status.Version = snapshot.Version()
		status.Digest = snapshot.Digest.String()
	}
	return c.JSON(http.StatusOK, status)
}

// HistoryAnswer lists the newest versions that a daemon put in force since it
// started, oldest first.
type HistoryAnswer struct {
	InstanceID string            `json:"instance-id"`
	Applied    []applier.Applied `json:"applied"`
}

func (s *Surface) applied(c echo.Context) error {
	return c.JSON(http.StatusOK, HistoryAnswer{InstanceID: s.InstanceID, Applied: s.Applier.History()})
}

// health answers as long as the process serves at all.
func (s *Surface) health(c echo.Context) error { return c.NoContent(http.StatusNoContent) }

// readiness answers with success once a configuration is in force.
func (s *Surface) readiness(c echo.Context) error {
	if s.Applier.Current() == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no configuration in force")
	}
	return c.NoContent(http.StatusNoContent)
}
