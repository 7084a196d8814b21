package scripter

import (
	"fmt"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/operator"
)

// relayOf sets a variable to the name of a running relay of a failure domain,
// once there is one.
func (s *scenario) relayOf(ts *testscript.TestScript, args []string) error {
	return await(func() error {
		for _, name := range s.running(nil) {
			status, err := s.status(name)
			if err == nil && status.FailureDomain == args[0] && status.Role == operator.RoleRelay {
				ts.Setenv(args[1], name)
				return nil
			}
		}
		return fmt.Errorf("no relay of %s", args[0])
	})
}
