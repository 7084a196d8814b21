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
	defaultLinksPerPeer = 2
	// openingTimeout bounds the dialing of a link up to its Opening.
	openingTimeout = 500 * time.Millisecond
	// busyLink is the number of calls in flight above which another link is opened.
	busyLink = 4
)

// WrongPeerError reports an address at which another instance answers.
type WrongPeerError struct{ Got, Want string }

// Error implements error.
func (e *WrongPeerError) Error() string {
	return fmt.Sprintf("peer is instance %q, want %q", e.Got, e.Want)
}

// lane keeps calls apart that must not wait for each other's bytes.
type lane uint8

const (
	// laneSmall carries calls whose bodies are small.
	laneSmall lane = iota
	// laneBulk carries scans and all other calls with large bodies.
	laneBulk
	laneCount
)

// smallBodyBytes is the largest body in laneSmall.
const smallBodyBytes = 64 << 10

// laneOf returns the lane of a call. The answers of scans' class are taken to be
// large too.
func laneOf(call *messenger.Call) lane {
	if call.Class == versioner.ClassScan || len(call.Body) > smallBodyBytes {
		return laneBulk
	}
	return laneSmall
}

// peer holds the links of one lane to one daemon.
type peer struct {
	mu    sync.Mutex
	links []*callLink
	// dialing is closed when the dial under way has ended, with err; nil when there is none.
	dialing chan struct{}
	err     error
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// peerKey names a daemon: its address may be another one's later.
type peerKey struct{ instanceID, addr string }

func (f *Forwarder) peer(target tracker.Record, in lane) *peer {
	key := peerKey{target.InstanceID, target.PeerAddress}
	f.mu.Lock()
	defer f.mu.Unlock()
	lanes, ok := f.peers[key]
	if !ok {
		if f.peers == nil {
			f.peers = make(map[peerKey]*[laneCount]peer)
		}
		lanes = new([laneCount]peer)
		f.peers[key] = lanes
	}
	return &lanes[in]
}

// link returns the least busy link of the lane to the target's daemon. It opens one when
// there is none, and a further one beside it when all are busy.
func (f *Forwarder) link(ctx context.Context, target tracker.Record, in lane) (*callLink, error) {
	p := f.peer(target, in)
	for {
		p.mu.Lock()
		best := p.leastBusy()
		if best != nil && (best.inFlight.Load() < busyLink || len(p.links) >= cmp.Or(f.LinksPerPeer, defaultLinksPerPeer)) {
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
		err := p.err
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// isSilent says whether every open link of the lane to the target's daemon brings
// nothing. There is no use in adding to the calls that wait on them.
func (f *Forwarder) isSilent(target tracker.Record, in lane) bool {
	p := f.peer(target, in)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if !l.isSuspect() {
			return false
		}
	}
	return len(p.links) > 0
}

// leastBusy returns the link with the fewest calls in flight, or nil. The caller holds mu.
func (p *peer) leastBusy() *callLink {
	var best *callLink
	for _, l := range p.links {
		if best == nil || l.inFlight.Load() < best.inFlight.Load() {
			best = l
		}
	}
	return best
}

// dial opens one link and ends the dial under way.
func (f *Forwarder) dial(p *peer, target tracker.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), openingTimeout)
	defer cancel()
	l, err := f.open(ctx, target)
	p.mu.Lock()
	if err == nil {
		p.links = append(p.links, l)
	}
	wasLost := p.err != nil
	p.err = err
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

func (p *peer) remove(l *callLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.links {
		if other == l {
			p.links = append(p.links[:i:i], p.links[i+1:]...)
			return
		}
	}
}

// open dials and reads the Opening.
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
	return newCallLink(f, conn, *opening), nil
}

func (f *Forwarder) dialConn(ctx context.Context, addr string) (messenger.Conn, error) {
	if f.Dial != nil {
		return f.Dial(ctx, addr)
	}
	return messenger.Dial(ctx, addr, messenger.CallPath)
}
