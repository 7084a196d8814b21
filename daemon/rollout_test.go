package daemon

import (
	"testing"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/canarier"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/loader"
)

// TestRolloutsNeedASetting guards against daemons of deployments without roll-outs that watch
// for orders, or tell versions apart.
func TestRolloutsNeedASetting(t *testing.T) {
	for name, tc := range map[string]struct {
		platform bool
		share    float64
		want     bool
	}{
		"a share of exposure":  {platform: true, share: 0.1, want: true},
		"no share":             {platform: true},
		"without the platform": {share: 0.1},
		"neither":              {},
	} {
		cfg := loader.Defaults()
		cfg.InstanceID, cfg.FailureDomain = "rollouts-"+name, "mobile-bay"
		cfg.Platform, cfg.ExposureShare = tc.platform, tc.share
		d := New(cfg, new(fakestorer.Store), zap.NewNop())
		got := []bool{d.rolloutLeader != nil, d.forwarder.Versions != nil, d.executor.IsBarred != nil, d.executor.Observe != nil, len(d.spreader.Parts) > 0}
		for i, isSet := range got {
			if isSet != tc.want {
				t.Errorf("%s: got part %d set: %v, want %v", name, i, isSet, tc.want)
			}
		}
	}
}

// TestBarredVersionIsRefusedByItsDaemon guards against calls that reach a version after its
// roll-back, from entry daemons that have not heard of it.
func TestBarredVersionIsRefusedByItsDaemon(t *testing.T) {
	cfg := loader.Defaults()
	cfg.InstanceID, cfg.FailureDomain, cfg.Platform, cfg.ExposureShare = "barred", "mobile-bay", true, 0.1
	d := New(cfg, new(fakestorer.Store), zap.NewNop())
	in := d.announcer.Current()
	in.Service, in.Address, in.State, in.Version, in.Slots = "payout-desk", "127.0.0.1:1", "ready", "v2", 12
	if err := d.announcer.Announce(in); err != nil {
		t.Fatal(err)
	}
	if d.executor.IsBarred() {
		t.Error("got a barred target before any order, want it in use")
	}
	d.rollouts.Publish(canarier.Directive{Service: "payout-desk", Version: "v2", Revision: 1, State: canarier.StateRolledBack})
	if !d.executor.IsBarred() {
		t.Error("got a target in use whose version was rolled back, want it barred")
	}
}
