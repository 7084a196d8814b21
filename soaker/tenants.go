package soaker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// RevokedRefused is the invariant that, once a version is in force everywhere, no daemon
	// serves a call with an API key that the version does not have, and none refuses the
	// key of a tenant that kept it.
	RevokedRefused checker.Invariant = "revoked-refused"

	// steadyTenant keeps steadyKey for the whole run.
	steadyTenant, steadyKey = "steady", "secret-steady"
	// rotatingTenant gets another key every rotationInterval.
	rotatingTenant   = "rotating"
	rotationInterval = 700 * time.Millisecond
	// unknownOneIn and rotatingOneIn are how rare calls are whose key no tenant holds, and
	// calls of the rotating tenant, of which some have a key that was taken away just now.
	unknownOneIn  = 50
	rotatingOneIn = 4
	// revokedKeys is how many keys that were taken away are tried at each daemon.
	revokedKeys = 4
)

// rotatingKey returns the key that the rotating tenant has after n rotations.
func rotatingKey(n int) string { return fmt.Sprintf("secret-rotating-%d", n) }

// steadyTenantEdits returns the edits that define the steady tenant.
func steadyTenantEdits() string { return tenantEdits(steadyTenant, steadyKey) }

// rotatingEdits returns the edits that give the rotating tenant its key after n rotations and
// take away the one before.
func rotatingEdits(n int) string { return tenantEdits(rotatingTenant, rotatingKey(n)) }

// tenantEdits returns the edits that give a tenant one key.
func tenantEdits(name, key string) string {
	return fmt.Sprintf("\n[tenant.%s]\nkey-sha256 = [%q]\n", name, versioner.HashKey(key))
}

// keyOfCall returns the key of the call with the number, and the tenant that holds it.
func (s *soak) keyOfCall(n int) (key, tenant string) {
	switch {
	case n%unknownOneIn == 1:
		return "secret-unknown", ""
	case n%rotatingOneIn == 0:
		s.mu.Lock()
		defer s.mu.Unlock()
		return rotatingKey(s.rotations), rotatingTenant
	}
	return steadyKey, steadyTenant
}

// rotateKeys gives the rotating tenant another key at times, until activeCtx ends.
func (s *soak) rotateKeys(ctx, activeCtx context.Context) {
	defer s.wg.Done()
	for sleeper.Sleep(activeCtx, rotationInterval) == nil {
		s.rotateOnce(ctx)
	}
}

// rotateOnce gives the rotating tenant another key and returns the result of the change.
func (s *soak) rotateOnce(ctx context.Context) caller.ChangeResult {
	s.mu.Lock()
	s.rotations++
	n := s.rotations
	s.mu.Unlock()
	daemons := s.fleet.Daemons()
	d := daemons[n%len(daemons)]
	return s.applyOnce(ctx, caller.Change{
		ID: fmt.Sprintf("rotation-%d", n), Entry: d.Name, URL: d.OperatorURL,
		Author: "ada", Reason: "soak", Edits: rotatingEdits(n),
	})
}

// checkRevocation takes the rotating tenant's key away once more from the settled fleet, and
// tries the keys that it had before, the present one and the steady one at all daemons. It
// returns the daemons that don't put the last version in force.
func (s *soak) checkRevocation(ctx context.Context) []checker.Violation {
	result := s.rotateOnce(ctx)
	for result.Outcome != caller.Accepted || s.recorder.NewestVersion() < result.Version {
		if sleeper.Sleep(ctx, pollInterval) != nil {
			return nil
		}
		if result.Outcome != caller.Accepted {
			result = s.rotateOnce(ctx)
		}
	}
	unconverged := s.waitConverged(ctx)
	if len(unconverged) > 0 {
		return unconverged
	}
	last := s.rotations
	for _, d := range s.fleet.Daemons() {
		for n := max(0, last-revokedKeys); n < last; n++ {
			s.tryKey(ctx, d.Name, rotatingKey(n), rotatingTenant, true)
		}
		s.tryKey(ctx, d.Name, rotatingKey(last), rotatingTenant, false)
		s.tryKey(ctx, d.Name, steadyKey, steadyTenant, false)
	}
	return nil
}

// tryKey makes a lookup with a key at a daemon and checks whether the key is refused.
func (s *soak) tryKey(ctx context.Context, daemon, key, tenant string, isRevoked bool) {
	result := s.callOnce(ctx, caller.Call{
		Method: http.MethodGet, Path: "/shares/7", Entry: daemon, ID: fmt.Sprintf("try-%s-%s", key, daemon), APIKey: key, Tenant: tenant,
	})
	if got := result.Status == http.StatusUnauthorized; got != isRevoked {
		s.violate(RevokedRefused, daemon, fmt.Sprintf("key %s: got status %d (%s), want it refused: %t", key, result.Status, result.Cause, isRevoked))
	}
}
