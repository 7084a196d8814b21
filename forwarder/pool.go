package forwarder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// defaultLinksPerPeer bounds the links of each lane to one daemon if LinksPerPeer is
	// 0.
	defaultLinksPerPeer = 2
	// openingTimeout bounds the time to dial a link and receive its Opening.
	openingTimeout = 500 * time.Millisecond
	// busyLinkCalls is the number of calls in flight from which a link counts as busy;
	// another link is opened when all links of a pool are busy.
	busyLinkCalls = 4
)

// WrongPeerError reports that another instance than expected accepted the link at an
// address.
type WrongPeerError struct{ Got, Want string }

// Error implements error.
func (e *WrongPeerError) Error() string {
	return fmt.Sprintf("peer is instance %q, want %q", e.Got, e.Want)
}

// lane separates small from large calls: each lane has its own links, so that a small
// call does not wait for the bytes of a large one.
type lane uint8

const (
	// laneSmall carries calls whose bodies are small.
	laneSmall lane = iota
	// laneBulk carries scans and all calls with large bodies.
	laneBulk
	laneCount
)

// smallBodyBytes is the size of the largest request body in laneSmall.
const smallBodyBytes = 64 << 10

// laneOf returns the lane of a call. Calls of the scan class use laneBulk whatever
// the size of their request body, since their answers are assumed to be large.
func laneOf(call *messenger.Call) lane {
	if call.Class == versioner.ClassScan || len(call.Body) > smallBodyBytes {
		return laneBulk
	}
	return laneSmall
}

// linkPool holds the open links of one lane to one daemon.
type linkPool struct {
	mu    sync.Mutex
	links []*callLink
	// dialing is closed when the dial in progress ends; nil when none is in progress.
	dialing chan struct{}
	// dialErr is the error of the last dial.
	dialErr error
}

// isConnectionRefused reports whether nothing listens at the address of a dial that
// failed with err.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// poolKey identifies a daemon. The address alone is not enough, since a daemon of
// another instance may use it later.
type poolKey struct{ instanceID, addr string }

// pool returns the pool of the lane to the target's daemon, and creates it if needed.
func (f *Forwarder) pool(target tracker.Record, in lane) *linkPool {
	key := poolKey{target.InstanceID, target.PeerAddress}
	f.mu.Lock()
	defer f.mu.Unlock()
	lanes, ok := f.pools[key]
	if !ok {
		if f.pools == nil {
			f.pools = make(map[poolKey]*[laneCount]linkPool)
		}
		lanes = new([laneCount]linkPool)
		f.pools[key] = lanes
	}
	return &lanes[in]
}

// link returns the link of the lane to the target's daemon with the fewest calls in
// flight. If there is none, link waits until one is open. If all are busy, it opens
// another one in the background, within LinksPerPeer.
func (f *Forwarder) link(ctx context.Context, target tracker.Record, in lane) (*callLink, error) {
	p := f.pool(target, in)
	for {
		p.mu.Lock()
		best := p.leastBusy()
		if best != nil && (best.inFlight.Load() < busyLinkCalls || len(p.links) >= cmp.Or(f.LinksPerPeer, defaultLinksPerPeer)) {
			p.mu.Unlock()
			return best, nil
		}
		if p.dialing == nil {
			p.dialing = make(chan struct{})
			go f.dial(p, target)
		}
		dialing := p.dialing
		p.mu.Unlock()
		if best != nil {
			return best, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-dialing:
		}
		p.mu.Lock()
		err := p.dialErr
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// allLinksSilent reports whether the lane has open links to the target's daemon and
// all of them are silent. A further call would only wait with those in flight on them.
func (f *Forwarder) allLinksSilent(target tracker.Record, in lane) bool {
	p := f.pool(target, in)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if !l.isSilent() {
			return false
		}
	}
	return len(p.links) > 0
}

// leastBusy returns the link with the fewest calls in flight, or nil. The caller holds mu.
func (p *linkPool) leastBusy() *callLink {
	var best *callLink
	for _, l := range p.links {
		if best == nil || l.inFlight.Load() < best.inFlight.Load() {
			best = l
		}
	}
	return best
}

// dial opens one link, wakes the callers that wait for p.dialing, and receives on the
// link until it is lost.
func (f *Forwarder) dial(p *linkPool, target tracker.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), openingTimeout)
	defer cancel()
	l, err := f.open(ctx, target)
	p.mu.Lock()
	if err == nil {
		p.links = append(p.links, l)
	}
	wasLost := p.dialErr != nil
	p.dialErr = err
	close(p.dialing)
	p.dialing = nil
	p.mu.Unlock()
	if err != nil {
		f.logger().Warn("daemon-unreachable", zap.String("target", target.InstanceID), zap.String("address", target.PeerAddress), zap.Error(err))
		return
	}
	if wasLost {
		f.logger().Info("daemon-regained", zap.String("target", target.InstanceID))
	}
	f.Counters.LinksOpened.Add(1)
	l.receive()
	f.Counters.LinksLost.Add(1)
	p.remove(l)
}

// remove removes a link that is closed or lost from the pool.
func (p *linkPool) remove(l *callLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.links {
		if other == l {
			p.links = append(p.links[:i:i], p.links[i+1:]...)
			return
		}
	}
}

// open dials the target's daemon and reads the Opening. It fails with a
// *WrongPeerError if the peer is not the target's instance.
func (f *Forwarder) open(ctx context.Context, target tracker.Record) (*callLink, error) {
	conn, err := f.dialConn(ctx, target.PeerAddress)
	if err != nil {
		return nil, err
	}
	m, err := conn.Receive(ctx)
	if err != nil {
		conn.Close()
		return nil, err
	}
	opening, ok := m.(*messenger.Opening)
	if !ok || opening.InstanceID != target.InstanceID {
		conn.Close()
		got := ""
		if ok {
			got = opening.InstanceID
		}
		return nil, &WrongPeerError{Got: got, Want: target.InstanceID}
	}
	if opening.Draining {
		f.markDraining(opening.InstanceID, opening.Incarnation)
	}
	l := newCallLink(f, conn, *opening)
	if link, ok := conn.(*messenger.Link); ok {
		link.IsAwaited = l.isAwaited
	}
	return l, nil
}

// dialConn opens a connection by Dial, or by messenger.Dial if that is nil.
func (f *Forwarder) dialConn(ctx context.Context, addr string) (messenger.Conn, error) {
	if f.Dial != nil {
		return f.Dial(ctx, addr)
	}
	link, err := messenger.Dial(ctx, addr, messenger.CallPath)
	if err != nil {
		return nil, err
	}
	link.Answers = f.Answers
	return link, nil
}
