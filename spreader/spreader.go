// Package spreader distributes configuration and membership between the daemons
// of a fleet, over the control links of package messenger. It puts
// configuration in force through package applier and keeps membership in a
// table of package tracker.
//
// A few daemons of each failure domain hold relay leases in the platform's
// key-value service and watch the head, the key that names the newest version.
// They are the roots of trees of bounded fan-out, which all other daemons join.
// Relays of different failure domains are linked as neighbors. Leases and the
// tree only save work: safety depends on versions, which never go down. See
// docs/design/spreading.md.
package spreader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// Spreader distributes configuration and membership on one daemon. The exported
// fields must be set before the first method is called; Settings, External,
// Quarantine, OnOwnHistory, Parts and HTTP may stay zero.
type Spreader struct {
	InstanceID  string
	Domain      string
	PeerAddress string
	Store       storer.Client
	Applier     *applier.Applier
	Table       *tracker.Table
	Log         *zap.Logger
	Settings    Settings
	// External, if not nil, is the configuration to distribute in place of the one
	// that the head names.
	External *External
	// Quarantine, if not nil, is the table of requests under which targets have ended that
	// is shared with the peers.
	Quarantine *quarantiner.Table
	// OnOwnHistory, if not nil, is called each time that the peers have said what they know of
	// earlier processes of this instance.
	OnOwnHistory func()
	// Parts share their state with the peers.
	Parts []Part
	// HTTP is the client that opens links. Nil means the default client.
	HTTP     *http.Client
	Counters Counters

	initOnce sync.Once
	// began is when this daemon started.
	began time.Time
	// firstSlotRead is closed after the first attempt to read the relay slots.
	firstSlotRead     chan struct{}
	firstSlotReadOnce sync.Once
	// inviteWake holds a token when an invitation has arrived.
	inviteWake chan struct{}
	// watcherWake holds a token when a reason to watch the store may have come up.
	watcherWake chan struct{}
	// patienceSpread is this daemon's part of the spread of calls to the store.
	patienceSpread time.Duration
	// hasMetAll says that the table has had a record of every instance of the rosters.
	hasMetAll atomic.Bool
	cfg       Settings
	admission *rate.Limiter
	history   history

	// configMu serializes changes of the configuration. It is locked before mu.
	configMu sync.Mutex
	// pending is the newest document that a daemon without a version in force
	// holds and that no confirmation covers yet. It is guarded by configMu.
	pending digestedDoc

	// mu guards all fields below.
	mu            sync.Mutex
	sessions      map[tracker.Source]*session
	lastSessionID tracker.Source
	parent        *session
	// path leads from the root to this daemon, which is not included.
	path []messenger.Node
	// sourceAt is when the store last answered a read, a survey last found a daemon that watches
	// it, or a message last came from a source whose session has ended.
	sourceAt time.Time
	// surveyedAt is when this daemon last made a survey because its sources were silent.
	surveyedAt time.Time
	// isStoreAnswering says that this daemon watches the store and that the last call was
	// answered.
	isStoreAnswering bool
	// lostParent is the peer address of a parent that was lost, until the next attempt to attach.
	lostParent string
	// lastConfirmation is the most recent confirmation of the store's version.
	lastConfirmation confirmation
	// unconfirmed says that the version in force was applied without a
	// confirmation and none has covered it since.
	unconfirmed bool
	refusal     refusal
	// behindSince is when this daemon learned of a version that it lacks, or
	// zero.
	behindSince time.Time
	// minIncarnation is the lowest incarnation for this daemon's record, above
	// those of earlier processes of the instance.
	minIncarnation uint64
	// ownRecord is this daemon's record as last announced.
	ownRecord tracker.Record
	// relaySlot is the key of the slot that this daemon holds, "" when it is no relay.
	relaySlot string
	// appointedSlot is the key of the slot that a parent asked this daemon to
	// claim, or "".
	appointedSlot string
	// slots holds the relay slots as last read from the store, areSlotsRead says that they
	// have been read.
	slots        []slot
	areSlotsRead bool
	// rosters holds the rosters by failure domain, as last read from the store or written.
	rosters map[string]roster
	// strangers is the number of instances of the rosters that the table lacked at strangersAt.
	strangers           int
	strangersAt         tracker.Cursor
	areStrangersCounted bool
	// lostSessions holds the ended sessions whose departure grace has not
	// ended.
	lostSessions []*lostSession
	// suspicions holds the instances that are in no relay's tree, while this
	// daemon is a relay.
	suspicions map[string]suspicion
	// refusingRelays holds the addresses of relays that refused connections in the last
	// round of keepNeighbors.
	refusingRelays map[string]bool
	// fleetSize is the size of the fleet when this daemon last checked whether
	// to watch the external configuration.
	fleetSize int
	// invited holds the peer addresses of daemons that invited this one, newest first.
	invited []string
	// reports holds the newest report of each root, by its instance ID.
	reports map[string]*rootReport
	// epoch and reportSeq order the reports of this daemon; epoch differs for
	// each process.
	epoch     uint64
	reportSeq uint64
	// fleetFromParent is the tally of the fleet that the parent last sent.
	fleetFromParent messenger.Tally
}

// init applies the defaults and makes the internal state on the first call of
// an exported method.
func (s *Spreader) init() {
	s.initOnce.Do(func() {
		s.cfg = s.Settings.withDefaults()
		s.admission = rate.NewLimiter(joinsPerSecond, joinBurst)
		s.sessions = make(map[tracker.Source]*session)
		s.firstSlotRead = make(chan struct{})
		s.inviteWake = make(chan struct{}, 1)
		s.reports = make(map[string]*rootReport)
		s.watcherWake = make(chan struct{}, 1)
		s.patienceSpread = jitter(patienceSpreadHalfHeartbeats * s.cfg.Heartbeat / 2)
		s.began = time.Now()
		s.sourceAt = s.began
		s.epoch = uint64(s.began.UnixNano())
	})
}

// Run distributes configuration and membership until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	s.init()
	switch s.cfg.Mode {
	case ModeWatch:
		s.watchHead(ctx, watchPace{})
	case ModePoll:
		s.pollHead(ctx)
	default:
		var wg sync.WaitGroup
		wg.Go(func() { s.fetchFirstVersion(ctx) })
		wg.Go(func() { s.runMaintenance(ctx) })
		wg.Go(func() { s.saveQuarantine(ctx) })
		wg.Go(func() { s.watchWhenNeeded(ctx) })
		s.stayAttached(ctx)
		wg.Wait()
	}
}

// node returns the instance ID and peer address of this daemon.
func (s *Spreader) node() messenger.Node {
	return messenger.Node{InstanceID: s.InstanceID, PeerAddress: s.PeerAddress}
}

// jitter returns a random duration in [0, d).
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// around returns a random duration in [d/2, 3d/2).
func around(d time.Duration) time.Duration { return d/2 + jitter(d) }
