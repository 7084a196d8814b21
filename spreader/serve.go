package spreader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/messenger"
)

const (
	// joinsPerSecond and joinBurst limit the rate at which one daemon admits
	// children.
	joinsPerSecond = 20
	joinBurst      = 32
	// meanJoinRetryDelay is the mean delay that a Busy answer asks a joiner to
	// wait.
	meanJoinRetryDelay = 500 * time.Millisecond
	// maxNeighbors bounds the sessions with other relays on one daemon.
	maxNeighbors = 16
	// maxRedirectNodes bounds the children that a redirect lists.
	maxRedirectNodes = 4
)

// The causes that a Busy answer names.
const (
	causeAdmission = "admission"
	causeCycle     = "cycle"
	causeFull      = "full"
)

// Serve serves a control link that a peer opened, until the link ends.
func (s *Spreader) Serve(ctx context.Context, link *messenger.Link) error {
	s.init()
	defer link.Close()
	link.Traffic = &s.Counters.Control
	m, err := s.receive(ctx, link)
	if err != nil {
		return err
	}
	hello, ok := m.(*messenger.Hello)
	if !ok {
		s.Counters.Malformed.Add(1)
		return errorx.IllegalFormat.New("link opened by a message of kind %d", m.Kind())
	}
	if hello.Purpose == messenger.PurposeSurvey {
		return s.serveSurvey(ctx, link, hello.Position)
	}
	if hello.Purpose == messenger.PurposeInvite {
		s.handleInvite(hello.Node.PeerAddress)
		s.mu.Lock()
		welcome := s.welcome()
		s.mu.Unlock()
		return s.send(ctx, link, welcome)
	}
	sess := &session{link: link, node: hello.Node, domain: hello.Domain, remote: hello.Position}
	if refusal := s.admit(sess, hello); refusal != nil {
		s.Counters.JoinsRefused.Add(1)
		return s.send(ctx, link, refusal)
	}
	return s.runSession(ctx, sess)
}

// serveSurvey sends the last confirmation and, if the peer's position is older, the
// configuration in force, and then waits for the peer to close the link.
func (s *Spreader) serveSurvey(ctx context.Context, link *messenger.Link, remote messenger.Position) error {
	s.mu.Lock()
	welcome := s.welcome()
	s.mu.Unlock()
	if err := s.send(ctx, link, welcome); err != nil {
		return err
	}
	sess := &session{link: link, role: roleSurveyor, remote: remote}
	if m := s.configurationMessage(sess); m != nil {
		if err := s.send(ctx, link, m); err != nil {
			return err
		}
	}
	_, err := s.receive(ctx, link)
	return err
}

// welcome returns the Welcome that answers a Hello. The caller holds mu.
func (s *Spreader) welcome() *messenger.Welcome {
	w := &messenger.Welcome{
		Node: s.node(), Domain: s.Domain, MembersDigest: s.Table.Digest(), Confirm: s.confirmationMessage(),
		Path: append(slices.Clone(s.path), s.node()), IsWatching: s.isStoreAnswering,
	}
	if snapshot := s.Applier.Current(); snapshot != nil {
		w.Position = messenger.Position{Version: snapshot.Version(), Digest: snapshot.Digest}
	}
	return w
}

// admit adds the session and queues its Welcome, or returns the message that
// refuses the session.
func (s *Spreader) admit(sess *session, hello *messenger.Hello) messenger.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hello.Purpose == messenger.PurposeNeighbor {
		sess.role = roleNeighbor
		if refusal := s.neighborRefusal(); refusal != nil {
			return refusal
		}
	} else {
		sess.role = roleChild
		if refusal := s.childRefusal(hello); refusal != nil {
			return refusal
		}
	}
	s.closePreviousSession(sess)
	s.addSession(sess)
	welcome := s.welcome()
	if sess.role == roleNeighbor {
		welcome.Subtree = s.descendants()
	}
	sess.appendMessage(welcome)
	joined := append(slices.Clone(hello.Subtree), hello.Node.InstanceID)
	s.cancelGrace(joined)
	sess.members = make(map[string]struct{}, len(joined))
	sess.addMembers(joined)
	if sess.role == roleChild {
		s.forwardSubtree(&messenger.Subtree{Joined: joined})
	} else {
		s.queueAllReports(sess)
	}
	if hello.MembersDigest != s.Table.Digest() {
		s.queueDigests(sess, true)
	}
	return nil
}

// closePreviousSession ends the earlier sessions of a child that joins again.
// The caller holds mu.
func (s *Spreader) closePreviousSession(sess *session) {
	for _, other := range s.sessions {
		if other.role == sess.role && other.node.InstanceID == sess.node.InstanceID && other.close != nil && sess.role == roleChild {
			other.close()
		}
	}
}

// queueAllReports queues all known reports of roots for a new neighbor. The
// caller holds mu.
func (s *Spreader) queueAllReports(sess *session) {
	for id := range s.reports {
		sess.reports[id] = struct{}{}
	}
}

// neighborRefusal returns the message that refuses a neighbor, or nil to admit
// it. A daemon that has a parent redirects to its root. The caller holds mu.
func (s *Spreader) neighborRefusal() messenger.Message {
	n := 0
	for _, other := range s.sessions {
		if other.role == roleNeighbor {
			n++
		}
	}
	if s.parent != nil {
		return &messenger.Redirect{Nodes: s.path[:1]}
	}
	if n >= maxNeighbors {
		return &messenger.Busy{RetryAfterMS: around(meanJoinRetryDelay).Milliseconds(), Cause: causeFull}
	}
	return nil
}

// childRefusal returns the message that refuses a child, or nil to admit it. A
// daemon that has as many children as Fanout allows redirects to them. The
// caller holds mu.
func (s *Spreader) childRefusal(hello *messenger.Hello) messenger.Message {
	id := hello.Node.InstanceID
	isAncestor := func(n messenger.Node) bool { return n.InstanceID == id }
	if id == s.InstanceID || slices.ContainsFunc(s.path, isAncestor) {
		return &messenger.Busy{RetryAfterMS: around(meanJoinRetryDelay).Milliseconds(), Cause: causeCycle}
	}
	if s.childCount() >= s.cfg.Fanout {
		s.Counters.Redirects.Add(1)
		return &messenger.Redirect{Nodes: s.smallestChildren()}
	}
	if !s.admission.Allow() {
		return &messenger.Busy{RetryAfterMS: around(meanJoinRetryDelay).Milliseconds(), Cause: causeAdmission}
	}
	return nil
}

// smallestChildren returns the children with the fewest descendants. It counts
// one more below the first, where the joiner is likely to go. The caller holds
// mu.
func (s *Spreader) smallestChildren() []messenger.Node {
	var children []*session
	for _, sess := range s.sessions {
		if sess.role == roleChild {
			children = append(children, sess)
		}
	}
	slices.SortFunc(children, func(a, b *session) int {
		return cmp.Or(cmp.Compare(len(a.members)+a.redirectedJoins, len(b.members)+b.redirectedJoins), cmp.Compare(a.id, b.id))
	})
	children[0].redirectedJoins++
	var nodes []messenger.Node
	for _, sess := range children[:min(len(children), maxRedirectNodes)] {
		nodes = append(nodes, sess.node)
	}
	return nodes
}
