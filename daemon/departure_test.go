package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/announcer"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

// announcedDaemon is a daemon of which only the part runs that receives its target's
// announcements. It runs until kill is called.
type announcedDaemon struct {
	*Daemon
	kill context.CancelFunc
}

func startAnnouncedDaemon(t *testing.T, id string, store storer.Client) announcedDaemon {
	t.Helper()
	d := New(&loader.Daemon{InstanceID: id, FailureDomain: "mobile-bay"}, store, zap.NewNop())
	d.announcer.HeartbeatTimeout = time.Minute
	ctx, kill := context.WithCancel(t.Context())
	go d.announcer.Run(ctx)
	return announcedDaemon{d, kill}
}

// announce sends an announcement of the run that started at the epoch, and returns the status
// of the response.
func (d announcedDaemon) announce(epoch, sequence int, state tracker.State) int {
	r := httptest.NewRequest(http.MethodPut, announcer.Path, strings.NewReader(fmt.Sprintf(
		`{"address":"127.0.0.1:1","service":"payout-desk","epoch":%d,"run-id":"r%[1]d","sequence":%d,"state":%q,"slots":12}`,
		epoch, sequence, state)))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	d.operatorHandler().ServeHTTP(w, r)
	return w.Code
}

// isInUse reports whether the daemon tells others to send calls to its target.
func (d announcedDaemon) isInUse() bool {
	r, ok := d.table.Find(d.announcer.Self.InstanceID)
	return ok && r.State == tracker.StateReady && !d.announcer.Draining()
}

// TestDepartedTargetStaysOutOfUseAfterAllDaemonsEnd guards against calls to a target whose
// departure was acknowledged, after a late announcement arrives at a daemon whose peers have
// forgotten the departure, too.
func TestDepartedTargetStaysOutOfUseAfterAllDaemonsEnd(t *testing.T) {
	tests := []struct {
		name      string
		departure tracker.State
		// late is the sequence number of the late announcement; the departure has 5.
		late int
	}{
		{name: "draining", departure: tracker.StateDraining, late: 4},
		{name: "gone", departure: tracker.StateGone, late: 4},
		{name: "gone, and the late announcement is newer", departure: tracker.StateGone, late: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := new(fakestorer.Store)
				d := startAnnouncedDaemon(t, "d1", store)
				d.announce(1000, 3, tracker.StateReady)
				if !d.isInUse() {
					t.Fatal("target before its departure: got not in use, want in use")
				}
				if got := d.announce(1000, 5, tt.departure); got != http.StatusNoContent {
					t.Fatalf("departure: got status %d, want 204", got)
				}
				d.kill()
				time.Sleep(time.Second)
				d = startAnnouncedDaemon(t, "d1", store)
				defer d.kill()
				if got := d.announce(1000, tt.late, tracker.StateReady); got != http.StatusConflict {
					t.Errorf("late announcement: got status %d, want 409", got)
				}
				if d.isInUse() {
					t.Error("target after the late announcement: got in use, want not in use")
				}
				d.announce(9000, 1, tracker.StateReady)
				if !d.isInUse() {
					t.Error("next run of the target: got not in use, want in use")
				}
			})
		})
	}
}
