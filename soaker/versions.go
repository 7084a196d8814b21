package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
)

// InForceInTime is the invariant that each daemon in touch routes by a version of the
// platform's store once VersionsConfig.Bound has passed since the store confirmed it.
const InForceInTime checker.Invariant = "in-force-in-time"

const (
	// probeInterval is the time between two requests for a new route to one daemon.
	probeInterval = 50 * time.Millisecond
	// probeExtra is how long after the bound the requests go on.
	probeExtra = 6 * time.Second
	// targetHeartbeat is the time between two heartbeats of a target.
	targetHeartbeat = 1500 * time.Millisecond
	// maxLead is the longest time by which a fault begins before the change.
	maxLead = 100 * time.Millisecond
	// minVersionFault and maxVersionFault bound how long a fault lasts.
	minVersionFault, maxVersionFault = time.Second, 4 * time.Second
	// burstInterval is the time between two versions of one change.
	burstInterval = 100 * time.Millisecond
	// slowRun and slowPause are for how long a slowed daemon runs and stands still by turns.
	slowRun, slowPause = 20 * time.Millisecond, 60 * time.Millisecond
	versionsHost       = "versions.example"
	versionsService    = "ledger-view"
)

// VersionsConfig configures RunVersions. Program, Dir, Changes, Daemons and Bound must be set.
type VersionsConfig struct {
	Program, Dir string
	Seed         uint64
	Changes      int
	Daemons      int
	// Fault begins just before each change on up to Victims daemons.
	Fault   VersionFault
	Victims int
	// Burst is the number of versions of one change, burstInterval apart; 0 means one.
	Burst int
	// Bound is the time within which a version must be in force, and Touch the time for which
	// a daemon must have run and reached the store for it to count.
	Bound, Touch time.Duration
}

// VersionsResult holds what RunVersions has seen.
type VersionsResult struct {
	// Judged counts the requests that a daemon in touch got later than the bound, Late those
	// that it routed by an older version.
	Judged, Late int
	// Lags holds for each change and daemon in touch when the daemon last routed by an older
	// version, since the confirmation, in ascending order.
	Lags []time.Duration
	// StoreCalls counts the calls of the store during the changes by kind, where the daemons
	// ran throughout.
	StoreCalls map[string]int64
	Violations []checker.Violation
}

// versionsRun is the state of one run.
type versionsRun struct {
	cfg    VersionsConfig
	log    io.Writer
	start  time.Time
	fleet  *launcher.Fleet
	store  *platform.Store
	client *http.Client
	random *rand.Rand
	routes []platform.RouteConfig
	rev    storer.Revision

	mu sync.Mutex
	// outUntil holds until when a daemon is out of touch.
	outUntil map[string]time.Time
	result   VersionsResult
}

// RunVersions runs a fleet of real daemons that take their configuration from the platform's
// store, changes it under faults, and checks when each daemon routes by each version.
func RunVersions(ctx context.Context, cfg VersionsConfig, log io.Writer) (*VersionsResult, error) {
	r := &versionsRun{
		cfg: cfg, log: log, start: time.Now(), fleet: launcher.New(cfg.Program, cfg.Dir),
		client:   &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		random:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		outUntil: make(map[string]time.Time),
	}
	defer r.fleet.Close()
	r.fleet.DirectCalls = !slices.Contains([]VersionFault{CutFromPeers, CutOffGroup, CutRelays, NarrowLinks}, cfg.Fault)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	before := r.storeCalls(ctx)
	for range cfg.Changes {
		if err := r.change(ctx); err != nil {
			return nil, err
		}
	}
	r.result.StoreCalls = r.storeCalls(ctx)
	for name, n := range before {
		r.result.StoreCalls[name] -= n
	}
	slices.Sort(r.result.Lags)
	return &r.result, nil
}

func (r *versionsRun) logf(format string, args ...any) {
	fmt.Fprintf(r.log, "%7.2fs  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// change begins a fault, writes a version shortly afterwards, and requests the new route of
// every daemon until it knows it.
func (r *versionsRun) change(ctx context.Context) error {
	victims := r.drawVictims(ctx)
	lead := time.Duration(r.random.Int64N(int64(maxLead)))
	hold := minVersionFault + time.Duration(r.random.Int64N(int64(maxVersionFault-minVersionFault)))
	pause := time.Duration(r.random.Int64N(int64(time.Second)))
	if err := sleeper.Sleep(ctx, pause); err != nil {
		return err
	}
	var g errgroup.Group
	r.logf("%s %v for %s", r.cfg.Fault, victims, hold)
	if r.cfg.Fault == CutOffGroup {
		r.fleet.CutOff(victims)
		g.Go(func() error {
			defer r.fleet.HealPeers()
			return sleeper.Sleep(ctx, hold)
		})
	} else {
		for _, name := range victims {
			g.Go(func() error { return r.runVersionFault(ctx, name, hold) })
		}
	}
	if err := sleeper.Sleep(ctx, lead); err != nil {
		return err
	}
	for n := range max(r.cfg.Burst, 1) {
		if n > 0 {
			_ = sleeper.Sleep(ctx, burstInterval)
		}
		for r.writeVersion(ctx) != nil {
			if err := sleeper.Sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	confirmed := time.Now()
	r.logf("version %d is confirmed", len(r.routes))
	for _, d := range r.fleet.Daemons() {
		g.Go(func() error { return r.probe(ctx, d, confirmed) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return sleeper.Sleep(ctx, r.cfg.Touch)
}

// probe requests the newest route of a daemon until it has known it for the bound or
// probeExtra has passed since.
func (r *versionsRun) probe(ctx context.Context, d launcher.Daemon, confirmed time.Time) error {
	var lag time.Duration
	hasKnown := false
	end := confirmed.Add(r.cfg.Bound + probeExtra)
	for time.Now().Before(end) {
		sent := time.Now()
		err := r.routesBy(ctx, d)
		r.mu.Lock()
		inTouch := sent.After(r.outUntil[d.Name])
		r.mu.Unlock()
		isOlder := errors.Is(err, errOlderVersion)
		if inTouch && sent.Sub(confirmed) > r.cfg.Bound && (err == nil || isOlder) {
			r.mu.Lock()
			r.result.Judged++
			if isOlder {
				r.result.Late++
			}
			r.mu.Unlock()
			if !isOlder {
				break
			}
		}
		if inTouch && isOlder {
			lag = sent.Sub(confirmed)
			if hasKnown {
				r.addViolation(checker.VersionsOnlyRise, d.Name, fmt.Sprintf("version %d no longer in force %s after the store had confirmed it", len(r.routes), lag))
			}
		}
		hasKnown = inTouch && (hasKnown || err == nil)
		if err := sleeper.Sleep(ctx, probeInterval); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.result.Lags = append(r.result.Lags, lag)
	r.mu.Unlock()
	if lag > r.cfg.Bound {
		r.addViolation(InForceInTime, d.Name, fmt.Sprintf("version %d not in force %s after the store had confirmed it, at %.2fs, want at most %s",
			len(r.routes), lag.Round(time.Millisecond), confirmed.Sub(r.start).Seconds(), r.cfg.Bound))
	}
	return nil
}

// addViolation records and logs a violation of an invariant by a daemon.
func (r *versionsRun) addViolation(invariant checker.Invariant, daemon, detail string) {
	r.logf("%s: %s", daemon, detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, checker.Violation{Invariant: invariant, Subject: daemon, Detail: detail})
}
