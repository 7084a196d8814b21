package daemon

import (
	"expvar"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bambooweir.example/bambooweir/authorizer"
	"bambooweir.example/bambooweir/logger"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/publisher"
	"bambooweir.example/bambooweir/recoverer"
)

// publishMetrics publishes the daemon's counters and gauges under its instance ID.
func (d *Daemon) publishMetrics() {
	m := new(expvar.Map).Init()
	m.Set("forwarder", publisher.Counters(&d.forwarder.Counters))
	m.Set("quarantine", publisher.Counters(&d.quarantine.Counters))
	m.Set("rollouts", publisher.Counters(&d.rollouts.Counters))
	m.Set("requests-quarantined", expvar.Func(func() any { return len(d.quarantine.Quarantined()) }))
	m.Set("executor", publisher.Counters(&d.executor.Counters))
	m.Set("fencer", publisher.Counters(&d.executor.Calls.Counters))
	m.Set("throttler", publisher.Counters(&d.forwarder.Throttler.Counters))
	m.Set("picker", publisher.Counters(&d.forwarder.Picker.Counters))
	m.Set("load-spread-percent", expvar.Func(func() any { return d.forwarder.Picker.LoadSpreadPercent() }))
	m.Set("retrier", publisher.Counters(&d.forwarder.Retrier.Counters))
	m.Set("limiter", publisher.Counters(&d.limiter.Counters))
	m.Set("quoter", publisher.Counters(&d.quoter.Counters))
	m.Set("announcer", publisher.Counters(&d.announcer.Counters))
	m.Set("tracker", publisher.Counters(&d.table.Counters))
	m.Set("spreader", publisher.Counters(&d.spreader.Counters))
	m.Set("acceptor", publisher.Counters(&d.operatorAPI.Acceptor.Counters))
	if policy, ok := d.operatorAPI.Acceptor.Policy.(*authorizer.Authorizer); ok {
		m.Set("authorizer", publisher.Counters(&policy.Counters))
	}
	m.Set("operator", publisher.Counters(&d.operatorAPI.Counters))
	m.Set("listener", publisher.Counters(&d.callerServer.Counters))
	m.Set("requester", publisher.Counters(&d.executor.Requester.Counters))
	if store, ok := d.spreader.Store.(*platform.Store); ok {
		m.Set("store", publisher.Counters(&store.Counters))
	}
	m.Set("version", expvar.Func(d.versionInForce))
	m.Set("panics", &recoverer.Panics)
	m.Set("log-lines-lost", &logger.LostLines)
	m.Set("key-table", publisher.Counters(&d.executor.KeyCoordinator.Keys.Counters))
	m.Set("daemons", expvar.Func(func() any { return d.fleetSize() }))
	m.Set("calls-running", expvar.Func(func() any { return d.limiter.Load().Running }))
	m.Set("calls-waiting", expvar.Func(func() any { return d.limiter.Load().Waiting }))
	m.Set("slots", expvar.Func(func() any { return d.limiter.Load().Slots }))
	m.Set("target-rate-limit", expvar.Func(d.targetRateLimit))
	m.Set("requests-in-flight", expvar.Func(func() any { return d.forwarder.InFlight() }))
	publisher.Publish(d.cfg.Load().InstanceID, m)
	d.metrics, d.histograms = m, metrics.NewSet()
	d.forwarder.ObserveLatency = d.observeRequest
}

// observeRequest adds the latency of a request to the histogram of its class,
// outcome and cause.
func (d *Daemon) observeRequest(class, outcome, cause string, took time.Duration) {
	name := fmt.Sprintf(`%srequest_seconds{class=%q,outcome=%q,cause=%q}`, publisher.Prefix, class, outcome, cause)
	d.histograms.GetOrCreateHistogram(name).Update(took.Seconds())
}

// metricsPath is the path of the metrics in Prometheus text format.
const metricsPath = "/metrics"

// metricsHandler returns a handler that serves the metrics in Prometheus text
// format.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		publisher.WriteText(w, d.metrics, d.histograms)
	})
	return mux
}

// versionInForce returns the version of the configuration in force, or 0 if there
// is none.
func (d *Daemon) versionInForce() any {
	if snapshot := d.applier.Current(); snapshot != nil {
		return uint64(snapshot.Version())
	}
	return uint64(0)
}

// targetRateLimit returns the calls per second that the target takes, as it says on its
// answers, or -1 if it names no limit.
func (d *Daemon) targetRateLimit() any {
	if notice := d.executor.Notice(); notice.IsLimited {
		return notice.CallsPerSecond
	}
	return -1.0
}

// ControlBytes returns the numbers of bytes that this daemon has sent and received
// over control links.
func (d *Daemon) ControlBytes() (sent, received int64) {
	control := &d.spreader.Counters.Control
	return control.SentBytes.Value(), control.ReceivedBytes.Value()
}
