// Package spreader carries configuration and membership between daemons.
//
// A few daemons of each failure domain hold relay leases in the platform's
// key-value service and watch the head. They are the roots of trees of bounded
// fan-out, which all other daemons join. Relays of different failure domains
// are linked as neighbors. Leases and the tree are for thrift only: safety
// rests on versions, which only go up. See docs/design/spreading.md.
package spreader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// Spreader is one daemon's part in the spreading. The exported fields must be
// set before the first method is called; Settings and HTTP may stay zero.
type Spreader struct {
	InstanceID  string
	Domain      string
	PeerAddress string
	Store       storer.Client
	Applier     *applier.Applier
	Table       *tracker.Table
	Log         *zap.Logger
	Settings    Settings
	// External replaces the head that operators' changes make; nil means that head.
	External *External
	// HTTP opens links; nil means the default client.
	HTTP     *http.Client
	Counters Counters

	prepare sync.Once
	// looked is closed when this daemon has first tried to read the relay slots.
	looked   chan struct{}
	lookOnce sync.Once
	// inviteWake holds a token when an invitation has come.
	inviteWake chan struct{}
	cfg        Settings
	admission  *rate.Limiter
	history    history

	// configMu orders the changes of the configuration. It is taken before mu.
	configMu sync.Mutex
	// pending is the newest document that a fresh daemon holds and does not
	// trust yet. It is guarded by configMu.
	pending held

	mu       sync.Mutex
	sessions map[tracker.Source]*session
	lastID   tracker.Source
	parent   *session
	// path leads from the root to this daemon, which is not included.
	path        []messenger.Node
	confirmed   confirmation
	unconfirmed bool
	refusal     refusal
	// behindSince is when this daemon learned of a version that it lacks, or 0.
	behindSince time.Time
	// raised is the least incarnation of this daemon's record, above those of the
	// processes before it.
	raised uint64
	own    tracker.Record
	// relaySlot is the key of the slot that this daemon holds, "" when it is no relay.
	relaySlot string
	appointed string
	slots     []slot
	lost      []*loss
	unreached map[string]suspicion
	// fleetSize is the size of the fleet when this daemon last looked whether to watch
	// the external configuration.
	fleetSize int
	// invited holds the peer addresses of daemons that invited this one, newest first.
	invited   []string
	reports   map[string]*rootReport
	epoch     uint64
	reportSeq uint64
	fleet     messenger.Tally
}

func (s *Spreader) init() {
	s.prepare.Do(func() {
		s.cfg = s.Settings.withDefaults()
		s.admission = rate.NewLimiter(joinsPerSecond, joinBurst)
		s.sessions = make(map[tracker.Source]*session)
		s.looked = make(chan struct{})
		s.inviteWake = make(chan struct{}, 1)
		s.reports = make(map[string]*rootReport)
		s.epoch = uint64(time.Now().UnixNano())
	})
}

// Run takes part in the spreading until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	s.init()
	switch s.cfg.Mode {
	case ModeWatch:
		s.watchHead(ctx)
	case ModePoll:
		s.pollHead(ctx)
	default:
		var wg sync.WaitGroup
		wg.Go(func() { s.freshen(ctx) })
		wg.Go(func() { s.maintain(ctx) })
		if s.External != nil {
			wg.Go(func() { s.watchExternal(ctx) })
		}
		s.keepAttached(ctx)
		wg.Wait()
	}
}

// node names this daemon.
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

// around returns a random duration between half of d and one and a half of d.
func around(d time.Duration) time.Duration { return d/2 + jitter(d) }
