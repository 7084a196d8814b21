package daemon

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const maxChangeBytes = 1 << 20

// Status is what a daemon says of itself.
type Status struct {
	InstanceID    string            `json:"instance-id"`
	FailureDomain string            `json:"failure-domain"`
	Version       versioner.Version `json:"version"`
	Targets       []tracker.Record  `json:"targets"`
}

// ChangeAnswer answers an accepted change.
type ChangeAnswer struct {
	Version  versioner.Version `json:"version"`
	ChangeID string            `json:"change-id"`
}

func (d *Daemon) status(c echo.Context) error {
	s := Status{InstanceID: d.cfg.InstanceID, FailureDomain: d.cfg.FailureDomain, Targets: d.table.All()}
	if snapshot := d.applier.Current(); snapshot != nil {
		s.Version = snapshot.Version()
	}
	return c.JSON(http.StatusOK, s)
}

func (d *Daemon) change(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	edits, err := parser.Parse("change", body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	h := c.Request().Header
	change := acceptor.Change{
		Audit: versioner.Audit{
			ChangeID: h.Get("Change-Id"), Author: h.Get("Change-Author"), Reason: h.Get("Change-Reason"),
		},
		Upserts: edits.Upserts, Deletes: edits.Deletes,
	}
	v, err := d.acceptor.Accept(c.Request().Context(), change)
	if err != nil {
		return echo.NewHTTPError(http.StatusUnprocessableEntity, err.Error())
	}
	return c.JSON(http.StatusOK, ChangeAnswer{Version: v, ChangeID: change.Audit.ChangeID})
}
