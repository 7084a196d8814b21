// Package announcer receives the announcements of this daemon's target and
// maintains the membership record that package spreader distributes to the other
// daemons.
//
// A target sends an Announcement by HTTP PUT when it starts and at each change
// of its state, and may repeat it at any time as a heartbeat. The announcer also
// detects a target that stops without an announcement: by failed calls and,
// while there are no calls, by opening a connection, or by missing heartbeats if
// HeartbeatTimeout is set.
package announcer

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

// Path is the HTTP resource to which a target PUTs its announcements.
const Path = "/v1/announcement"

// Counters counts announcements and liveness checks of the target.
type Counters struct {
	// Announced counts accepted announcements, Repeated those of them that
	// changed nothing, Refused those that were rejected as malformed or out of
	// date.
	Announced, Repeated, Refused expvar.Int
	// Overtaken counts heartbeats and departures that were acknowledged without
	// effect, because a newer one or the run's departure had arrived before.
	Overtaken expvar.Int
	// Checks counts connections opened to test whether the target is reachable.
	// Vanished counts how often the target was marked as gone because it was
	// unreachable or sent no heartbeat, Returned how often a check or a call
	// reached it again.
	Checks, Vanished, Returned expvar.Int
	// DeparturesSaved counts departures that were written to the store, DeparturesRecalled
	// those of earlier processes that were read from it, StoreFailures the failed attempts
	// at either.
	DeparturesSaved, DeparturesRecalled, StoreFailures expvar.Int
}

// Announcer derives this daemon's membership record from the target's newest
// announcement, the liveness checks and the daemon's own shutdown. Self and
// OnChange must be set.
type Announcer struct {
	// Self holds the fields of the record that do not change.
	Self tracker.Record
	// OnChange is called with each new record, in the order of their sequence
	// numbers.
	OnChange func(tracker.Record)
	// Predecessor returns the record that an earlier process of this daemon made, if it
	// is known; nil means that it never is.
	Predecessor func() (tracker.Record, bool)
	// Departures keeps the departures of the target's runs beyond the end of this process.
	// Nil keeps them in memory and in the records of other daemons only.
	Departures *DepartureLog
	// HeartbeatTimeout is the time without an announcement after which the
	// target is marked as gone. With 0 the target need not send heartbeats, and
	// the announcer opens connections to test whether it is reachable.
	HeartbeatTimeout time.Duration
	// Dial tests whether the target accepts connections; nil means a TCP
	// connection.
	Dial func(ctx context.Context, addr string) error
	// Log receives an event for each new record; nil disables logging.
	Log      *zap.Logger
	Counters Counters

	// lastReached is when the target last answered a call, in nanoseconds of
	// Unix time. It is 0 after a call that failed to reach the target.
	lastReached atomic.Int64
	// unreachableAt is when a call last failed to reach the target, in nanoseconds of
	// Unix time.
	unreachableAt atomic.Int64
	// wakeMu guards the creation of checkNow.
	wakeMu sync.Mutex
	// checkNow wakes Run after a call that failed to reach the target.
	checkNow chan struct{}

	// view is read without mu. A stored view is never modified.
	view atomic.Pointer[view]

	mu      sync.Mutex
	current Announcement
	record  tracker.Record
	// vanished reports that checks, calls or missing heartbeats show the target
	// as gone, whatever it announced last.
	vanished bool
	// daemonDraining and daemonLeft report that Drain and Leave were called.
	daemonDraining bool
	daemonLeft     bool
	// announcedAt is when the newest announcement arrived.
	announcedAt time.Time
	silence     silence
	// coldMS is the ColdMS of the first announcement of the current run.
	coldMS int
	// endedRuns holds the runs that have departed or been replaced. Their late
	// announcements are rejected.
	endedRuns map[run]bool
	// departedIDs holds, by run id, the time of each departure that named no
	// epoch and did not belong to the current run.
	departedIDs map[string]time.Time
	// leaving is the run that said on an answer that it is leaving, whatever it announces.
	// It is valid if hasLeaving is set.
	leaving    run
	hasLeaving bool
	// handedOver reports that this daemon gave its idempotency keys to others.
	handedOver bool
	departure  departureState
	// held is the newest announcement that waits until the departure is known, heldAt when it
	// arrived, heldTimes the number of announcements of its run that have waited.
	held      Announcement
	heldAt    time.Time
	heldTimes int
}

// run identifies one process lifetime of a target.
type run struct {
	id    string
	epoch uint64
}

// run returns the run that made the announcement.
func (a Announcement) run() run { return run{a.RunID, a.Epoch} }

// lateArrivalWindow is the time after a departure without an epoch in which
// announcements of the same run id are rejected. Networks deliver some
// heartbeats a few seconds late, and without the epoch of the departed run they
// cannot be told apart from those of a later run with the same id.
const lateArrivalWindow = 10 * time.Second

// maxEndedRuns bounds endedRuns and departedIDs. Each is emptied when it reaches
// this size.
const maxEndedRuns = 256

// view holds the newest announcement and the values derived from it.
type view struct {
	announcement Announcement
	baseURL      string
	state        tracker.State
	// daemonDraining is set after Drain and Leave, targetLeaving if the run said on an
	// answer that it is leaving.
	daemonDraining, targetLeaving bool
	// warmUntil is the time until which the target said that it is slow after its start.
	warmUntil time.Time
}

// Register adds the announcement resource to the router.
func (a *Announcer) Register(e *echo.Echo) { e.PUT(Path, a.put) }

// put handles the PUT of an announcement. It answers 400 if the announcement is
// malformed and 409 if it is out of date.
func (a *Announcer) put(c echo.Context) error {
	in, err := decode(c.Request().Body)
	if err != nil {
		a.Counters.Refused.Add(1)
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := a.Receive(c.Request().Context(), in); err != nil {
		a.Counters.Refused.Add(1)
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

// Announce applies a valid announcement. It fails with a *StaleEpochError if a
// run with a higher epoch has announced itself, and with a *StaleError if a
// newer announcement of the same run has been applied or the run has departed or
// been replaced.
func (a *Announcer) Announce(in Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkOrder(in); err != nil {
		return err
	}
	a.Counters.Announced.Add(1)
	a.announcedAt, a.held = time.Now(), Announcement{}
	a.silence.hear()
	wasLeaving := a.isLeaving()
	if in.run() == (run{}) {
		// Runs without an identity can't be told apart; this one may be new.
		a.hasLeaving = false
	}
	if in == a.current && !a.vanished && wasLeaving == a.isLeaving() {
		a.Counters.Repeated.Add(1)
		return nil
	}
	if in.run() != a.current.run() || a.record.Sequence == 0 {
		a.markEnded(a.current.run())
		a.coldMS = in.ColdMS
		a.vanished = false
	}
	a.current = in
	a.vanished = false
	a.publish()
	return nil
}

// checkOrder returns an error if the announcement is older than the current one
// or its run has ended. The caller holds mu.
func (a *Announcer) checkOrder(in Announcement) error {
	if in.Epoch < a.current.Epoch {
		return &StaleEpochError{Got: in.Epoch, Newest: a.current.Epoch}
	}
	if in.RunID == "" {
		return nil
	}
	hasLeft := a.wasSaved(in.Epoch) || a.record.Sequence == 0 && a.wasLeaving(in.Epoch)
	if in.state() == tracker.StateReady && hasLeft {
		return &StaleError{RunID: in.RunID, Sequence: in.Sequence}
	}
	if at, ok := a.departedIDs[in.RunID]; ok && time.Since(at) < lateArrivalWindow {
		return &StaleError{RunID: in.RunID, Sequence: in.Sequence}
	}
	isOvertaken := in.run() == a.current.run() && in.Sequence < a.current.Sequence
	if isOvertaken || a.endedRuns[in.run()] {
		return &StaleError{RunID: in.RunID, Sequence: in.Sequence}
	}
	return nil
}

// publish updates the view, and passes a new record to OnChange if it differs
// from the previous one in more than its sequence number. The caller holds mu,
// which keeps the calls of OnChange in order.
func (a *Announcer) publish() {
	a.view.Store(&view{
		announcement: a.current, baseURL: "http://" + a.current.Address, state: a.state(), daemonDraining: a.daemonDraining, targetLeaving: a.isLeaving(),
		warmUntil: a.announcedAt.Add(time.Duration(a.current.ColdMS) * time.Millisecond),
	})
	next := a.Self
	next.Sequence = a.record.Sequence + 1
	next.Service = a.current.Service
	next.Epoch = a.current.Epoch
	next.State = a.state()
	next.HandedOver = a.handedOver
	next.Slots = a.current.Slots
	next.ColdMS = a.coldMS
	next.Version = a.current.Version
	announced := a.current.state()
	next.TargetLeaving = a.isLeaving() || announced == tracker.StateDraining || announced == tracker.StateGone
	if next.TargetLeaving {
		a.setDeparture(next.Epoch)
	}
	same := a.record
	same.Sequence++
	if a.record.Sequence > 0 && next == same {
		return
	}
	a.record = next
	a.logger().Info("target-state", zap.String("run-id", a.current.RunID), zap.Uint64("epoch", next.Epoch),
		zap.String("service", next.Service), zap.String("version", next.Version), zap.String("state", next.State.String()), zap.String("address", a.current.Address),
		zap.Int("slots", next.Slots), zap.Uint64("sequence", a.current.Sequence), zap.Bool("vanished", a.vanished))
	a.OnChange(next)
}

var noLog = zap.NewNop()

// logger returns Log, or a logger that discards everything if Log is nil.
func (a *Announcer) logger() *zap.Logger {
	if a.Log == nil {
		return noLog
	}
	return a.Log
}

// state combines the announced state with the results of the checks and the
// daemon's own shutdown: gone takes precedence over draining, and draining over
// the announced state. The caller holds mu.
func (a *Announcer) state() tracker.State {
	state := a.current.state()
	switch {
	case a.daemonLeft || a.vanished || state == tracker.StateGone:
		return tracker.StateGone
	case a.daemonDraining || a.isLeaving():
		return tracker.StateDraining
	default:
		return state
	}
}

// Drain publishes that this daemon accepts no new calls, whatever its target
// announces later.
func (a *Announcer) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemonDraining = true
	if a.record.Sequence > 0 {
		a.publish()
	}
}

// Leave publishes that this daemon is gone, and whether it handed over its
// idempotency keys. It is called after Drain.
func (a *Announcer) Leave(handedOver bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemonDraining = true
	a.daemonLeft = true
	a.handedOver = handedOver
	if a.record.Sequence > 0 {
		a.publish()
	}
}

// TargetURL returns the target's base URL, or "" before the first announcement.
func (a *Announcer) TargetURL() string { return a.load().baseURL }

// Draining reports whether the target accepts no new calls, because it announced that it
// drains or is gone, because it said on an answer that it is leaving, or because Drain or
// Leave was called. That a target has vanished does
// not matter: it may come back.
func (a *Announcer) Draining() bool {
	v := a.load()
	announced := v.announcement.state()
	return v.daemonDraining || v.targetLeaving || announced == tracker.StateDraining || announced == tracker.StateGone
}

// Current returns the newest announcement, or the zero value before the first.
func (a *Announcer) Current() Announcement { return a.load().announcement }

// load returns the current view, or the zero value before the first
// announcement.
func (a *Announcer) load() view {
	if v := a.view.Load(); v != nil {
		return *v
	}
	return view{}
}

// Service returns the target's service, or "" before the first announcement.
func (a *Announcer) Service() string { return a.Current().Service }

// TargetRun returns the target's current run.
func (a *Announcer) TargetRun() messenger.TargetRun {
	current := a.Current()
	return messenger.TargetRun{ID: current.RunID, Epoch: current.Epoch}
}

// Slots returns the number of slots that the target announced, or 0 if it
// announced none.
func (a *Announcer) Slots() int { return a.Current().Slots }

// WarmsUp reports whether the target has said that it is still slow after its start.
func (a *Announcer) WarmsUp() bool { return time.Now().Before(a.load().warmUntil) }

// ReportReachable records that the target answered a call. The target is not
// checked for the next checkInterval.
func (a *Announcer) ReportReachable() { a.lastReached.Store(time.Now().UnixNano()) }

// ReportUnreachable records that a call could not reach the target, and wakes
// Run, which checks the target at once and marks it as gone if the check fails
// too. If HeartbeatTimeout is set, Run marks it as gone without a check.
func (a *Announcer) ReportUnreachable() {
	a.lastReached.Store(0)
	a.unreachableAt.Store(time.Now().UnixNano())
	select {
	case a.checkNowChan() <- struct{}{}:
	default:
	}
}

// checkNowChan returns checkNow and creates it on the first call.
func (a *Announcer) checkNowChan() chan struct{} {
	a.wakeMu.Lock()
	defer a.wakeMu.Unlock()
	if a.checkNow == nil {
		a.checkNow = make(chan struct{}, 1)
	}
	return a.checkNow
}
