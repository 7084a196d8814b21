package daemon

import (
	"expvar"

	"bambooweir.example/bambooweir/authorizer"
	"bambooweir.example/bambooweir/publisher"
)

// publish shows the daemon's counters under its instance ID.
func (d *Daemon) publish() {
	m := new(expvar.Map).Init()
	m.Set("forwarder", publisher.Counters(&d.forwarder.Counters))
	m.Set("executor", publisher.Counters(&d.executor.Counters))
	m.Set("fencer", publisher.Counters(&d.executor.Calls.Counters))
	m.Set("picker", publisher.Counters(&d.forwarder.Picker.Counters))
	m.Set("retrier", publisher.Counters(&d.forwarder.Retrier.Counters))
	m.Set("limiter", publisher.Counters(&d.limiter.Counters))
	m.Set("announcer", publisher.Counters(&d.announcer.Counters))
	m.Set("spreader", publisher.Counters(&d.spreader.Counters))
	m.Set("acceptor", publisher.Counters(&d.surface.Acceptor.Counters))
	if policy, ok := d.surface.Acceptor.Policy.(*authorizer.Authorizer); ok {
		m.Set("authorizer", publisher.Counters(&policy.Counters))
	}
	m.Set("operator", publisher.Counters(&d.surface.Counters))
	m.Set("version", expvar.Func(d.versionInForce))
	publisher.Publish(d.cfg.Load().InstanceID, m)
}

func (d *Daemon) versionInForce() any {
	if snapshot := d.applier.Current(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// ControlBytes returns the bytes that the daemon sent and received over control
// links.
func (d *Daemon) ControlBytes() (sent, received int64) {
	control := &d.spreader.Counters.Control
	return control.SentBytes.Value(), control.ReceivedBytes.Value()
}
