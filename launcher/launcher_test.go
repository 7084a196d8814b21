package launcher

import (
	"errors"
	"os"
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

// TestEndedProcessIsReported guards against a soak that ends with an error since a target has
// ended by itself: errors.Is did not find os.ErrProcessDone in the error of Freeze and Thaw.
func TestEndedProcessIsReported(t *testing.T) {
	f := New(os.Args[0], t.TempDir())
	defer f.Close()
	if err := f.startProcess("t1", "-test.run=^$"); err != nil {
		t.Fatal(err)
	}
	<-f.processes["t1"].done
	for name, signal := range map[string]func(string) error{
		"Freeze": f.Freeze, "Thaw": f.Thaw, "Stop": f.Stop, "Reload": f.Reload,
	} {
		if got := signal("t1"); !errors.Is(got, os.ErrProcessDone) {
			t.Errorf("%s of an ended process: got %v, want %v", name, got, os.ErrProcessDone)
		}
	}
}
