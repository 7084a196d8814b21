package demonstrator

import (
	_ "embed"
	"fmt"
	"net/http"

	"bambooweir.example/bambooweir/caller"
)

// fleetConfiguration is the edits file of the first version.
//
//go:embed fleet.toml
var fleetConfiguration string

// placement is a service, the number of its targets and their failure domains.
type placement struct {
	service string
	targets int
	domains []string
}

// The failure domains of each partner's targets.
var (
	magnoliaDomains = []string{"mobile-bay", "selma-row", "natchez-hall"}
	regieDomains    = []string{"quimperle", "moelan", "clohars"}
)

// placements returns the placement of each service.
func placements() []placement {
	return []placement{
		{service: "ledger-view", targets: 5, domains: magnoliaDomains},
		{service: "payout-desk", targets: 5, domains: magnoliaDomains},
		{service: "claims-vault", targets: 3, domains: magnoliaDomains},
		{service: "catalogue", targets: 5, domains: regieDomains},
		{service: "comptoir", targets: 3, domains: regieDomains},
		{service: "atelier", targets: 3, domains: regieDomains},
	}
}

// scanBytes is the length of a scan of a certificate or of a photograph.
const scanBytes = 256 << 10

// callKinds returns one call of each kind that the partners make. The ID of each
// is the name of its kind.
func callKinds() []caller.Call {
	return []caller.Call{
		{ID: "share-lookup", Method: http.MethodGet, Path: "/shares/7"},
		{ID: "payout-posting", Method: http.MethodPost, Path: "/payouts"},
		{ID: "certificate-scan", Method: http.MethodPost, Path: "/certificates/41", BodyBytes: scanBytes},
		{ID: "internal-check", Method: http.MethodGet, Path: "/checks/7"},
		{ID: "stock-lookup", Method: http.MethodGet, Path: "/stock/cane"},
		{ID: "order", Method: http.MethodPost, Path: "/orders"},
		{ID: "handle-photograph", Method: http.MethodPost, Path: "/photographs/3", BodyBytes: scanBytes},
	}
}

func instanceName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i+1) }
