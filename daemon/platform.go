package daemon

import (
	"context"
	"net"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/listener"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/spreader"
)

// missedHeartbeats is the number of consecutive heartbeats that the target must
// miss before it is marked gone.
const missedHeartbeats = 3

// configurePlatform makes the daemon's parts use the platform's configuration
// format, heartbeats and header fields.
func (d *Daemon) configurePlatform() {
	headers := platform.HeaderNames()
	d.forwarder.Headers = headers
	d.forwarder.FractionalRetryAfter = true
	d.forwarder.FindRunning = d.executor.FindRunning
	d.executor.Headers = headers
	d.executor.EchoesID = true
	d.executor.PromisesNotRun = platform.PromisesNotRun
	// Here the announcer believes a report without a check of its own.
	d.executor.OnInterrupt = nil
	d.executor.RunID = func() string { return d.announcer.Current().RunID }
	d.announcer.HeartbeatTimeout = missedHeartbeats * loader.Milliseconds(d.cfg.Load().TargetHeartbeatMS)
	d.spreader.External = &spreader.External{Key: platform.ConfigKey, Decode: platform.DecodeConfig}
}

// callerLimits returns the limits on callers' requests from the configuration in
// force.
func (d *Daemon) callerLimits() listener.Limits {
	return listener.Limits{
		HeaderBytes:   d.settingValue("max-header-bytes"),
		BodyBytes:     min(d.settingValue("max-body-bytes"), messenger.MaxBodyBytes),
		HeaderTimeout: d.settingDuration("header-timeout-ms"),
		IdleTimeout:   d.settingDuration("idle-timeout-ms"),
	}
}

// serveCallers serves callers' requests until ctx ends.
func (d *Daemon) serveCallers(ctx context.Context) error {
	l, err := net.Listen("tcp", d.cfg.Load().CallerAddress)
	if err != nil {
		return errorx.Decorate(err, "listening for callers")
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if err := d.callerServer.Serve(l); err != nil {
		return err
	}
	// A planned stop closes the listener before it has served the open connections.
	<-ctx.Done()
	d.callerServer.Close()
	return nil
}

// isReady reports whether this daemon can serve callers: it has a configuration
// and is not stopping.
func (d *Daemon) isReady() bool { return !d.stopping.Load() && d.applier.Current() != nil }

// serveReadinessAndMetrics serves readiness checks and metrics, each if the
// settings name an address for it.
func (d *Daemon) serveReadinessAndMetrics(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if d.cfg.Load().ReadyAddress != "" {
		g.Go(func() error { return serve(ctx, d.cfg.Load().ReadyAddress, platform.ReadyHandler(d.isReady)) })
	}
	if d.cfg.Load().MetricsAddress != "" {
		g.Go(func() error {
			// Failing to serve metrics must not stop the daemon.
			if err := serve(ctx, d.cfg.Load().MetricsAddress, d.metricsHandler()); err != nil {
				d.log.Error("metrics-unserved", zap.Error(err))
			}
			return nil
		})
	}
	return g.Wait()
}
