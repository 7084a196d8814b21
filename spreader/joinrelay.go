package spreader

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
)

// hasLostParent reports whether this daemon has lost a parent and has not looked for another
// since.
func (s *Spreader) hasLostParent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostParent != ""
}

// consumeLostParent returns and clears the peer address of a parent that was lost, "" for none.
func (s *Spreader) consumeLostParent() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.lostParent
	s.lostParent = ""
	return lost
}

// joinOtherRelay joins a relay of this failure domain that was known before this daemon lost
// the parent at the address lost and is not that parent, and reports whether there was a session.
// It makes no call of the store, so that a lost parent does not bring all its children there.
func (s *Spreader) joinOtherRelay(ctx context.Context, lost string) bool {
	s.mu.Lock()
	known, isAppointed := s.ownSlots(s.slots), s.appointedSlot != ""
	s.mu.Unlock()
	if lost == "" || isAppointed {
		return false
	}
	for i := range known {
		if known[i].addr == lost {
			known[i].addr = ""
		}
	}
	return s.joinRelay(ctx, known, "")
}

// joinKnownRelay joins a relay of this failure domain that the store names, if it answers,
// and reports whether there was a session. It claims no slot, so that it can do with slots
// that are some seconds old: most daemons start after a failure, and the slots name the
// relays from before.
func (s *Spreader) joinKnownRelay(ctx context.Context) bool {
	items, err := s.Store.ListStale(ctx, relayPrefix)
	s.firstSlotReadOnce.Do(func() { close(s.firstSlotRead) })
	if err != nil {
		s.Counters.StoreFailures.Add(1)
		return false
	}
	return s.joinRelay(ctx, s.ownSlots(s.keepSlots(items)), "")
}

// joinRelay joins a relay of this failure domain, and reports whether there was
// a session. It tries the one at the address lost after the others. It clears the
// address in own of a relay that refuses connections: its process is gone, so its
// slot may be claimed.
func (s *Spreader) joinRelay(ctx context.Context, own []slot, lost string) bool {
	for _, i := range joinOrder(own, lost) {
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

// joinOrder returns the indexes of the slots at random, but that of the address lost at the end.
func joinOrder(own []slot, lost string) []int {
	order := rand.Perm(len(own))
	if at := slices.IndexFunc(order, func(i int) bool { return own[i].addr == lost }); at >= 0 {
		i := order[at]
		order = append(slices.Delete(order, at, at+1), i)
	}
	return order
}
