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
	// leaveWait is the least time between the announcement of a stop and its
	// end, in which other daemons and callers learn of it.
	leaveWait = time.Second
	// acknowledgeWait bounds the wait for entry daemons to acknowledge answers.
	acknowledgeWait = 500 * time.Millisecond
	// handoverWait bounds the handing over of idempotency keys.
	handoverWait = 5 * time.Second
	// departWait is how long callers are still served after a stop has begun: the
	// platform asks once a second and sends nobody after two refusals.
	departWait = 2200 * time.Millisecond
	// targetWait is how long the target beside the daemon still gets calls then: what
	// is left of departWait lets most of them end.
	targetWait = 1300 * time.Millisecond
	// stopMargin is what a stop keeps of its limit, so that it ends by itself.
	stopMargin = time.Second
	// drainInterval is the time between two looks at what is in flight.
	drainInterval = 10 * time.Millisecond
	// closeWait bounds the closing of the callers' connections.
	closeWait     = 300 * time.Millisecond
	headerTimeout = 10 * time.Second
)

// CutError reports a planned stop that ended before its calls did.
type CutError struct {
	// Entered and Running count the calls that were cut: requests of callers, and
	// calls at the target.
	Entered, Running int
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("stop cut %d requests of callers and %d calls at the target", e.Entered, e.Running)
}

// Run serves until ctx ends, and then stops as planned: it leaves routing,
// refuses new calls and finishes those in flight. It fails with a *CutError
// when cut ends, or the drain limit passes, before they are finished.
func (d *Daemon) Run(ctx, cut context.Context) error {
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return d.serveCallers(serving) })
	g.Go(func() error { return d.serveAsides(serving) })
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
	g.Go(func() error {
		d.executor.KeyCoordinator.Run(serving)
		return nil
	})
	g.Go(func() error {
		defer end()
		select {
		case <-serving.Done():
			return nil
		case <-ctx.Done():
			return d.drain(serving, cut)
		}
	})
	d.log.Info("daemon-started", zap.String("failure-domain", d.cfg.Load().FailureDomain), zap.Uint64("incarnation", d.announcer.Self.Incarnation))
	if d.cfg.Load().BootstrapTokenSHA256 == "" {
		d.log.Warn("changes-unprotected", zap.String("setting", "bootstrap-token-sha256"))
	}
	return g.Wait()
}

// drain ends this daemon's part in routing and waits for the calls in flight.
func (d *Daemon) drain(serving, cut context.Context) error {
	limit := d.drainLimit()
	d.log.Info("stop-begun", zap.Int("entered", d.forwarder.InFlight()), zap.Int("running", d.executor.InFlight()), zap.Duration("limit", limit))
	start := time.Now()
	cut, cancel := context.WithTimeout(cut, limit)
	defer cancel()
	d.stopping.Store(true)
	d.callers.Drain()
	isAsked := d.cfg.Load().ReadyAddress != ""
	if isAsked {
		// The target goes on while callers are still sent here anyhow.
		_ = sleeper.Sleep(cut, min(targetWait, limit/4))
	}
	d.announcer.Drain()
	d.executor.Drain(serving)
	if isAsked {
		// Callers are sent here until the platform has asked twice in vain.
		_ = sleeper.Sleep(cut, min(departWait, limit/2)-time.Since(start))
	}
	d.forwarder.Drain()
	d.callers.CloseIdle()
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	var quiet time.Time
	for {
		select {
		case <-cut.Done():
			return d.cutShort()
		case now := <-tick.C:
			if d.forwarder.InFlight() > 0 || d.executor.InFlight() > 0 || d.callers.Unanswered() > 0 {
				quiet = time.Time{}
				continue
			}
			if quiet.IsZero() {
				quiet = now
			}
			acknowledged := d.executor.Calls.Len() == 0 || now.Sub(quiet) > acknowledgeWait
			if acknowledged && now.Sub(start) > min(leaveWait, limit/2) {
				d.leave(cut)
				d.flush(serving)
				d.log.Info("stopped")
				return nil
			}
		}
	}
}

// flush waits until the departure has been sent on.
func (d *Daemon) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeWait)
	defer cancel()
	d.spreader.Flush(ctx)
}

// cutShort reports what is in flight when the stop has to end.
func (d *Daemon) cutShort() error {
	err := &CutError{Entered: max(d.forwarder.InFlight(), d.callers.Unanswered()), Running: d.executor.InFlight()}
	if err.Entered == 0 && err.Running == 0 {
		return nil
	}
	d.log.Warn("stopped-with-cuts", zap.Int("entered", err.Entered), zap.Int("running", err.Running))
	return err
}

// drainLimit returns how long a planned stop may take.
func (d *Daemon) drainLimit() time.Duration {
	if limit := time.Duration(d.cfg.Load().StopLimitS * float64(time.Second)); limit > 0 {
		return max(limit-stopMargin, limit/2)
	}
	return d.setting("drain-ms")
}

// keyRetention returns how long idempotency keys are remembered.
func (d *Daemon) keyRetention() time.Duration { return d.setting("key-retention-ms") }

// setting returns a setting in milliseconds for the target's service.
func (d *Daemon) setting(name string) time.Duration { return loader.Milliseconds(d.value(name)) }

// value returns a setting for the target's service, in its own unit.
func (d *Daemon) value(name string) int {
	if snapshot := d.applier.Current(); snapshot != nil {
		return snapshot.Value(name, d.announcer.Service(), "")
	}
	known, _ := versioner.FindSetting(name)
	return known.Default
}

// leave hands over what others have to know, and announces that it is gone.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	err := d.executor.HandOver(ctx)
	if err != nil {
		d.log.Warn("keys-lost", zap.Error(err))
	}
	d.announcer.Leave(err == nil)
}

// serve serves HTTP until ctx ends; requests that are being answered are finished.
func serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeWait)
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
