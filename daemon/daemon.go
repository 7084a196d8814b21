// Package daemon assembles the parts of the program that runs beside each target
// of the mesh: it routes callers' requests to targets, executes calls at its own
// target, and distributes the configuration among the daemons.
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
	"bambooweir.example/bambooweir/canarier"
	"bambooweir.example/bambooweir/executor"
	"bambooweir.example/bambooweir/fencer"
	"bambooweir.example/bambooweir/forwarder"
	"bambooweir.example/bambooweir/limiter"
	"bambooweir.example/bambooweir/listener"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/picker"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/spreader"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// Daemon holds the parts of one target's daemon. Create it with New and start it with
// Run.
type Daemon struct {
	// cfg holds the settings in force; Reload replaces it as a whole.
	cfg       atomic.Pointer[loader.Daemon]
	log       *zap.Logger
	applier   *applier.Applier
	table     *tracker.Table
	spreader  *spreader.Spreader
	announcer *announcer.Announcer
	limiter   *limiter.Limiter
	executor  *executor.Executor
	forwarder *forwarder.Forwarder
	// quarantine holds the requests under which targets have ended.
	quarantine *quarantiner.Table
	// quoter holds the calls of tenants to their quotas.
	quoter   *quoter.Quoter
	rollouts *canarier.Part
	// rolloutLeader is nil if the daemon follows no roll-outs.
	rolloutLeader *canarier.Leader
	callerServer  *listener.Server
	operatorAPI   *operator.API
	// metrics and histograms are the values that the metrics endpoint serves.
	metrics    *expvar.Map
	histograms *metrics.Set
	// stopping is set once a planned stop has begun; readiness checks then fail, so
	// that callers are sent to other daemons.
	stopping atomic.Bool
}

// New assembles a daemon with the given settings. The daemon serves nothing until
// Run is called.
func New(cfg *loader.Daemon, store storer.Client, log *zap.Logger) *Daemon {
	d := &Daemon{log: log, applier: &applier.Applier{Domain: cfg.FailureDomain}, table: new(tracker.Table)}
	d.cfg.Store(cfg)
	d.spreader = &spreader.Spreader{
		InstanceID: cfg.InstanceID, Domain: cfg.FailureDomain, PeerAddress: cfg.PeerAddress,
		Store: store, Applier: d.applier, Table: d.table, Log: log, Settings: spreaderSettings(cfg),
	}
	d.announcer = &announcer.Announcer{
		Log: log,
		Self: tracker.Record{
			InstanceID: cfg.InstanceID, Incarnation: uint64(time.Now().UnixNano()),
			Domain: cfg.FailureDomain, PeerAddress: cfg.PeerAddress, LinkKbps: int(cfg.LinkMbps * 1000),
		},
		Predecessor: d.predecessor,
		Departures:  &announcer.DepartureLog{Store: store, InstanceID: cfg.InstanceID},
		OnChange: func(r tracker.Record) {
			d.executor.ObserveTarget(r.State == tracker.StateGone && !r.TargetLeaving)
			d.spreader.Announce(context.Background(), []tracker.Record{r})
		},
	}
	d.spreader.OnOwnHistory = d.announcer.LearnFromPeers
	d.quarantine = &quarantiner.Table{Log: log, OnChange: d.spreader.SpreadSuspicions}
	d.spreader.Quarantine = d.quarantine
	d.limiter = &limiter.Limiter{Applier: d.applier, Service: d.announcer.Service, Announced: d.announcer.Slots, WarmsUp: d.announcer.WarmsUp}
	d.executor = &executor.Executor{
		InstanceID: cfg.InstanceID, Incarnation: d.announcer.Self.Incarnation, Log: log,
		Target: d.announcer.TargetURL, Draining: d.announcer.Draining,
		Service: d.announcer.Service, Admit: d.admit, Load: d.targetLoad, Reached: d.recordReachability,
		TargetRun: d.announcer.TargetRun, OnLeaving: d.announcer.MarkLeaving,
		Quarantine: d.quarantine, OnInterrupt: d.announcer.ReportUnreachable,
	}
	d.limiter.RateLimit = d.rateLimit
	d.executor.Requester.MaxConnections = d.maxConnections
	d.executor.Requester.Log = log
	d.executor.Requester.MaxHeadBytes = cfg.TargetHeadBytes
	d.executor.Requester.MaxBufferedBytes = answerBudget(cfg)
	d.executor.BodyPacer.Kbps = int(cfg.LinkMbps * 1000)
	d.forwarder = &forwarder.Forwarder{
		Applier: d.applier, Picker: &picker.Picker{Table: d.table, Domain: cfg.FailureDomain, LinkKbps: int(cfg.LinkMbps * 1000), Log: log}, Log: log,
		InstanceID: cfg.InstanceID, RunLocal: d.executor.Run, Service: func() string { return d.cfg.Load().TargetService },
		Quarantine: d.quarantine,
	}
	d.forwarder.Answers = &limiter.ByteBudget{Max: answerBudget(cfg)}
	d.forwarder.Throttler.Ratio, d.forwarder.Picker.NearBytes = cfg.SpillRatio, cfg.NearBytes
	d.quoter = d.newQuoter(cfg)
	d.forwarder.Quota, d.executor.Quota = d.quoter, d.quoter
	d.forwarder.OnLargeBody = d.executor.BodyPacer.Charge
	d.executor.TrialHolder = d.forwarder.TrialHolder
	bodies := newBodyBudget(cfg)
	d.executor.Bodies = bodies
	d.callerServer = &listener.Server{Handler: d.forwarder, Limits: d.callerLimits, Bodies: bodies, Log: d.log}
	d.forwarder.Retrier.Daemons = d.fleetSize
	if cfg.Platform {
		d.configurePlatform()
	}
	d.configureRollouts(store)
	d.executor.Requester.IDField = d.executor.Headers.WithDefaults().RequestID
	d.applySettings(cfg)
	d.executor.Calls.MaxBytes = memoryShare(cfg, fencer.DefaultMaxBytes, keptAnswersPercent)
	d.executor.KeyCoordinator.Keys.MaxBytes = memoryShare(cfg, fencer.DefaultMaxKeyBytes, keyAnswersPercent)
	d.executor.KeyCoordinator.Peers = d.table
	d.executor.KeyCoordinator.Ask = d.forwarder.Ask
	d.executor.KeyCoordinator.Retention = d.keyRetention
	d.executor.KeyCoordinator.Joined = time.Now()
	d.operatorAPI = &operator.API{
		InstanceID: cfg.InstanceID, Domain: cfg.FailureDomain, Applier: d.applier, Table: d.table,
		Acceptor: newAcceptor(cfg, store), TargetViews: d.forwarder.Picker.Targets,
		Distribution: d.distributionStatus, Quarantine: d.quarantine, Explain: d.forwarder.Explain,
		Tenants: &d.forwarder.Tenants, UnknownKeys: &d.forwarder.Counters.UnknownKeys,
		Quotas: d.quoter.Views,
	}
	if store, ok := store.(*platform.Store); ok {
		store.OnRestore = d.handleRestore
	}
	d.operatorAPI.Acceptor.Known = d.spreader.Known
	if d.rolloutLeader != nil {
		d.operatorAPI.Rollouts = d.rolloutLeader.Views
	}
	d.publishMetrics()
	return d
}

// newAcceptor returns the acceptor of configuration changes.
func newAcceptor(cfg *loader.Daemon, store storer.Client) *acceptor.Acceptor {
	return &acceptor.Acceptor{
		Store: store, Policy: &authorizer.Authorizer{BootstrapSHA256: cfg.BootstrapTokenSHA256},
		Timeout: loader.Milliseconds(cfg.ChangeTimeoutMS), RecentBytes: cfg.HeadBytes,
		HistoryVersions: cfg.HistoryVersions,
	}
}

// peerHandler returns the handler that accepts control links and call links from
// other daemons.
func (d *Daemon) peerHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(messenger.ControlPath, linkHandler(func(l *messenger.Link) error { return d.spreader.Serve(ctx, l) }))
	mux.HandleFunc(messenger.CallPath, linkHandler(func(l *messenger.Link) error { return d.executor.Serve(ctx, l) }))
	return mux
}

// linkHandler returns a handler that accepts a link and closes it when serve
// returns.
func linkHandler(serve func(*messenger.Link) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		link, err := messenger.Accept(w, r)
		if err != nil {
			return
		}
		defer link.Close()
		_ = serve(link)
	}
}

// operatorHandler returns the handler of the HTTP API that operators and the
// target use.
func (d *Daemon) operatorHandler() http.Handler {
	e := echo.New()
	d.announcer.Register(e)
	if d.cfg.Load().Platform {
		platform.RegisterHeartbeats(e, d.announcer)
	}
	d.operatorAPI.Register(e)
	return e
}

// predecessor returns the record of an earlier process of this daemon, if this one has
// it from its peers.
func (d *Daemon) predecessor() (tracker.Record, bool) {
	r, ok := d.table.Find(d.announcer.Self.InstanceID)
	return r, ok && r.Incarnation < d.announcer.Self.Incarnation
}
