package spreader

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bambooweir.example/bambooweir/messenger"
)

// A daemon that starts while the store is unreachable knows no other daemon, but
// the others know the address that it had before. They dial the addresses of
// daemons that left, and a daemon that is back learns from them whom to join.

const (
	// inviteWindow is how long a daemon that left is sent invitations, counted from
	// when the inviting daemon learned that the target is gone.
	inviteWindow = 30 * time.Second
	// meanInviters is the mean number of daemons that invite one that has left,
	// in each round.
	meanInviters = 2
	// maxInviters bounds the inviting daemons whose addresses are kept.
	maxInviters = 8
)

// inviteDeparted invites the daemons whose targets this daemon learned to be
// gone within the last inviteWindow. Each daemon of the fleet decides at random
// whether to invite, so that meanInviters do so on average.
func (s *Spreader) inviteDeparted(ctx context.Context) {
	liveCount := s.Table.LiveCount()
	for _, r := range s.Table.GoneSince(time.Now().Add(-inviteWindow)) {
		if r.PeerAddress != s.PeerAddress && rand.N(max(liveCount, 1)) < meanInviters {
			go s.invite(ctx, r.PeerAddress)
		}
	}
}

// invite invites the daemon at addr, if there is one, to join this daemon.
func (s *Spreader) invite(ctx context.Context, addr string) {
	link, _, err := s.handshake(ctx, addr, messenger.PurposeInvite)
	if err != nil {
		// Expected: most daemons that left have not come back.
		return
	}
	s.Counters.Invitations.Add(1)
	link.Close()
}

// handleInvite adds the address of a daemon that can be joined to the
// candidates, and ends the wait for the next attempt to attach.
func (s *Spreader) handleInvite(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.invited = slices.DeleteFunc(s.invited, func(known string) bool { return known == addr })
	s.invited = append([]string{addr}, s.invited[:min(len(s.invited), maxInviters-1)]...)
	s.wakeJoin()
}

// wakeJoin ends the wait for the next attempt to attach.
func (s *Spreader) wakeJoin() {
	select {
	case s.inviteWake <- struct{}{}:
	default:
	}
}

// waitForRetryOrInvite waits for d before the next attempt to attach. An
// invitation ends the wait early.
func (s *Spreader) waitForRetryOrInvite(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.inviteWake:
	}
}
