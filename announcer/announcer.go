// Package announcer takes the announcements of the target beside this daemon.
package announcer

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/tracker"
)

// Path is where a target announces itself.
const Path = "/v1/announcement"

// Announcement is what a target says of itself.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the target takes calls, for example "127.0.0.1:8080".
	Address string `json:"address"`
	// State is "ready" or "draining".
	State string `json:"state"`
}

// Announcer keeps the newest announcement as the membership record of this
// daemon. Self and Changed must be set.
type Announcer struct {
	// Self is the record's fixed part.
	Self tracker.Record
	// Changed is called with each new record.
	Changed func(tracker.Record)

	mu      sync.Mutex
	address string
	record  tracker.Record
}

// Register adds the announcement resource to the router.
func (a *Announcer) Register(e *echo.Echo) { e.PUT(Path, a.put) }

func (a *Announcer) put(c echo.Context) error {
	var in Announcement
	if err := c.Bind(&in); err != nil {
		return err
	}
	state := tracker.StateReady
	if in.State == tracker.StateDraining.String() {
		state = tracker.StateDraining
	}
	if record, changed := a.update(in, state); changed {
		a.Changed(record)
	}
	return c.NoContent(http.StatusNoContent)
}

// update keeps the announcement. A repeated one changes nothing.
func (a *Announcer) update(in Announcement, state tracker.State) (tracker.Record, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.address = in.Address
	if a.record.Sequence == 0 {
		a.record = a.Self
	} else if a.record.Service == in.Service && a.record.State == state {
		return a.record, false
	}
	a.record.Sequence++
	a.record.Service = in.Service
	a.record.State = state
	return a.record, true
}

// Target returns the target's base URL, or "" before the first announcement.
func (a *Announcer) Target() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.address == "" {
		return ""
	}
	return "http://" + a.address
}
