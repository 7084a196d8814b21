package scripter

import (
	"fmt"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/operator"
)

// relayOf waits until a failure domain has a running relay and sets a variable to
// the relay's name.
func (s *scenario) relayOf(ts *testscript.TestScript, args []string) error {
	return waitUntil(func() error {
		for _, name := range s.daemonsOrRunning(nil) {
			status, err := s.status(name)
			if err == nil && status.FailureDomain == args[0] && status.Role == operator.RoleRelay {
				ts.Setenv(args[1], name)
				return nil
			}
		}
		return fmt.Errorf("no running relay in failure domain %s", args[0])
	})
}
