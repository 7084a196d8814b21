package spreader

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/sleeper"
)

const (
	// foreignNeighbors is the number of links that a relay opens to relays of
	// other failure domains: one along the ring of domains and one at random.
	foreignNeighbors = 2
	// meanRingRetryRounds is the mean number of rounds between two attempts to
	// link with the next domain of the ring by a relay that has all its foreign
	// links elsewhere.
	meanRingRetryRounds = 10
)

// keepNeighbors opens missing links to other relays until ctx ends. key is the
// key of this relay's slot.
func (s *Spreader) keepNeighbors(ctx context.Context, key string) {
	var refreshed time.Time
	wait := s.cfg.LeaseTTL
	for ctx.Err() == nil {
		if time.Since(refreshed) > wait {
			s.refreshSlots(ctx)
			refreshed = time.Now()
			wait = around(2 * s.cfg.LeaseTTL)
		}
		refusing := make(map[string]bool)
		for _, addr := range s.missingNeighbors(key) {
			if err := s.linkNeighbor(ctx, addr); errors.Is(err, syscall.ECONNREFUSED) {
				refusing[addr] = true
			}
		}
		s.mu.Lock()
		s.refusingRelays = refusing
		s.mu.Unlock()
		_ = sleeper.Sleep(ctx, around(s.cfg.Heartbeat/2))
	}
}

// refreshSlots reads the relay slots and appoints a child to a vacant one of
// this failure domain.
func (s *Spreader) refreshSlots(ctx context.Context) {
	slots, err := s.readSlots(ctx)
	if err == nil {
		s.appointChild(s.ownSlots(slots))
	}
}

// linkNeighbor opens a link to another relay and serves the session in the
// background. A daemon that is not a root redirects to the root above it, which
// is then dialed instead. The error is that of the first link.
func (s *Spreader) linkNeighbor(ctx context.Context, addr string) error {
	began := time.Now()
	link, reply, err := s.handshake(ctx, addr, messenger.PurposeNeighbor)
	if err != nil {
		return err
	}
	if m, ok := reply.(*messenger.Redirect); ok && len(m.Nodes) > 0 {
		link.Close()
		began = time.Now()
		if link, reply, err = s.handshake(ctx, m.Nodes[0].PeerAddress, messenger.PurposeNeighbor); err != nil {
			return nil
		}
	}
	m, ok := reply.(*messenger.Welcome)
	if !ok {
		link.Close()
		return nil
	}
	sess := &session{role: roleNeighbor, link: link, node: m.Node, domain: m.Domain, remote: m.Position, dialed: true}
	s.mu.Lock()
	s.addSession(sess)
	sess.members = make(map[string]struct{}, len(m.Subtree)+1)
	sess.addMembers(append(m.Subtree, m.Node.InstanceID))
	s.cancelGrace([]string{m.Node.InstanceID})
	s.queueAllReports(sess)
	s.mu.Unlock()
	s.handleConfirmation(m.Confirm, began)
	go func() { _ = s.runSession(ctx, sess) }()
	return nil
}

// missingNeighbors returns the addresses that this relay should link with and
// has no session with: all other relays of its failure domain, one of the next
// domain along the ring, and a random one.
func (s *Spreader) missingNeighbors(key string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	linked := make(map[string]bool)
	foreign := 0
	for _, sess := range s.sessions {
		if sess.role != roleNeighbor {
			continue
		}
		linked[sess.node.PeerAddress] = true
		if sess.dialed && sess.domain != s.Domain {
			foreign++
		}
	}
	var missing, others []string
	for _, o := range s.ringFrom(key) {
		switch {
		case o.addr == s.PeerAddress || linked[o.addr]:
		case o.domain == s.Domain:
			missing = append(missing, o.addr)
		default:
			others = append(others, o.addr)
		}
	}
	for _, addr := range s.domainRootAddrs() {
		if !linked[addr] && !slices.Contains(missing, addr) {
			missing = append(missing, addr)
		}
	}
	next := s.nextDomainRelay(key)
	// Before there is a foreign link, the next relay along the ring keeps its
	// place in front. All others are shuffled.
	keep := min(1, max(0, foreignNeighbors-1-foreign))
	if rest := others[min(keep, len(others)):]; len(rest) > 1 {
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	missing = append(missing, others[:min(len(others), max(0, foreignNeighbors-foreign))]...)
	if foreign >= foreignNeighbors && slices.Contains(others, next) && rand.N(meanRingRetryRounds) == 0 {
		missing = append(missing, next)
	}
	if foreign == 0 {
		// The known relays may all be gone; any member redirects to its root.
		members := s.randomMembers(false)
		missing = append(missing, members[:min(len(members), 1)]...)
	}
	return missing
}

// nextDomainRelay returns the address of the first slot along the ring that
// belongs to another failure domain, or "". The links along the ring are enough
// to connect all relays. The caller holds mu.
func (s *Spreader) nextDomainRelay(key string) string {
	for _, o := range s.ringFrom(key) {
		if o.domain != s.Domain {
			return o.addr
		}
	}
	return ""
}

// ringFrom returns the known slots in ring order, which is the order of their
// keys, starting at key. The caller holds mu.
func (s *Spreader) ringFrom(key string) []slot {
	ring := slices.Clone(s.slots)
	slices.SortFunc(ring, func(a, b slot) int { return cmp.Compare(a.key, b.key) })
	i, _ := slices.BinarySearchFunc(ring, key, func(o slot, k string) int { return cmp.Compare(o.key, k) })
	return append(ring[i:], ring[:i]...)
}
