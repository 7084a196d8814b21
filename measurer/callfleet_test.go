package measurer

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"

	"bambooweir.example/bambooweir/daemon"
	"bambooweir.example/bambooweir/fakestorer"
)

// TestEndedDaemonIsReported guards against a measurement that waits in vain for a daemon that
// ended at once, since another process has its address, and does not say so.
func TestEndedDaemonIsReported(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	f := &callFleet{store: new(fakestorer.Store), cancel: cancel, http: newHTTPClient()}
	f.acceptor.Store = f.store
	f.entry = newCallNode(0, fleetPlan{slots: 1})
	f.nodes = []*callNode{f.entry}
	l, err := net.Listen("tcp", f.entry.cfg.OperatorAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	f.start(ctx, f.entry, daemon.Tuning{})
	defer f.stop()
	<-ctx.Done()
	if err := f.prepare(ctx, fleetPlan{slots: 1}); err == nil || !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
		t.Errorf("error: got %v, want one that says %q", err, syscall.EADDRINUSE)
	}
}

// TestNodesHaveAddressesOfTheirOwn guards against addresses that the source port of another
// process's connection may take before a daemon listens.
func TestNodesHaveAddressesOfTheirOwn(t *testing.T) {
	n := newCallNode(0, fleetPlan{})
	for _, addr := range []string{n.cfg.CallerAddress, n.cfg.PeerAddress, n.cfg.OperatorAddress, n.address} {
		host, _, err := net.SplitHostPort(addr)
		if err != nil || host == "127.0.0.1" {
			t.Errorf("address %s: error %v, want none and another host than that of outgoing connections", addr, err)
		}
	}
}
