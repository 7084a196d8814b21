package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// minDrainTime is the shortest time that a drain waits even if nothing is in
	// flight, so that other daemons and callers learn that this daemon is leaving.
	minDrainTime = time.Second
	// acknowledgeTimeout bounds the wait for entry daemons (the daemons that sent
	// the calls) to acknowledge answers.
	acknowledgeTimeout = 500 * time.Millisecond
	// handoverTimeout bounds the transfer of idempotency keys to other daemons.
	handoverTimeout = 5 * time.Second
	// callerGracePeriod is how long callers are still served after a stop has
	// begun. The platform probes readiness once a second and stops sending callers
	// after two failed probes.
	callerGracePeriod = 2200 * time.Millisecond
	// targetGracePeriod is how long this daemon's target still receives calls after
	// a stop has begun. Most of them end within the rest of callerGracePeriod.
	targetGracePeriod = 1300 * time.Millisecond
	// stopMargin is the part of the stop limit that draining leaves unused, so that
	// the process exits by itself before the limit.
	stopMargin = time.Second
	// drainPollInterval is the interval at which a drain checks for calls in flight.
	drainPollInterval = 10 * time.Millisecond
	// closeTimeout bounds the graceful shutdown of an HTTP server, and the wait
	// for the departure record to be sent.
	closeTimeout = 300 * time.Millisecond
	// readHeaderTimeout bounds the reading of a request's header by the servers for
	// peers, operators, readiness checks and metrics.
	readHeaderTimeout = 10 * time.Second
)

// InterruptedError reports that a planned stop ended while requests or calls were
// in flight.
type InterruptedError struct {
	// CallerRequests counts the callers' requests that got no answer, and
	// TargetCalls the calls that were in flight at this daemon's target.
	CallerRequests, TargetCalls int
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("stop interrupted %d caller requests and %d calls at the target", e.CallerRequests, e.TargetCalls)
}

// Run serves until ctx ends, and then performs a planned stop: it withdraws this
// daemon from routing, refuses new calls and finishes those in flight. It returns
// an *InterruptedError if abort ends or the drain limit passes before they have
// finished.
func (d *Daemon) Run(ctx, abort context.Context) error {
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return d.serveCallers(serving) })
	g.Go(func() error { return d.serveReadinessAndMetrics(serving) })
	g.Go(func() error {
		return serve(serving, cmp.Or(d.cfg.Load().PeerListenAddress, d.cfg.Load().PeerAddress), d.peerHandler(serving))
	})
	g.Go(func() error { return serve(serving, d.cfg.Load().OperatorAddress, d.operatorHandler()) })
	g.Go(func() error {
		d.spreader.Run(serving)
		return nil
	})
	g.Go(func() error {
		d.announcer.Run(serving)
		return nil
	})
	if d.rolloutLeader != nil {
		g.Go(func() error {
			d.rolloutLeader.Run(serving)
			return nil
		})
	}
	g.Go(func() error {
		d.executor.KeyCoordinator.Run(serving)
		return nil
	})
	g.Go(func() error {
		d.observeQuotaMembers(serving)
		return nil
	})
	g.Go(func() error {
		defer end()
		select {
		case <-serving.Done():
			return nil
		case <-ctx.Done():
			return d.drain(serving, abort)
		}
	})
	d.log.Info("daemon-started", zap.String("failure-domain", d.cfg.Load().FailureDomain), zap.Uint64("incarnation", d.announcer.Self.Incarnation))
	if d.cfg.Load().BootstrapTokenSHA256 == "" {
		d.log.Warn("changes-unprotected", zap.String("setting", "bootstrap-token-sha256"))
	}
	return g.Wait()
}

// drain withdraws this daemon from routing, waits for the calls in flight, and
// hands over idempotency keys. It ends early when abort ends or the drain limit
// has passed.
func (d *Daemon) drain(serving, abort context.Context) error {
	limit := d.drainLimit()
	d.log.Info("stop-begun", zap.Int("entered", d.forwarder.InFlight()), zap.Int("running", d.executor.InFlight()), zap.Duration("limit", limit))
	start := time.Now()
	abort, cancel := context.WithTimeout(abort, limit)
	defer cancel()
	d.stopping.Store(true)
	d.forwarder.SetStopEnd(start.Add(limit))
	d.executor.SetStopEnd(start.Add(limit))
	d.callerServer.Drain()
	hasReadinessProbe := d.cfg.Load().ReadyAddress != ""
	if hasReadinessProbe {
		// The platform still sends callers here, so the target keeps serving for a
		// while.
		_ = sleeper.Sleep(abort, min(targetGracePeriod, limit/4))
	}
	d.announcer.Drain()
	d.executor.Drain(serving)
	if hasReadinessProbe {
		// The platform sends callers here until two readiness probes have failed.
		_ = sleeper.Sleep(abort, min(callerGracePeriod, limit/2)-time.Since(start))
	}
	d.forwarder.Drain()
	d.callerServer.CloseIdle()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	var idleSince time.Time
	for {
		select {
		case <-abort.Done():
			return d.reportInterrupted()
		case now := <-tick.C:
			if d.forwarder.InFlight() > 0 || d.executor.InFlight() > 0 || d.callerServer.Unanswered() > 0 {
				idleSince = time.Time{}
				continue
			}
			if idleSince.IsZero() {
				idleSince = now
			}
			acknowledged := d.executor.Calls.Len() == 0 || now.Sub(idleSince) > acknowledgeTimeout
			if acknowledged && now.Sub(start) > min(minDrainTime, limit/2) {
				d.stopServingCallers(abort)
				d.handOverAndLeave(abort)
				d.flushDeparture(serving)
				d.forgetDeparture(serving)
				d.log.Info("stopped")
				return nil
			}
		}
	}
}

// stopServingCallers accepts no further connections of callers, and answers the requests that
// are on their way over those that are open, until ctx ends.
func (d *Daemon) stopServingCallers(ctx context.Context) {
	d.callerServer.StopAccepting()
	for !d.callerServer.IsQuiet() && sleeper.Sleep(ctx, drainPollInterval) == nil {
	}
}

// flushDeparture waits until the record of this daemon's departure has been sent
// to the connected daemons, for at most closeTimeout.
func (d *Daemon) flushDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	d.spreader.Flush(ctx)
}

// forgetDeparture removes the saved departure of a target that has ended, for at most
// closeTimeout.
func (d *Daemon) forgetDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	d.announcer.ForgetDeparture(ctx)
}

// reportInterrupted returns an *InterruptedError that counts the requests and
// calls in flight, or nil if there are none.
func (d *Daemon) reportInterrupted() error {
	err := &InterruptedError{CallerRequests: max(d.forwarder.InFlight(), d.callerServer.Unanswered()), TargetCalls: d.executor.InFlight()}
	if err.CallerRequests == 0 && err.TargetCalls == 0 {
		return nil
	}
	d.log.Warn("stopped-with-cuts", zap.Int("entered", err.CallerRequests), zap.Int("running", err.TargetCalls))
	return err
}

// drainLimit returns the longest duration of a planned stop.
func (d *Daemon) drainLimit() time.Duration {
	if limit := time.Duration(d.cfg.Load().StopLimitS * float64(time.Second)); limit > 0 {
		return max(limit-stopMargin, limit/2)
	}
	return d.settingDuration("drain-ms")
}

// keyRetention returns how long idempotency keys are kept.
func (d *Daemon) keyRetention() time.Duration { return d.settingDuration("key-retention-ms") }

// settingDuration returns the value of a millisecond setting for the target's
// service.
func (d *Daemon) settingDuration(name string) time.Duration {
	return loader.Milliseconds(d.settingValue(name))
}

// settingValue returns the value of a setting for the target's service, in the
// setting's unit. Without a configuration it returns the default.
func (d *Daemon) settingValue(name string) int {
	if snapshot := d.applier.Current(); snapshot != nil {
		return snapshot.Value(name, d.announcer.Service(), "")
	}
	known, _ := versioner.FindSetting(name)
	return known.Default
}

// handOverAndLeave transfers the idempotency keys to other daemons, and announces
// that this daemon is gone and whether the transfer succeeded.
func (d *Daemon) handOverAndLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	err := d.executor.HandOver(ctx)
	if err != nil {
		d.log.Warn("keys-lost", zap.Error(err))
	}
	d.announcer.Leave(err == nil)
}

// serve serves HTTP until ctx ends. It then shuts the server down gracefully, and
// closes it if requests are still in flight after closeTimeout.
func serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if server.Shutdown(closing) != nil {
			_ = server.Close()
		}
	})
	err = server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		stop()
		return errorx.Decorate(err, "serving %s", addr)
	}
	<-closed
	return nil
}
