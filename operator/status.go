package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Status is what a daemon says of itself.
type Status struct {
	InstanceID    string            `json:"instance-id"`
	FailureDomain string            `json:"failure-domain"`
	Version       versioner.Version `json:"version"`
	Targets       []tracker.Record  `json:"targets"`
}

func (s *Surface) status(c echo.Context) error {
	status := Status{InstanceID: s.InstanceID, FailureDomain: s.Domain, Targets: s.Table.All()}
	if snapshot := s.Applier.Current(); snapshot != nil {
		status.Version = snapshot.Version()
	}
	return c.JSON(http.StatusOK, status)
}
