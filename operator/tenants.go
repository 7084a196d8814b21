package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tallier"
)

// TenantsPath is the resource that lists the busiest tenants at a daemon.
const TenantsPath = "/v1/tenants"

// TenantReport is the answer of TenantsPath. It counts only the calls that entered at
// this daemon.
type TenantReport struct {
	InstanceID string         `json:"instance-id"`
	Tenants    []TenantStatus `json:"tenants"`
	// Others counts the calls of all other tenants, and those that the listed ones made
	// before they were among the busiest.
	Others tallier.Counts `json:"others"`
	// UnknownKeys counts the requests that were refused because no tenant holds their key.
	UnknownKeys int64 `json:"unknown-keys"`
}

// TenantStatus holds the calls of one tenant and what the configuration says of it.
type TenantStatus struct {
	tallier.Tally
	// IsConfigured is false if the version in force does not have the tenant any more.
	IsConfigured bool `json:"configured"`
	// Keys is the number of the tenant's API keys.
	Keys     int     `json:"keys"`
	Priority *int    `json:"priority,omitempty"`
	RatePerS float64 `json:"rate-per-s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// tenants serves TenantsPath.
func (a *API) tenants(c echo.Context) error {
	report := TenantReport{InstanceID: a.InstanceID, Tenants: []TenantStatus{}}
	if a.Tenants != nil {
		var busiest []tallier.Tally
		busiest, report.Others = a.Tenants.Report()
		for _, tally := range busiest {
			report.Tenants = append(report.Tenants, newTenantStatus(tally, a.Applier.Current()))
		}
	}
	if a.UnknownKeys != nil {
		report.UnknownKeys = a.UnknownKeys.Value()
	}
	return c.JSON(http.StatusOK, report)
}

// newTenantStatus returns the status of a tenant under the snapshot in force, nil for none.
func newTenantStatus(tally tallier.Tally, snapshot *applier.Snapshot) TenantStatus {
	status := TenantStatus{Tally: tally}
	if snapshot == nil {
		return status
	}
	if t := snapshot.TenantByName(tally.Tenant); t != nil {
		status.IsConfigured, status.Keys = true, len(t.Config.KeySHA256)
		status.Priority, status.RatePerS, status.Burst = t.Config.Priority, t.Config.RatePerS, t.Config.Burst
	}
	return status
}
