package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Resources that show a daemon.
const (
	StatusPath  = "/v1/status"
	AppliedPath = "/v1/applied"
	// HealthPath answers while the process serves, ReadinessPath once a
	// configuration is in force.
	HealthPath    = "/healthz"
	ReadinessPath = "/readyz"
	MetricsPath   = "/debug/vars"
)

// Status is what a daemon says of itself and of the fleet.
type Status struct {
	InstanceID    string `json:"instance-id"`
	FailureDomain string `json:"failure-domain"`
	// Version is the version in force, 0 for none, and Digest its document's.
	Version versioner.Version `json:"version"`
	Digest  string            `json:"digest"`
	DistributionStatus
	// Targets holds the membership records, sorted by instance.
	Targets []tracker.Record `json:"targets"`
	// TargetViews says why this daemon uses each target or does not.
	TargetViews []picker.TargetView `json:"choices,omitempty"`
}

// Role is a daemon's part in the spreading.
type Role string

// The roles. A relay watches the store, a follower is fed by another daemon,
// and a joining daemon looks for one.
const (
	RoleRelay    Role = "relay"
	RoleFollower Role = "follower"
	RoleJoining  Role = "joining"
)

// DistributionStatus is a daemon's place in the spreading and what it heard of the fleet.
type DistributionStatus struct {
	Role Role `json:"role,omitempty"`
	// Parent feeds this daemon; it is "" for the root of a failure domain.
	Parent   string `json:"parent,omitempty"`
	Depth    int    `json:"depth"`
	Children int    `json:"children"`
	// IsConfirmed says that the version in force was not taken on trust.
	IsConfirmed bool `json:"confirmed"`
	// HeadVersion is the newest version that the store is known to have held,
	// HeadAgeMS milliseconds ago.
	HeadVersion versioner.Version `json:"head-version"`
	HeadAgeMS   int64             `json:"head-age-ms"`
	// DaemonsByVersion counts the daemons heard of by the version in force.
	DaemonsByVersion []VersionCount `json:"daemons-by-version,omitempty"`
	// StaleDaemons names a few of the daemons that are behind.
	StaleDaemons []StaleDaemon `json:"laggards,omitempty"`
}

// VersionCount is a number of daemons with one version in force.
type VersionCount struct {
	Version versioner.Version `json:"version"`
	Daemons int               `json:"daemons"`
}

// StaleDaemon is a daemon that is behind.
type StaleDaemon struct {
	InstanceID string            `json:"instance-id"`
	Version    versioner.Version `json:"version"`
	Reason     string            `json:"reason"`
}

func (s *API) status(c echo.Context) error {
	status := Status{InstanceID: s.InstanceID, FailureDomain: s.Domain, Targets: s.Table.All()}
	if snapshot := s.Applier.Current(); snapshot != nil {
		status.Version = snapshot.Version()
		status.Digest = snapshot.Digest.String()
	}
	if s.Distribution != nil {
		status.DistributionStatus = s.Distribution()
	}
	if s.TargetViews != nil {
		status.TargetViews = s.TargetViews()
	}
	return c.JSON(http.StatusOK, status)
}

// AppliedAnswer lists the newest versions that a daemon put in force since it
// started, oldest first.
type AppliedAnswer struct {
	InstanceID string            `json:"instance-id"`
	Applied    []applier.Applied `json:"applied"`
}

func (s *API) applied(c echo.Context) error {
	return c.JSON(http.StatusOK, AppliedAnswer{InstanceID: s.InstanceID, Applied: s.Applier.History()})
}

func (s *API) health(c echo.Context) error { return c.NoContent(http.StatusNoContent) }

func (s *API) readiness(c echo.Context) error {
	if s.Applier.Current() == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no configuration in force")
	}
	return c.NoContent(http.StatusNoContent)
}
