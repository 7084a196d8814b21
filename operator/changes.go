package operator

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/versioner"
)

const maxChangeBytes = 1 << 20

// ChangeAnswer answers an accepted change.
type ChangeAnswer struct {
	Version  versioner.Version `json:"version"`
	ChangeID string            `json:"change-id"`
}

func (s *Surface) change(c echo.Context) error {
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
	v, err := s.Acceptor.Accept(c.Request().Context(), change)
	if err != nil {
		return echo.NewHTTPError(http.StatusUnprocessableEntity, err.Error())
	}
	return c.JSON(http.StatusOK, ChangeAnswer{Version: v, ChangeID: change.Audit.ChangeID})
}
