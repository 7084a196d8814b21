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

// missedHeartbeats is the number of announcements of the target in a row that
// must stay out for it to be taken as gone.
const missedHeartbeats = 3

// joinPlatform makes the parts take configuration, heartbeats and header fields
// from the platform.
func (d *Daemon) joinPlatform() {
	headers := platform.Dialect()
	d.forwarder.Headers = headers
	d.forwarder.FractionalRetryAfter = true
	d.forwarder.IsRunning = d.executor.IsRunning
	d.executor.Headers = headers
	d.executor.EchoesID = true
	d.executor.RunID = func() string { return d.announcer.Current().RunID }
	d.executor.Requester.IDField = headers.RequestID
	d.announcer.HeartbeatTimeout = missedHeartbeats * loader.Milliseconds(d.cfg.Load().TargetHeartbeatMS)
	d.spreader.External = &spreader.External{Key: platform.ConfigKey, Decode: platform.DecodeConfig}
}

// callerLimits returns what the configuration in force lets callers send.
func (d *Daemon) callerLimits() listener.Limits {
	return listener.Limits{
		HeaderBytes:   d.value("max-header-bytes"),
		BodyBytes:     min(d.value("max-body-bytes"), messenger.MaxBodyBytes),
		HeaderTimeout: d.setting("header-timeout-ms"),
		IdleTimeout:   d.setting("idle-timeout-ms"),
	}
}

// serveCallers serves the callers until ctx ends.
func (d *Daemon) serveCallers(ctx context.Context) error {
	l, err := net.Listen("tcp", d.cfg.Load().CallerAddress)
	if err != nil {
		return errorx.Decorate(err, "listening for callers")
	}
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		d.callers.Close()
	})
	defer stop()
	return d.callers.Serve(l)
}

// isReady says whether callers may be sent to this daemon.
func (d *Daemon) isReady() bool { return !d.stopping.Load() && d.applier.Current() != nil }

// serveAsides serves what the platform asks beside calls, where there are
// addresses for it.
func (d *Daemon) serveAsides(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if d.cfg.Load().ReadyAddress != "" {
		g.Go(func() error { return serve(ctx, d.cfg.Load().ReadyAddress, platform.ReadyHandler(d.isReady)) })
	}
	if d.cfg.Load().MetricsAddress != "" {
		g.Go(func() error {
			// A daemon does its work also where its metrics can't be served.
			if err := serve(ctx, d.cfg.Load().MetricsAddress, d.metricsHandler()); err != nil {
				d.log.Error("metrics-unserved", zap.Error(err))
			}
			return nil
		})
	}
	return g.Wait()
}
