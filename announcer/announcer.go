// Package announcer takes the announcements of the target beside this daemon
// and keeps its membership record.
//
// A target announces itself by PUT of an Announcement, again at each change of
// state, and as often as it likes as a heartbeat. Whether it is still there is
// found out by the calls to it and, while there are none, by opening a
// connection.
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

	"bambooweir.example/bambooweir/tracker"
)

// Path is where a target announces itself.
const Path = "/v1/announcement"

// Counters count announcements and what became of the target.
type Counters struct {
	// Announced counts announcements taken, Repeated those of them that changed
	// nothing, Refused those that were malformed or of an earlier epoch.
	Announced, Repeated, Refused expvar.Int
	// Overtaken counts those that came after a newer one, or after the departure.
	Overtaken expvar.Int
	// Checks counts connections opened to see whether the target is there,
	// Vanished and Returned what they found.
	Checks, Vanished, Returned expvar.Int
}

// Announcer keeps the newest announcement as the membership record of this
// daemon. Self and Changed must be set.
type Announcer struct {
	// Self is the record's fixed part.
	Self tracker.Record
	// OnChange is called with each new record, in the order of their sequences.
	OnChange func(tracker.Record)
	// HeartbeatTimeout is how long the target may go without an announcement before it is
	// taken as gone. With 0 it need not repeat itself, and connections are opened
	// to see whether it is there.
	HeartbeatTimeout time.Duration
	// Dial opens a connection to see whether the target is there; nil means TCP.
	Dial func(ctx context.Context, addr string) error
	// Log takes a line for each change of the target's state; nil takes none.
	Log      *zap.Logger
	Counters Counters

	// reached is when a call last reached the target, in nanoseconds of Unix time.
	reached atomic.Int64
	wakeMu  sync.Mutex
	wake    chan struct{}

	// view is what readers see; it is replaced whole.
	view atomic.Pointer[view]

	mu       sync.Mutex
	current  Announcement
	record   tracker.Record
	vanished bool
	draining bool
	left     bool
	// announced is when the newest announcement came.
	announced time.Time
	// coldMS is how long the target was to stay slow when its run first announced itself.
	coldMS int
	// past holds the runs that have left or been replaced; they do not come back.
	past map[run]bool
	// departed holds when runs left that were not known and did not tell their
	// start, by their id.
	departed map[string]time.Time
	// handedOver says that other daemons hold this one's idempotency keys.
	handedOver bool
}

// run is one start of a target.
type run struct {
	id    string
	epoch uint64
}

func (in Announcement) run() run { return run{in.RunID, in.Epoch} }

// lateFor is how long after its departure a run's earlier heartbeats are taken to
// come, where the run can't be told from a later one of the same id: networks
// deliver some a few seconds late.
const lateFor = 10 * time.Second

// maxPast bounds the runs that are remembered as over.
const maxPast = 256

// view is the newest announcement and what follows from it.
type view struct {
	announcement Announcement
	baseURL      string
	state        tracker.State
}

// Register adds the announcement resource to the router.
func (a *Announcer) Register(e *echo.Echo) { e.PUT(Path, a.put) }

func (a *Announcer) put(c echo.Context) error {
	in, err := decode(c.Request().Body)
	if err != nil {
		a.Counters.Refused.Add(1)
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := a.Announce(in); err != nil {
		a.Counters.Refused.Add(1)
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

// Announce takes an announcement that is valid. It fails with a
// *StaleEpochError when a later run of the target has announced itself, and with
// a *StaleError when this very run has said something newer, or has left.
func (a *Announcer) Announce(in Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkOrder(in); err != nil {
		return err
	}
	a.Counters.Announced.Add(1)
	a.announced = time.Now()
	if in == a.current && !a.vanished {
		a.Counters.Repeated.Add(1)
		return nil
	}
	if in.run() != a.current.run() || a.record.Sequence == 0 {
		a.endRun(a.current.run())
		a.coldMS = in.ColdMS
		a.vanished = false
	}
	a.current = in
	a.vanished = false
	a.publish()
	return nil
}

// checkOrder fails when the announcement comes after one that holds. The caller
// holds mu.
func (a *Announcer) checkOrder(in Announcement) error {
	if in.Epoch < a.current.Epoch {
		return &StaleEpochError{Got: in.Epoch, Newest: a.current.Epoch}
	}
	if in.RunID == "" {
		return nil
	}
	if at, ok := a.departed[in.RunID]; ok && time.Since(at) < lateFor {
		return &StaleError{RunID: in.RunID, Sequence: in.Sequence}
	}
	isOvertaken := in.run() == a.current.run() && in.Sequence < a.current.Sequence
	if isOvertaken || a.past[in.run()] {
		return &StaleError{RunID: in.RunID, Sequence: in.Sequence}
	}
	return nil
}

// endRun notes that a run does not come back. The caller holds mu.
func (a *Announcer) endRun(r run) {
	if r.id == "" {
		return
	}
	if a.past == nil || len(a.past) >= maxPast {
		a.past = make(map[run]bool)
	}
	a.past[r] = true
}

// Depart takes the word of a run of the target that it has left: it gets no new
// calls, whatever it announces from now on. Epoch is 0 when it isn't told. It
// fails with a *StaleError when another run has taken its place.
func (a *Announcer) Depart(runID string, epoch uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := run{runID, epoch}
	if epoch == 0 && runID == a.current.RunID {
		r = a.current.run()
	}
	a.endRun(r)
	if r != a.current.run() {
		if epoch == 0 {
			a.noteDeparted(runID)
		}
		return &StaleError{RunID: runID}
	}
	a.current.State = tracker.StateGone.String()
	a.publish()
	return nil
}

// noteDeparted notes that an unknown run has left. The caller holds mu.
func (a *Announcer) noteDeparted(runID string) {
	if a.departed == nil || len(a.departed) >= maxPast {
		a.departed = make(map[string]time.Time)
	}
	a.departed[runID] = time.Now()
}

// publish makes the next record if it differs from the one before. The caller
// holds mu, so that records are handed over in order.
func (a *Announcer) publish() {
	a.view.Store(&view{announcement: a.current, baseURL: "http://" + a.current.Address, state: a.state()})
	next := a.Self
	next.Sequence = a.record.Sequence + 1
	next.Service = a.current.Service
	next.Epoch = a.current.Epoch
	next.State = a.state()
	next.HandedOver = a.handedOver
	next.Slots = a.current.Slots
	next.ColdMS = a.coldMS
	same := a.record
	same.Sequence++
	if a.record.Sequence > 0 && next == same {
		return
	}
	a.record = next
	if a.Log != nil {
		a.Log.Info("target-state", zap.String("run-id", a.current.RunID), zap.Uint64("epoch", next.Epoch),
			zap.String("service", next.Service), zap.String("state", next.State.String()), zap.String("address", a.current.Address),
			zap.Int("slots", next.Slots), zap.Uint64("sequence", a.current.Sequence), zap.Bool("vanished", a.vanished))
	}
	a.OnChange(next)
}

// state is the worst of what is known of the target and its daemon.
func (a *Announcer) state() tracker.State {
	state := a.current.state()
	switch {
	case a.left || a.vanished || state == tracker.StateGone:
		return tracker.StateGone
	case a.draining:
		return tracker.StateDraining
	default:
		return state
	}
}

// Drain announces that this daemon takes no new calls, whatever its target
// announces from now on.
func (a *Announcer) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	if a.record.Sequence > 0 {
		a.publish()
	}
}

// Leave announces that this daemon is gone, after Drain, and whether it gave its
// idempotency keys to others.
func (a *Announcer) Leave(handedOver bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.left = true
	a.handedOver = handedOver
	if a.record.Sequence > 0 {
		a.publish()
	}
}

// Target returns the target's base URL, or "" before the first announcement.
func (a *Announcer) Target() string { return a.load().baseURL }

// Draining says whether the target takes no new calls, by its own announcement
// or by Drain.
func (a *Announcer) Draining() bool {
	v := a.load()
	return v.state == tracker.StateDraining || v.announcement.state() == tracker.StateGone
}

// Current returns the newest announcement; it is zero before the first.
func (a *Announcer) Current() Announcement { return a.load().announcement }

func (a *Announcer) load() view {
	if v := a.view.Load(); v != nil {
		return *v
	}
	return view{}
}

// Service returns the service of the target, or "" before the first announcement.
func (a *Announcer) Service() string { return a.Current().Service }

// Slots returns the slots that the target announced, 0 for none.
func (a *Announcer) Slots() int { return a.Current().Slots }

// ReportReachable notes that the target answered a call; no check is needed for a while.
func (a *Announcer) ReportReachable() { a.reached.Store(time.Now().UnixNano()) }

// ReportUnreachable notes that the target did not answer a call. It is checked at
// once; if that fails too, its record is gone.
func (a *Announcer) ReportUnreachable() {
	a.reached.Store(0)
	select {
	case a.wakeUp() <- struct{}{}:
	default:
	}
}

func (a *Announcer) wakeUp() chan struct{} {
	a.wakeMu.Lock()
	defer a.wakeMu.Unlock()
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}
