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
	// joinsPerSecond and joinBurst bound the sessions that one daemon admits.
	joinsPerSecond = 20
	joinBurst      = 32
	// joinRetry is the mean wait that a daemon asks of a joiner.
	joinRetry = 500 * time.Millisecond
	// maxNeighbors bounds the links between relays on one daemon.
	maxNeighbors = 16
	// maxRedirects bounds the children that a redirect names.
	maxRedirects = 4
)

// The causes of a Busy answer.
const (
	causeAdmission = "admission"
	causeCycle     = "cycle"
	causeFull      = "full"
)

// Serve answers a control link that a peer opened, until the link ends.
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
		return s.serveSurvey(ctx, link)
	}
	if hello.Purpose == messenger.PurposeInvite {
		s.takeInvite(hello.Node.PeerAddress)
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
	return s.run(ctx, sess)
}

// serveSurvey sends the version in force, and what is known of its age.
func (s *Spreader) serveSurvey(ctx context.Context, link *messenger.Link) error {
	s.mu.Lock()
	welcome := s.welcome()
	s.mu.Unlock()
	if err := s.send(ctx, link, welcome); err != nil {
		return err
	}
	sess := &session{link: link, role: roleSurveyor}
	if m := s.configuration(sess); m != nil {
		if err := s.send(ctx, link, m); err != nil {
			return err
		}
	}
	_, err := s.receive(ctx, link)
	return err
}

// welcome answers a Hello. The caller holds mu.
func (s *Spreader) welcome() *messenger.Welcome {
	w := &messenger.Welcome{
		Node: s.node(), Domain: s.Domain, MembersDigest: s.Table.Digest(), Confirm: s.age(),
		Path: append(slices.Clone(s.path), s.node()),
	}
	if snapshot := s.Applier.Current(); snapshot != nil {
		w.Position = messenger.Position{Version: snapshot.Version(), Digest: snapshot.Digest}
	}
	return w
}

// admit registers the session with its Welcome queued, or returns the message
// that refuses it.
func (s *Spreader) admit(sess *session, hello *messenger.Hello) messenger.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hello.Purpose == messenger.PurposeNeighbor {
		sess.role = roleNeighbor
		if refusal := s.refuseNeighbor(); refusal != nil {
			return refusal
		}
	} else {
		sess.role = roleChild
		if refusal := s.refuseChild(hello); refusal != nil {
			return refusal
		}
	}
	s.closeOlder(sess)
	s.register(sess)
	welcome := s.welcome()
	if sess.role == roleNeighbor {
		welcome.Subtree = s.descendants()
	}
	sess.add(welcome)
	joined := append(slices.Clone(hello.Subtree), hello.Node.InstanceID)
	s.found(joined)
	sess.members = make(map[string]struct{}, len(joined))
	sess.addMembers(joined)
	if sess.role == roleChild {
		s.passSubtree(&messenger.Subtree{Joined: joined})
	} else {
		s.sendAllReports(sess)
	}
	if hello.MembersDigest != s.Table.Digest() {
		s.exchangeDigests(sess, true)
	}
	return nil
}

// closeOlder ends an earlier session of the same peer and role. The caller
// holds mu.
func (s *Spreader) closeOlder(sess *session) {
	for _, other := range s.sessions {
		if other.role == sess.role && other.node.InstanceID == sess.node.InstanceID && other.close != nil && sess.role == roleChild {
			other.close()
		}
	}
}

func (s *Spreader) sendAllReports(sess *session) {
	for id := range s.reports {
		sess.reports[id] = struct{}{}
	}
}

func (s *Spreader) refuseNeighbor() messenger.Message {
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
		return &messenger.Busy{RetryAfterMS: around(joinRetry).Milliseconds(), Cause: causeFull}
	}
	return nil
}

func (s *Spreader) refuseChild(hello *messenger.Hello) messenger.Message {
	id := hello.Node.InstanceID
	isAncestor := func(n messenger.Node) bool { return n.InstanceID == id }
	if id == s.InstanceID || slices.ContainsFunc(s.path, isAncestor) {
		return &messenger.Busy{RetryAfterMS: around(joinRetry).Milliseconds(), Cause: causeCycle}
	}
	if s.children() >= s.cfg.Fanout {
		s.Counters.Redirects.Add(1)
		return &messenger.Redirect{Nodes: s.smallestChildren()}
	}
	if !s.admission.Allow() {
		return &messenger.Busy{RetryAfterMS: around(joinRetry).Milliseconds(), Cause: causeAdmission}
	}
	return nil
}

// smallestChildren returns the children with the fewest descendants, and counts
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
		return cmp.Or(cmp.Compare(len(a.members)+a.redirected, len(b.members)+b.redirected), cmp.Compare(a.id, b.id))
	})
	children[0].redirected++
	var nodes []messenger.Node
	for _, sess := range children[:min(len(children), maxRedirects)] {
		nodes = append(nodes, sess.node)
	}
	return nodes
}
