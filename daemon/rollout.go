package daemon

import (
	"strings"
	"time"

	"bambooweir.example/bambooweir/canarier"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// configureRollouts makes the daemon follow roll-outs, if its settings bound the exposure of
// new versions and its store holds the platform's orders.
func (d *Daemon) configureRollouts(store storer.Client) {
	cfg := d.cfg.Load()
	d.rollouts = &canarier.Part{OnChange: d.spreader.SpreadParts, Log: d.log, HasAllowance: cfg.ExposureAllowance > 0}
	watched, ok := store.(storer.PrefixWatcher)
	if !ok || !cfg.Platform || cfg.ExposureShare == 0 {
		return
	}
	d.spreader.Parts = append(d.spreader.Parts, d.rollouts)
	d.forwarder.Versions = d.rollouts.Versions
	d.executor.Observe = d.observeAnswer
	d.executor.IsBarred = func() bool {
		if d.rollouts.IsIdle() {
			return false
		}
		current := d.announcer.Current()
		isBarred := d.rollouts.IsBarred(current.Service, current.Version)
		if isBarred {
			d.rollouts.Counters.Barred.Add(1)
		}
		return isBarred
	}
	d.rolloutLeader = &canarier.Leader{
		Store: watched, Codec: platform.RolloutCodec(), Part: d.rollouts, Table: d.table, Log: d.log,
		InstanceID: cfg.InstanceID, IsWatcher: d.spreader.IsWatcher, HasService: d.hasService, KnowsFleet: d.spreader.KnowsFleet,
		ExposureShare: cfg.ExposureShare, RollbackWithin: loader.Milliseconds(cfg.RollbackMS), LeaseTTL: loader.Milliseconds(cfg.RelayLeaseMS),
	}
}

// observeAnswer passes an answer of this daemon's target on as evidence about its version, if
// an order is undecided.
func (d *Daemon) observeAnswer(call *messenger.Call, failed bool, took time.Duration) {
	current, snapshot := d.announcer.Current(), d.applier.Current()
	if snapshot == nil || !d.rollouts.IsJudged(current.Service) {
		return
	}
	path, _, _ := strings.Cut(call.Target, "?")
	route := ""
	if r := snapshot.Route(call.Host, path, call.Method); r != nil {
		route = r.Name
	}
	d.rollouts.Observe(current.Service, current.Version, route, failed, !d.announcer.WarmsUp(), took)
}

// hasService reports whether the configuration in force has the service.
func (d *Daemon) hasService(name string) bool {
	snapshot := d.applier.Current()
	if snapshot == nil {
		return false
	}
	_, ok := snapshot.Document.Find(versioner.Key{Kind: versioner.KindService, Name: name})
	return ok
}
