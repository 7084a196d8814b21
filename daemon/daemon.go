// Package daemon assembles the parts that run beside one target.
package daemon

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/announcer"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/authorizer"
	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/forwarder"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/listener"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/spreader"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// Daemon is one running daemon.
type Daemon struct {
	// cfg holds the settings in force; it is replaced whole by Reload.
	cfg       atomic.Pointer[loader.Daemon]
	log       *zap.Logger
	applier   *applier.Applier
	table     *tracker.Table
	spreader  *spreader.Spreader
	announcer *announcer.Announcer
	limiter   *limiter.Limiter
	executor  *executor.Executor
	forwarder *forwarder.Forwarder
	callers   *listener.Server
	surface   *operator.API
	// metrics and histograms are what the metrics resource shows.
	metrics    *expvar.Map
	histograms *metrics.Set
	// stopping says that callers are to go elsewhere.
	stopping atomic.Bool
}

// New assembles a daemon. Nothing runs before Run.
func New(cfg *loader.Daemon, store storer.Client, log *zap.Logger) *Daemon {
	d := &Daemon{log: log, applier: &applier.Applier{Domain: cfg.FailureDomain}, table: new(tracker.Table)}
	d.cfg.Store(cfg)
	d.spreader = &spreader.Spreader{
		InstanceID: cfg.InstanceID, Domain: cfg.FailureDomain, PeerAddress: cfg.PeerAddress,
		Store: store, Applier: d.applier, Table: d.table, Log: log, Settings: spreadSettings(cfg),
	}
	d.announcer = &announcer.Announcer{
		Log: log,
		Self: tracker.Record{
			InstanceID: cfg.InstanceID, Incarnation: uint64(time.Now().UnixNano()),
			Domain: cfg.FailureDomain, PeerAddress: cfg.PeerAddress, LinkKbps: int(cfg.LinkMbps * 1000),
		},
		OnChange: func(r tracker.Record) {
			d.spreader.Announce(context.Background(), []tracker.Record{r})
		},
	}
	d.limiter = &limiter.Limiter{Applier: d.applier, Service: d.announcer.Service, Announced: d.announcer.Slots}
	d.executor = &executor.Executor{
		InstanceID: cfg.InstanceID, Incarnation: d.announcer.Self.Incarnation, Log: log,
		Target: d.announcer.Target, Draining: d.announcer.Draining,
		Service: d.announcer.Service, Admit: d.admit, Load: d.load, Reached: d.reached,
	}
	d.executor.Requester.MaxConnections = d.connections
	d.executor.BodyPacer.Kbps = int(cfg.LinkMbps * 1000)
	d.forwarder = &forwarder.Forwarder{
		Applier: d.applier, Picker: &picker.Picker{Table: d.table, Domain: cfg.FailureDomain, LinkKbps: int(cfg.LinkMbps * 1000), Log: log}, Log: log,
		InstanceID: cfg.InstanceID, RunLocal: d.executor.Run, Service: func() string { return d.cfg.Load().TargetService },
	}
	d.forwarder.OnLargeBody = d.executor.BodyPacer.Charge
	d.callers = &listener.Server{Handler: d.forwarder, Limits: d.callerLimits}
	d.forwarder.Retrier.Daemons = d.daemons
	if cfg.Platform {
		d.joinPlatform()
	}
	d.settle(cfg)
	d.executor.KeyCoordinator.Peers = d.table
	d.executor.KeyCoordinator.Ask = d.forwarder.Ask
	d.executor.KeyCoordinator.Retention = d.keyRetention
	d.executor.KeyCoordinator.Joined = time.Now()
	d.surface = &operator.API{
		InstanceID: cfg.InstanceID, Domain: cfg.FailureDomain, Applier: d.applier, Table: d.table,
		Acceptor: newAcceptor(cfg, store), TargetViews: d.forwarder.Picker.Targets,
		Distribution: d.spread,
	}
	d.publish()
	return d
}

func newAcceptor(cfg *loader.Daemon, store storer.Client) *acceptor.Acceptor {
	return &acceptor.Acceptor{
		Store: store, Policy: &authorizer.Authorizer{BootstrapSHA256: cfg.BootstrapTokenSHA256},
		Timeout: loader.Milliseconds(cfg.ChangeTimeoutMS), RecentBytes: cfg.HeadBytes,
		HistoryVersions: cfg.HistoryVersions,
	}
}

// peerHandler accepts the links of other daemons.
func (d *Daemon) peerHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(messenger.ControlPath, acceptLink(func(l *messenger.Link) error { return d.spreader.Serve(ctx, l) }))
	mux.HandleFunc(messenger.CallPath, acceptLink(func(l *messenger.Link) error { return d.executor.Serve(ctx, l) }))
	return mux
}

func acceptLink(serve func(*messenger.Link) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		link, err := messenger.Accept(w, r)
		if err != nil {
			return
		}
		defer link.Close()
		_ = serve(link)
	}
}

// operatorHandler is the HTTP surface of operators and of the target.
func (d *Daemon) operatorHandler() http.Handler {
	e := echo.New()
	d.announcer.Register(e)
	if d.cfg.Load().Platform {
		platform.RegisterHeartbeats(e, d.announcer)
	}
	d.surface.Register(e)
	return e
}
