package spreader

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
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
	retryInitial = 200 * time.Millisecond
	// maxHops bounds the redirects that one join follows.
	maxHops = 8
	// maxCandidates bounds the members that are tried as parents when the store
	// is unreachable.
	maxCandidates = 8
	relayPrefix   = "relay/"
)

// slot is one relay slot as the store holds it.
type slot struct {
	key      string
	domain   string
	addr     string
	revision storer.Revision
}

// keepAttached keeps this daemon in the tree until ctx ends: as the child of a
// parent, or as a root.
func (s *Spreader) keepAttached(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitial
	retry.MaxInterval = s.cfg.LeaseTTL
	retry.Multiplier = 2
	retry.Reset()
	wait := jitter(s.cfg.JoinJitter)
	if s.cfg.HasNarrowLink {
		// Daemons that start together and have wider links take the relay slots first.
		wait += 2 * s.cfg.JoinJitter
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
		s.pauseOrInvite(ctx, retry.NextBackOff())
	}
}

// attach joins a parent or takes a relay slot, and returns when that ends or
// neither is to be had. The children of this daemon stay with it throughout.
func (s *Spreader) attach(ctx context.Context) {
	slots, err := s.readSlots(ctx)
	s.lookOnce.Do(func() { close(s.looked) })
	if err != nil {
		s.joinAny(ctx, s.candidates())
		return
	}
	own := s.ownSlots(slots)
	appointed := s.takeAppointed()
	if appointed == "" && s.joinRelay(ctx, own) {
		return
	}
	if free, ok := s.freeSlot(own, appointed); ok {
		if s.takeSlot(ctx, free) {
			return
		}
		// Another daemon was quicker: learn at once who it is.
		if slots, err = s.readSlots(ctx); err == nil {
			s.joinRelay(ctx, s.ownSlots(slots))
		}
		return
	}
	s.joinAny(ctx, s.candidates())
}

// joinRelay joins a relay of the own failure domain. It forgets the address of
// one that refuses connections: its process is gone, and its slot is free.
func (s *Spreader) joinRelay(ctx context.Context, own []slot) bool {
	for _, i := range rand.Perm(len(own)) {
		if own[i].addr == "" || own[i].addr == s.PeerAddress {
			continue
		}
		joined, err := s.join(ctx, own[i].addr)
		if joined {
			return true
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			own[i].addr = ""
		}
	}
	return false
}

// freeSlot returns the slot to take: the appointed one, one that names this
// daemon, or one without a relay. A slot whose relay is alive is not free.
func (s *Spreader) freeSlot(own []slot, appointed string) (slot, bool) {
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

// readSlots reads all relay slots from the store and remembers them.
func (s *Spreader) readSlots(ctx context.Context) ([]slot, error) {
	items, err := s.Store.List(ctx, relayPrefix)
	if err != nil {
		s.Counters.StoreFailures.Add(1)
		return nil, err
	}
	var slots []slot
	for _, item := range items {
		if domain, ok := slotDomain(item.Key); ok {
			slots = append(slots, slot{key: item.Key, domain: domain, addr: string(item.Value), revision: item.Revision})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = slots
	return slots, nil
}

// candidates returns the peers to ask when the store is unreachable: ancestors
// and known relays first, then seeds, then members, own failure domain first.
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
		addrs = append(addrs, s.someMembers(own)...)
	}
	seen := map[string]bool{"": true, s.PeerAddress: true}
	return slices.DeleteFunc(addrs, func(addr string) bool {
		known := seen[addr]
		seen[addr] = true
		return known
	})
}

// someMembers returns a random few of the known members' addresses.
func (s *Spreader) someMembers(own bool) []string {
	var addrs []string
	for _, r := range s.Table.All() {
		if (r.Domain == s.Domain) == own && r.State != tracker.StateGone {
			addrs = append(addrs, r.PeerAddress)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxCandidates)]
}

func (s *Spreader) joinAny(ctx context.Context, addrs []string) {
	for _, addr := range addrs {
		if joined, _ := s.join(ctx, addr); joined || ctx.Err() != nil {
			return
		}
	}
}

// join asks a daemon, or those that it redirects to, for a place and serves the
// session until it ends. It says whether there was one.
func (s *Spreader) join(ctx context.Context, addr string) (bool, error) {
	queue := []string{addr}
	var last error
	for hop := 0; hop < maxHops && len(queue) > 0; hop++ {
		next := queue[0]
		queue = queue[1:]
		if next == s.PeerAddress {
			continue
		}
		began := time.Now()
		link, reply, err := s.greet(ctx, next, messenger.PurposeJoin)
		if err != nil {
			last = err
			continue
		}
		switch m := reply.(type) {
		case *messenger.Welcome:
			if s.adopt(ctx, link, m, began) {
				return true, nil
			}
			last = errorx.IllegalState.New("%s is a descendant", next)
		case *messenger.Redirect:
			var nodes []string
			for _, n := range m.Nodes {
				nodes = append(nodes, n.PeerAddress)
			}
			queue = append(nodes, queue...)
		case *messenger.Busy:
			last = errorx.IllegalState.New("%s is busy: %s", next, m.Cause)
			if m.Cause == causeAdmission {
				_ = sleeper.Sleep(ctx, min(time.Duration(m.RetryAfterMS)*time.Millisecond, s.cfg.LeaseTTL))
				queue = append(queue, next)
			}
		}
		link.Close()
	}
	return false, last
}

// greet opens a control link and returns the answer to its Hello.
func (s *Spreader) greet(ctx context.Context, addr string, purpose messenger.Purpose) (*messenger.Link, messenger.Message, error) {
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

// adopt serves the session with a new parent until it ends. It returns false
// when the path to the root leads through this daemon.
func (s *Spreader) adopt(ctx context.Context, link *messenger.Link, m *messenger.Welcome, began time.Time) bool {
	if s.isOn(m.Path) {
		return false
	}
	sess := &session{role: roleParent, link: link, node: m.Node, domain: m.Domain, remote: m.Position}
	s.mu.Lock()
	s.register(sess)
	s.parent = sess
	s.path = m.Path
	s.found([]string{m.Node.InstanceID})
	s.announcePath()
	s.closeNeighbors()
	s.mu.Unlock()
	s.Log.Info("parent-joined", zap.String("parent", m.Node.InstanceID), zap.Int("depth", len(m.Path)+1))
	s.observe(m.Confirm, began)
	s.raiseOwn()
	if m.Domain != s.Domain {
		// A parent in another failure domain is a makeshift: try again for one at home.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, around(2*s.cfg.LeaseTTL))
		defer cancel()
		defer context.AfterFunc(ctx, func() { s.leave(sess) })()
	}
	_ = s.run(ctx, sess)
	return true
}

// leave notes that this daemon ends a session of its own accord.
func (s *Spreader) leave(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.left = true
}

func (s *Spreader) isOn(path []messenger.Node) bool {
	return slices.ContainsFunc(path, func(n messenger.Node) bool { return n.InstanceID == s.InstanceID })
}

// takePath notes a new path to the root, and leaves the parent when the path
// leads through this daemon.
func (s *Spreader) takePath(sess *session, path []messenger.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess != s.parent {
		return
	}
	if s.isOn(path) {
		sess.left = true
		sess.close()
		return
	}
	s.path = path
	s.announcePath()
}

// announcePath tells the children their path. The caller holds mu.
func (s *Spreader) announcePath() {
	path := append(slices.Clone(s.path), s.node())
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			sess.add(&messenger.Path{Nodes: path})
		}
	}
}

// closeNeighbors ends the links that only roots keep. The caller holds mu.
func (s *Spreader) closeNeighbors() {
	for _, sess := range s.sessions {
		if sess.role == roleNeighbor && sess.close != nil {
			sess.close()
		}
	}
}
