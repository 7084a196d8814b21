package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/canarier"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Paths of the resources that report the state of a daemon.
const (
	StatusPath  = "/v1/status"
	AppliedPath = "/v1/applied"
	// HealthPath responds with 204 while the process serves requests,
	// ReadinessPath once a configuration is in force.
	HealthPath    = "/healthz"
	ReadinessPath = "/readyz"
	MetricsPath   = "/debug/vars"
)

// Status is the state of a daemon and what it knows of the fleet.
type Status struct {
	InstanceID    string `json:"instance-id"`
	FailureDomain string `json:"failure-domain"`
	// Version is the version in force, 0 for none, and Digest is the digest of
	// its document.
	Version versioner.Version `json:"version"`
	Digest  string            `json:"digest"`
	DistributionStatus
	// Targets holds the membership records, sorted by instance.
	Targets []tracker.Record `json:"targets"`
	// TargetViews states for each target whether this daemon uses it, and why.
	TargetViews []picker.TargetView `json:"choices,omitempty"`
	// Rollouts holds the orders that this daemon knows, the newest of each service.
	Rollouts []canarier.View `json:"rollouts,omitempty"`
}

// Role is a daemon's role in the distribution of the configuration.
type Role string

// The roles. A relay watches the store, a follower receives versions from another
// daemon, its parent, and a joining daemon is looking for a parent.
const (
	RoleRelay    Role = "relay"
	RoleFollower Role = "follower"
	RoleJoining  Role = "joining"
)

// DistributionStatus describes a daemon's position in the distribution tree and what it knows
// of the versions in the fleet.
type DistributionStatus struct {
	Role Role `json:"role,omitempty"`
	// Parent is the daemon that sends versions to this one; it is "" for the root
	// of a failure domain.
	Parent string `json:"parent,omitempty"`
	// Depth is the number of daemons from the root, included, down to Parent.
	Depth int `json:"depth"`
	// Children is the number of daemons to which this one sends versions.
	Children int `json:"children"`
	// IsConfirmed is false while no version is in force, and while the version in
	// force came from peers without a recent confirmation from the store.
	IsConfirmed bool `json:"confirmed"`
	// HeadVersion is the newest version that the store is known to have held.
	// It held it HeadAgeMS milliseconds ago.
	HeadVersion versioner.Version `json:"head-version"`
	HeadAgeMS   int64             `json:"head-age-ms"`
	// DaemonsByVersion counts the known daemons by their version in force.
	DaemonsByVersion []VersionCount `json:"daemons-by-version,omitempty"`
	// StaleDaemons lists a few of the daemons that have an older version in force.
	StaleDaemons []StaleDaemon `json:"laggards,omitempty"`
}

// VersionCount is the number of daemons that have one version in force.
type VersionCount struct {
	Version versioner.Version `json:"version"`
	Daemons int               `json:"daemons"`
}

// StaleDaemon is a daemon that has an older version in force, and why.
type StaleDaemon struct {
	InstanceID string            `json:"instance-id"`
	Version    versioner.Version `json:"version"`
	Reason     string            `json:"reason"`
}

// status serves StatusPath.
func (a *API) status(c echo.Context) error {
	status := Status{InstanceID: a.InstanceID, FailureDomain: a.Domain, Targets: a.Table.All()}
	if snapshot := a.Applier.Current(); snapshot != nil {
		status.Version = snapshot.Version()
		status.Digest = snapshot.Digest.String()
	}
	if a.Distribution != nil {
		status.DistributionStatus = a.Distribution()
	}
	if a.TargetViews != nil {
		status.TargetViews = a.TargetViews()
	}
	if a.Rollouts != nil {
		status.Rollouts = a.Rollouts()
	}
	return c.JSON(http.StatusOK, status)
}

// AppliedAnswer is the response of AppliedPath. It lists the newest versions that a
// daemon put in force since it started, oldest first.
type AppliedAnswer struct {
	InstanceID string            `json:"instance-id"`
	Applied    []applier.Applied `json:"applied"`
}

// applied serves AppliedPath.
func (a *API) applied(c echo.Context) error {
	return c.JSON(http.StatusOK, AppliedAnswer{InstanceID: a.InstanceID, Applied: a.Applier.History()})
}

// health serves HealthPath.
func (a *API) health(c echo.Context) error { return c.NoContent(http.StatusNoContent) }

// readiness serves ReadinessPath.
func (a *API) readiness(c echo.Context) error {
	if a.Applier.Current() == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no configuration in force")
	}
	return c.NoContent(http.StatusNoContent)
}
