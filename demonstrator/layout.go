package demonstrator

import (
	_ "embed"
	"fmt"
	"net/http"

	"bambooweir.example/bambooweir/caller"
)

//go:embed fleet.toml
var fleetConfiguration string

// placement is a service with the number of its targets and where they are.
type placement struct {
	service string
	targets int
	domains []string
}

var (
	magnoliaDomains = []string{"mobile-bay", "selma-row", "natchez-hall"}
	regieDomains    = []string{"quimperle", "moelan", "clohars"}
)

func layout() []placement {
	return []placement{
		{service: "ledger-view", targets: 5, domains: magnoliaDomains},
		{service: "payout-desk", targets: 5, domains: magnoliaDomains},
		{service: "claims-vault", targets: 3, domains: magnoliaDomains},
		{service: "catalogue", targets: 5, domains: regieDomains},
		{service: "comptoir", targets: 3, domains: regieDomains},
		{service: "atelier", targets: 3, domains: regieDomains},
	}
}

// scanBytes is the length of a certificate scan or photograph.
const scanBytes = 256 << 10

// kinds returns one call of each kind that the partners make. Their IDs are
// the kinds' names.
func kinds() []caller.Call {
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
