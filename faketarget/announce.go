package faketarget

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"bambooweir.example/bambooweir/announcer"
	"bambooweir.example/bambooweir/tracker"
)

const announceInterval = 500 * time.Millisecond

// Announce announces the target to its daemon every announceInterval until ctx is
// done, so that the daemon learns of the target again after a restart.
func (t *Target) Announce(ctx context.Context) {
	t.mu.Lock()
	t.appendEvent(Event{Kind: EventStarted, At: time.Now()})
	t.mu.Unlock()
	for {
		_ = t.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// Drain announces to the daemon that the target is draining. Calls in flight
// continue.
func (t *Target) Drain(ctx context.Context) error {
	t.mu.Lock()
	t.state = tracker.StateDraining
	t.mu.Unlock()
	if err := t.announce(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drained.IsZero() {
		t.drained = time.Now()
		t.appendEvent(Event{Kind: EventDrained, At: t.drained})
	}
	return nil
}

// announce sends the target's state and address to its daemon once.
func (t *Target) announce(ctx context.Context) error {
	t.mu.Lock()
	state := t.stateLocked()
	t.mu.Unlock()
	return announcer.Send(ctx, http.DefaultClient, t.DaemonURL, announcer.Announcement{
		Service: t.Service, Address: cmp.Or(t.AnnouncedAddress, t.Address), State: state.String(),
	})
}
