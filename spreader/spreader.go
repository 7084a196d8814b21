// Package spreader carries configuration and membership between daemons.
//
// A few daemons of each failure domain hold relay leases in the platform's
// key-value service and watch the head; the others are fed by them.
package spreader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const (
	relayPrefix = "relay/"
	leaseTTL    = 10 * time.Second
	watchWait   = 20 * time.Second
	retryWait   = 500 * time.Millisecond
)

// Spreader is one daemon's part in the spreading. All exported fields must be
// set before Run.
type Spreader struct {
	InstanceID  string
	Domain      string
	PeerAddress string
	Store       storer.Client
	Applier     *applier.Applier
	Table       *tracker.Table
	Log         *zap.Logger

	mu    sync.Mutex
	peers map[*messenger.Link]struct{}
}

// Run takes part in the spreading until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.join(ctx); err != nil {
			s.Log.Debug("not joined", zap.Error(err))
		}
		wait := backoff.NewExponentialBackOff()
		wait.InitialInterval = retryWait
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// join becomes the relay of the failure domain, or follows the one there is.
func (s *Spreader) join(ctx context.Context) error {
	slot := relayPrefix + s.Domain
	items, err := s.Store.List(ctx, relayPrefix)
	if err != nil {
		return err
	}
	own := ""
	for _, item := range items {
		if item.Key == slot {
			own = string(item.Value)
		}
	}
	if own != "" && own != s.PeerAddress {
		return s.follow(ctx, own)
	}
	id, err := s.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if _, err := s.Store.CompareAndSwap(ctx, slot, []byte(s.PeerAddress), 0, id); err != nil {
		return err
	}
	s.Log.Info("relay lease taken", zap.String("slot", slot))
	return s.relay(ctx, id, slot)
}

// relay renews the lease and watches the head until either fails.
func (s *Spreader) relay(ctx context.Context, id storer.LeaseID, slot string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.renew(ctx, id, cancel)
	go s.exchange(ctx, slot)
	var after storer.Revision
	for ctx.Err() == nil {
		item, err := s.Store.Watch(ctx, acceptor.HeadKey, after, watchWait)
		var unchanged *storer.NotFoundError
		if errors.As(err, &unchanged) {
			continue
		}
		if err != nil {
			return err
		}
		after = item.Revision
		if err := s.take(ctx, item.Value); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// exchange keeps a link to a relay of another failure domain.
func (s *Spreader) exchange(ctx context.Context, slot string) {
	for ctx.Err() == nil {
		items, _ := s.Store.List(ctx, relayPrefix)
		for _, item := range items {
			if item.Key != slot {
				_ = s.follow(ctx, string(item.Value))
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryWait):
		}
	}
}

func (s *Spreader) renew(ctx context.Context, id storer.LeaseID, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(leaseTTL / 3)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := s.Store.Renew(ctx, id); err != nil {
			cancel(err)
			return
		}
	}
}

func (s *Spreader) take(ctx context.Context, value []byte) error {
	head, err := acceptor.DecodeHead(value)
	if err != nil {
		return err
	}
	doc, err := acceptor.ReadDocument(ctx, s.Store, head)
	if err != nil {
		return err
	}
	s.offer(ctx, doc, nil)
	return nil
}

// offer puts a document in force and passes it on to all peers but from.
func (s *Spreader) offer(ctx context.Context, doc *versioner.Document, from *messenger.Link) {
	applied, err := s.Applier.Offer(doc)
	if err != nil {
		s.Log.Warn("version refused", zap.Uint64("version", uint64(doc.Version)), zap.Error(err))
		return
	}
	if !applied {
		return
	}
	s.Log.Info("version in force", zap.Uint64("version", uint64(doc.Version)))
	s.broadcast(ctx, &messenger.State{Document: *doc}, from)
}

// Announce takes in records and passes on those that are new.
func (s *Spreader) Announce(ctx context.Context, records []tracker.Record) {
	s.spread(ctx, records, nil)
}

func (s *Spreader) spread(ctx context.Context, records []tracker.Record, from *messenger.Link) {
	changed := s.Table.Merge(records)
	if len(changed) > 0 {
		s.broadcast(ctx, &messenger.Members{Records: changed}, from)
	}
}

func (s *Spreader) broadcast(ctx context.Context, m messenger.Message, from *messenger.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for link := range s.peers {
		if link != from {
			_ = link.Send(ctx, m)
		}
	}
}

// follow keeps a control link to another daemon until it breaks.
func (s *Spreader) follow(ctx context.Context, addr string) error {
	link, err := messenger.Dial(ctx, addr, messenger.ControlPath)
	if err != nil {
		return err
	}
	return s.Serve(ctx, link)
}

// Serve exchanges messages over a control link until it ends.
func (s *Spreader) Serve(ctx context.Context, link *messenger.Link) error {
	defer link.Close()
	s.mu.Lock()
	if s.peers == nil {
		s.peers = make(map[*messenger.Link]struct{})
	}
	s.peers[link] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.peers, link)
		s.mu.Unlock()
	}()
	if err := s.greet(ctx, link); err != nil {
		return err
	}
	for {
		m, err := link.Receive(ctx)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *messenger.State:
			s.offer(ctx, &m.Document, link)
		case *messenger.Members:
			s.spread(ctx, m.Records, link)
		}
	}
}

func (s *Spreader) greet(ctx context.Context, link *messenger.Link) error {
	if snapshot := s.Applier.Current(); snapshot != nil {
		if err := link.Send(ctx, &messenger.State{Document: *snapshot.Document}); err != nil {
			return err
		}
	}
	return link.Send(ctx, &messenger.Members{Records: s.Table.All()})
}
