package applier

import (
	"errors"
	"testing"

	"bambooweir.example/bambooweir/versioner"
)

// A document that cannot be built because of a fault of ours must not end the daemon: every
// daemon of the fleet gets it.
func TestPanicInBuildIsAnError(t *testing.T) {
	a := &Applier{Domain: "selma-row"}
	if s, err := a.build(nil, versioner.Digest{}); s != nil || !errors.Is(err, errBuildPanic) {
		t.Errorf("got %v, %v, want an error", s, err)
	}
}
