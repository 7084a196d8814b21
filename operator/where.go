package operator

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/forwarder"
)

// WherePath is the resource that says where a request would go. The request is in the body
// and not in the URL, since it may hold an API key.
const WherePath = "/v1/where"

// maxQueryBytes bounds the description of a request.
const maxQueryBytes = 64 << 10

// where explains the request that the body describes, a forwarder.Query.
func (a *API) where(c echo.Context) error {
	var q forwarder.Query
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxQueryBytes)
	if err := json.NewDecoder(body).Decode(&q); err != nil {
		// The error might repeat a part of the body, which may hold a key.
		return writeProblem(c, &decoder.InvalidError{Problems: []decoder.Problem{{File: "request", Want: "a JSON object that describes a request"}}})
	}
	return c.JSON(http.StatusOK, a.Explain(q))
}
