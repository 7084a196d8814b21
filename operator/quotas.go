package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/quoter"
)

// QuotasPath is the resource that lists the quotas of tenants.
const QuotasPath = "/v1/quotas"

// QuotasAnswer is the answer of QuotasPath.
type QuotasAnswer struct {
	InstanceID string        `json:"instance-id"`
	Tenants    []quoter.View `json:"tenants"`
}

// quotas lists the tenants whose calls arrive at this daemon or whose quotas it keeps.
func (a *API) quotas(c echo.Context) error {
	answer := QuotasAnswer{InstanceID: a.InstanceID, Tenants: []quoter.View{}}
	if a.Quotas != nil {
		answer.Tenants = append(answer.Tenants, a.Quotas()...)
	}
	return c.JSON(http.StatusOK, answer)
}
