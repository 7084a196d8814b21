package soaker

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/versioner"
)

// configuration is the first version. The retention of idempotency keys, 20 s, is
// longer than a caller repeats a posting: it makes at most three calls of at most
// callTimeout each, 18 s together.
const configuration = `[fleet]
key-retention-ms = 20000

[partner.magnolia]
share-percent = 50

[service.ledger-view]
partner = "magnolia"
slots = 12

[service.payout-desk]
partner = "magnolia"
slots = 12

[route.shares]
partner = "magnolia"
path-prefix = "/shares"
service = "ledger-view"
class = "lookup"

[route.payouts]
partner = "magnolia"
path-prefix = "/payouts"
service = "payout-desk"
class = "posting"
`

var (
	domains  = []string{"mobile-bay", "selma-row", "natchez-hall"}
	services = []string{"ledger-view", "payout-desk"}
)

// startFleet starts the processes and waits until the first version is in force on
// all daemons.
func (s *soak) startFleet(ctx context.Context) error {
	behavior, err := json.Marshal(usualBehavior)
	if err != nil {
		return err
	}
	s.fleet.TargetArgs = []string{"--behavior", string(behavior)}
	if err := s.fleet.StartStore(); err != nil {
		return err
	}
	go s.recorder.WatchStore(ctx, &platform.Store{BaseURL: s.fleet.StoreURL()})
	for n := range cmp.Or(s.cfg.Daemons, defaultDaemonCount) {
		if err := s.addInstance(ctx, n); err != nil {
			return err
		}
	}
	first := s.fleet.Daemons()[0]
	for {
		result := s.caller.Apply(ctx, caller.Change{
			ID: "first", Entry: first.Name, URL: first.OperatorURL,
			Author: "ada", Reason: "the first version", Edits: configuration + steadyTenantEdits() + rotatingEdits(0),
		})
		if result.Outcome == caller.Accepted {
			break
		}
		if sleeper.Sleep(ctx, pollInterval) != nil {
			return errors.New("first version: " + result.Cause)
		}
	}
	if unconverged := s.waitConverged(ctx); len(unconverged) > 0 {
		return errors.New(unconverged[0].String())
	}
	s.logf("%d daemons and targets are up, version 1 is in force", len(s.fleet.Daemons()))
	return nil
}

// addInstance starts daemon n and a target beside it. Daemons are assigned to the
// failure domains in turn, and the service alternates with each full turn.
func (s *soak) addInstance(ctx context.Context, n int) error {
	name := fmt.Sprintf("d%d", n)
	if err := s.fleet.StartDaemon(name, domains[n%len(domains)]); err != nil {
		return err
	}
	d, err := s.fleet.Daemon(name)
	if err != nil {
		return err
	}
	go s.recorder.WatchDaemon(ctx, name, d.OperatorURL)
	service := services[n/len(domains)%len(services)]
	return s.fleet.StartTarget(fmt.Sprintf("t%d", n), name, service)
}

// readVersion returns the version that a daemon has in force.
func readVersion(ctx context.Context, operatorURL string) (versioner.Version, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operatorURL+operator.StatusPath, nil)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var status operator.Status
	err = json.NewDecoder(res.Body).Decode(&status)
	return status.Version, err
}
