package spreader

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// initialJoinBackoff is the first wait between two attempts to attach. It
	// doubles up to LeaseTTL.
	initialJoinBackoff = 200 * time.Millisecond
	// maxRedirectHops bounds the daemons that one join asks in turn, redirects
	// included.
	maxRedirectHops = 8
	// maxCandidates bounds the random members of each kind that are tried as
	// parents when the store is unreachable: of this failure domain and of
	// others.
	maxCandidates = 8
	// relayPrefix starts the store keys of all relay slots.
	relayPrefix = "relay/"
)

// slot is a relay slot as the store holds it. addr is the peer address of its
// relay, or "" while it is vacant.
type slot struct {
	key      string
	domain   string
	addr     string
	revision storer.Revision
}

// stayAttached keeps this daemon in the tree until ctx ends, as the child of a
// parent or as a root. It retries with exponential backoff.
func (s *Spreader) stayAttached(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialJoinBackoff
	retry.MaxInterval = s.cfg.LeaseTTL
	retry.Multiplier = 2
	retry.Reset()
	wait := jitter(s.cfg.JoinJitter)
	if s.cfg.HasNarrowLink {
		// Daemons with wider links that start at the same time claim the relay slots
		// first. Several of them mostly have after half a JoinJitter, and after a power
		// failure the slots still name the relays from before.
		if sleeper.Sleep(ctx, (s.cfg.JoinJitter+wait)/2) != nil {
			return
		}
		wait = s.cfg.JoinJitter
		if s.joinKnownRelay(ctx) {
			wait = 0
		}
	}
	if sleeper.Sleep(ctx, wait) != nil {
		return
	}
	for ctx.Err() == nil {
		began := time.Now()
		s.attach(ctx)
		if time.Since(began) > s.cfg.LeaseTTL {
			retry.Reset()
		}
		wait := retry.NextBackOff()
		if s.hasLostParent() {
			wait = jitter(initialJoinBackoff)
		}
		s.waitForRetryOrInvite(ctx, wait)
	}
}

// attach joins a parent or claims a relay slot, and returns when that ends or
// when neither is possible. The children of this daemon keep their sessions
// with it throughout.
func (s *Spreader) attach(ctx context.Context) {
	lost := s.consumeLostParent()
	if s.joinOtherRelay(ctx, lost) {
		return
	}
	slots, err := s.readSlots(ctx)
	s.firstSlotReadOnce.Do(func() { close(s.firstSlotRead) })
	if err != nil {
		s.joinAny(ctx, s.candidates())
		return
	}
	own := s.ownSlots(slots)
	appointed := s.consumeAppointment()
	if appointed == "" && s.joinRelay(ctx, own, lost) {
		return
	}
	if free, ok := s.claimableSlot(own, appointed); ok {
		if s.claimSlot(ctx, free) {
			return
		}
		// Another daemon claimed the slot first: read its address and join it.
		if slots, err = s.readSlots(ctx); err == nil {
			s.joinRelay(ctx, s.ownSlots(slots), lost)
		}
		return
	}
	s.joinAny(ctx, s.candidates())
}

// claimableSlot returns the slot that this daemon should claim: one that names
// this daemon already, otherwise the appointed slot if it is vacant, or any
// vacant one if appointed is "". A slot that names another relay is never
// claimable, since that relay may be alive.
func (s *Spreader) claimableSlot(own []slot, appointed string) (slot, bool) {
	for _, o := range own {
		if o.addr == s.PeerAddress {
			return o, true
		}
	}
	for _, o := range own {
		if o.addr == "" && (appointed == "" || o.key == appointed) {
			return o, true
		}
	}
	return slot{}, false
}

// readSlots reads all relay slots from the store and keeps them in slots.
func (s *Spreader) readSlots(ctx context.Context) ([]slot, error) {
	items, err := s.Store.List(ctx, relayPrefix)
	if err != nil {
		s.Counters.StoreFailures.Add(1)
		return nil, err
	}
	return s.keepSlots(items), nil
}

// keepSlots keeps the relay slots that the items hold in slots, and the rosters, and returns
// the slots.
func (s *Spreader) keepSlots(items []storer.Item) []slot {
	var slots []slot
	var rosters []storer.Item
	for _, item := range items {
		if item.Key == quarantineKey {
			s.loadQuarantine(item)
		}
		if strings.HasPrefix(item.Key, rosterPrefix) {
			rosters = append(rosters, item)
			continue
		}
		domain, ok := slotDomain(item.Key)
		if !ok {
			continue
		}
		o := slot{key: item.Key, domain: domain, revision: item.Revision}
		if addr := string(item.Value); tracker.IsAddress(addr) {
			o.addr = addr
		} else {
			// The slot is vacant, so that a relay can claim it.
			s.Counters.Malformed.Add(1)
			s.Log.Warn("slot-malformed", zap.String("slot", item.Key))
		}
		slots = append(slots, o)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots, s.areSlotsRead = slots, true
	for _, item := range rosters {
		s.keepRoster(item)
	}
	return slots
}

// candidates returns the peer addresses to try as parents, or to survey, when
// the store or all relays are unreachable: first the daemons that invited this
// one, then the known relays of this failure domain, the seeds and members of
// this failure domain, and last the known relays and members of other domains.
func (s *Spreader) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := slices.Clone(s.invited)
	for _, own := range []bool{true, false} {
		for _, o := range s.slots {
			if (o.domain == s.Domain) == own {
				addrs = append(addrs, o.addr)
			}
		}
		if own {
			addrs = append(addrs, s.cfg.Seeds...)
		}
		addrs = append(addrs, s.randomMembers(own)...)
	}
	seen := map[string]bool{"": true, s.PeerAddress: true}
	return slices.DeleteFunc(addrs, func(addr string) bool {
		known := seen[addr]
		seen[addr] = true
		return known
	})
}

// randomMembers returns the addresses of at most maxCandidates random members:
// of this failure domain if own is set, and of the others if not.
func (s *Spreader) randomMembers(own bool) []string {
	var addrs []string
	for _, r := range s.Table.All() {
		if (r.Domain == s.Domain) == own && r.State != tracker.StateGone {
			addrs = append(addrs, r.PeerAddress)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxCandidates)]
}

// joinAny tries the addresses in order until a session with one of them has
// been served.
func (s *Spreader) joinAny(ctx context.Context, addrs []string) {
	for _, addr := range addrs {
		if joined, _ := s.join(ctx, addr); joined || ctx.Err() != nil {
			return
		}
	}
}

// join asks the daemon at addr, and those that it redirects to, for a place in
// the tree and serves the session until it ends. It reports whether there was a
// session, and if not, returns the last error.
func (s *Spreader) join(ctx context.Context, addr string) (bool, error) {
	queue := []string{addr}
	var lastErr error
	for hop := 0; hop < maxRedirectHops && len(queue) > 0; hop++ {
		next := queue[0]
		queue = queue[1:]
		if next == s.PeerAddress {
			continue
		}
		began := time.Now()
		link, reply, err := s.handshake(ctx, next, messenger.PurposeJoin)
		if err != nil {
			lastErr = err
			continue
		}
		switch m := reply.(type) {
		case *messenger.Welcome:
			if s.serveParentSession(ctx, link, m, began) {
				return true, nil
			}
			lastErr = errorx.IllegalState.New("%s is a descendant", next)
		case *messenger.Redirect:
			var nodes []string
			for _, n := range m.Nodes {
				nodes = append(nodes, n.PeerAddress)
			}
			queue = append(nodes, queue...)
		case *messenger.Busy:
			lastErr = errorx.IllegalState.New("%s is busy: %s", next, m.Cause)
			if m.Cause == causeAdmission {
				_ = sleeper.Sleep(ctx, min(time.Duration(m.RetryAfterMS)*time.Millisecond, s.cfg.LeaseTTL))
				queue = append(queue, next)
			}
		}
		link.Close()
	}
	return false, lastErr
}

// handshake opens a control link, sends a Hello and returns the link with the
// answer.
func (s *Spreader) handshake(ctx context.Context, addr string, purpose messenger.Purpose) (*messenger.Link, messenger.Message, error) {
	bounded, cancel := context.WithTimeout(ctx, s.cfg.SilentAfter)
	defer cancel()
	link, err := messenger.DialWith(bounded, s.HTTP, addr, messenger.ControlPath)
	if err != nil {
		return nil, nil, err
	}
	link.Traffic = &s.Counters.Control
	hello := &messenger.Hello{Node: s.node(), Domain: s.Domain, Purpose: purpose, Position: s.position(), MembersDigest: s.Table.Digest()}
	s.mu.Lock()
	if purpose != messenger.PurposeSurvey {
		hello.Subtree = s.descendants()
	}
	s.mu.Unlock()
	if err = link.Send(bounded, hello); err == nil {
		var reply messenger.Message
		if reply, err = link.Receive(bounded); err == nil {
			return link, reply, nil
		}
	}
	link.Close()
	return nil, nil, err
}

// serveParentSession serves the session with a new parent until it ends. It
// returns false without serving when the parent's path to the root includes
// this daemon, which would make a cycle.
func (s *Spreader) serveParentSession(ctx context.Context, link *messenger.Link, m *messenger.Welcome, began time.Time) bool {
	if s.isOnPath(m.Path) {
		return false
	}
	sess := &session{role: roleParent, link: link, node: m.Node, domain: m.Domain, remote: m.Position}
	s.mu.Lock()
	s.addSession(sess)
	s.parent = sess
	s.path = m.Path
	s.cancelGrace([]string{m.Node.InstanceID})
	s.sendPathToChildren()
	s.closeNeighbors()
	s.mu.Unlock()
	s.Log.Info("parent-joined", zap.String("parent", m.Node.InstanceID), zap.Int("depth", len(m.Path)+1))
	s.handleConfirmation(m.Confirm, began)
	s.reannounceOwn()
	if m.Domain != s.Domain {
		// A parent in another failure domain is temporary: leave it after a while and
		// try again to join one in this domain.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, around(2*s.cfg.LeaseTTL))
		defer cancel()
		defer context.AfterFunc(ctx, func() { s.markEndedLocally(sess) })()
	}
	_ = s.runSession(ctx, sess)
	return true
}

// markEndedLocally records that this daemon ends the session by choice.
func (s *Spreader) markEndedLocally(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.endedLocally = true
}

// isOnPath reports whether the path includes this daemon.
func (s *Spreader) isOnPath(path []messenger.Node) bool {
	return slices.ContainsFunc(path, func(n messenger.Node) bool { return n.InstanceID == s.InstanceID })
}

// handlePath stores the new path from the root that the parent sent. It ends
// the session when the path includes this daemon, which is a cycle.
func (s *Spreader) handlePath(sess *session, path []messenger.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess != s.parent {
		return
	}
	if s.isOnPath(path) {
		sess.endedLocally = true
		sess.close()
		return
	}
	s.path = path
	s.sendPathToChildren()
}

// sendPathToChildren queues for each child its path from the root. The caller
// holds mu.
func (s *Spreader) sendPathToChildren() {
	path := append(slices.Clone(s.path), s.node())
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			sess.appendMessage(&messenger.Path{Nodes: path})
		}
	}
}

// closeNeighbors ends the sessions with neighbors, which only roots keep. The
// caller holds mu.
func (s *Spreader) closeNeighbors() {
	for _, sess := range s.sessions {
		if sess.role == roleNeighbor && sess.close != nil {
			sess.close()
		}
	}
}
