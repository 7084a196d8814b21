package launcher

import (
	"errors"
	"testing"
)

// TestDirectCalls guards against calls that pass a proxy although a scenario excludes that:
// the scenario fails for silent links when the process of the test, which runs the proxies,
// has no processor. It also guards against a fault that such a link ignores.
func TestDirectCalls(t *testing.T) {
	const upstream = "127.0.0.1:1"
	for _, direct := range []bool{false, true} {
		f := New("", t.TempDir())
		defer f.Close()
		f.DirectCalls = direct
		addr, err := f.addCallLink("d1:peers", upstream)
		if err != nil {
			t.Fatal(err)
		}
		if got := addr == upstream; got != direct {
			t.Errorf("DirectCalls %v, calls reach the upstream address directly: got %v, want %v", direct, got, direct)
		}
		_, err = f.Link("d1:peers")
		var notFound *NotFoundError
		if got := errors.As(err, &notFound); got != direct {
			t.Errorf("DirectCalls %v, the link is unknown: got %v (%v), want %v", direct, got, err, direct)
		}
	}
}
