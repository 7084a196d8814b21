package operator

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/versioner"
)

// Paths of the resources that return the configuration.
const (
	ConfigurationPath = "/v1/configuration"
	HistoryPath       = "/v1/history"
	ExceptionsPath    = "/v1/exceptions"
)

// Query parameters of the resources that return the configuration.
const (
	// ParamFormat is "json", the default, or "toml".
	ParamFormat = "format"
	// ParamSource is "newest", the default, or "in-force".
	ParamSource = "source"
	// ParamLimit is the largest number of changes to return.
	ParamLimit = "limit"
)

const (
	// sourceNewest and sourceInForce are the values of ParamSource.
	sourceNewest  = "newest"
	sourceInForce = "in-force"
	// formatJSON and formatTOML are the values of ParamFormat.
	formatJSON = "json"
	formatTOML = "toml"

	tomlMediaType = "application/toml"
	// defaultLimit is the number of changes that the history returns by default.
	defaultLimit = 20
	// maxLimit bounds the store reads that one request causes.
	maxLimit = 500
)

// AuditAnswer is the response of HistoryPath. It lists accepted changes, newest first.
type AuditAnswer struct {
	Changes []versioner.Delta `json:"changes"`
}

// ExceptionsAnswer is the response of ExceptionsPath. It lists exceptions together
// with the defaults that they override.
type ExceptionsAnswer struct {
	Version    versioner.Version              `json:"version"`
	Exceptions []planner.ExceptionWithDefault `json:"exceptions"`
}

// document returns the newest accepted document, or the document in force on this
// daemon if ParamSource asks for it.
func (a *API) document(c echo.Context) (*versioner.Document, error) {
	source, err := enumParam(c, ParamSource, sourceNewest, sourceInForce)
	if err != nil {
		return nil, err
	}
	if source == sourceNewest {
		return a.Acceptor.ReadNewest(c.Request().Context())
	}
	if snapshot := a.Applier.Current(); snapshot != nil {
		return snapshot.Document, nil
	}
	return new(versioner.Document), nil
}

// enumParam returns the query parameter param, which must be empty, standard or
// other. An empty parameter means standard.
func enumParam(c echo.Context, param, standard, other string) (string, error) {
	switch got := c.QueryParam(param); got {
	case "", standard:
		return standard, nil
	case other:
		return other, nil
	default:
		return "", &acceptor.InvalidChangeError{Field: param, Message: fmt.Sprintf("must be %s or %s, got %.40q", standard, other, got)}
	}
}

// configuration serves ConfigurationPath.
func (a *API) configuration(c echo.Context) error {
	format, err := enumParam(c, ParamFormat, formatJSON, formatTOML)
	if err != nil {
		return writeProblem(c, err)
	}
	doc, err := a.document(c)
	if err != nil {
		return writeProblem(c, err)
	}
	if format == formatJSON {
		return c.JSON(http.StatusOK, doc)
	}
	b, err := parser.Format(doc)
	if err != nil {
		return writeProblem(c, err)
	}
	return c.Blob(http.StatusOK, tomlMediaType, b)
}

// history serves HistoryPath.
func (a *API) history(c echo.Context) error {
	limit := defaultLimit
	if q := c.QueryParam(ParamLimit); q != "" {
		n, err := strconv.Atoi(q)
		if err != nil || n < 1 {
			return writeProblem(c, &acceptor.InvalidChangeError{Field: ParamLimit, Message: "must be a whole number from 1"})
		}
		limit = n
	}
	deltas, err := acceptor.ReadHistory(c.Request().Context(), a.Acceptor.Store, min(limit, maxLimit))
	if err != nil {
		return writeProblem(c, err)
	}
	return c.JSON(http.StatusOK, AuditAnswer{Changes: deltas})
}

// exceptions serves ExceptionsPath.
func (a *API) exceptions(c echo.Context) error {
	doc, err := a.document(c)
	if err != nil {
		return writeProblem(c, err)
	}
	return c.JSON(http.StatusOK, ExceptionsAnswer{Version: doc.Version, Exceptions: planner.Exceptions(doc)})
}
