package spreader

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// A daemon that starts while the store is unreachable knows nobody. But others
// know where it ran before: they look for daemons that have left at the address
// that they had, and tell those that are back whom to join.

const (
	// inviteFor is how long after its departure a daemon is looked for.
	inviteFor = 30 * time.Second
	// inviters is the mean number of daemons that look for one that has left, each
	// time.
	inviters = 2
	// maxInviters bounds the inviting daemons that one remembers.
	maxInviters = 8
)

// inviteLost looks for the daemons that left a while ago. The daemons of the
// fleet take turns at it by chance.
func (s *Spreader) inviteLost(ctx context.Context) {
	members := s.Table.LiveCount()
	for _, r := range s.Table.GoneSince(time.Now().Add(-inviteFor)) {
		if r.PeerAddress != s.PeerAddress && rand.N(max(members, 1)) < inviters {
			go s.invite(ctx, r.PeerAddress)
		}
	}
}

// invite tells the daemon at the address of this one.
func (s *Spreader) invite(ctx context.Context, addr string) {
	link, _, err := s.greet(ctx, addr, messenger.PurposeInvite)
	if err != nil {
		// Most of those that left are not back.
		return
	}
	s.Counters.Invitations.Add(1)
	link.Close()
}

// takeInvite remembers a daemon that can be joined, and looks for a parent at
// once if this one has none.
func (s *Spreader) takeInvite(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.invited = slices.DeleteFunc(s.invited, func(known string) bool { return known == addr })
	s.invited = append([]string{addr}, s.invited[:min(len(s.invited), maxInviters-1)]...)
	select {
	case s.inviteWake <- struct{}{}:
	default:
	}
}

// pauseOrInvite waits before the next look for a parent, until an invitation
// comes at the latest.
func (s *Spreader) pauseOrInvite(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.inviteWake:
	}
}
