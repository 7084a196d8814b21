package announcer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/tracker"
)

// recorder is an Announcer that collects its records and whose Dial returns
// dialErr.
type recorder struct {
	Announcer
	mu      sync.Mutex
	records []tracker.Record
	dialErr error
}

func newRecorder() *recorder {
	r := new(recorder)
	r.Self = tracker.Record{InstanceID: "d1", Incarnation: 5, Domain: "mobile-bay"}
	r.OnChange = func(record tracker.Record) { r.records = append(r.records, record) }
	r.Dial = func(context.Context, string) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.dialErr
	}
	return r
}

func (r *recorder) setDialError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialErr = err
}

// put sends body to the announcement resource and returns the status and the
// response body.
func (r *recorder) put(body string) (int, string) {
	e := echo.New()
	r.Register(e)
	req := httptest.NewRequest(http.MethodPut, Path, strings.NewReader(body))
	res := httptest.NewRecorder()
	e.ServeHTTP(res, req)
	return res.Code, res.Body.String()
}

// states returns the states of the collected records, with "out-of-order" before
// each record whose sequence number does not follow its predecessor's.
func (r *recorder) states() string {
	r.Announcer.mu.Lock()
	defer r.Announcer.mu.Unlock()
	var states []string
	for i, record := range r.records {
		if record.Sequence != uint64(i+1) {
			states = append(states, "out-of-order")
		}
		states = append(states, record.State.String())
	}
	return strings.Join(states, " ")
}

func TestAnnouncementValidation(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		status     int
		want       string
	}{
		{"valid", `{"service":"ledger-view","address":"127.0.0.1:80","state":"ready","slots":12,"connections":130,"epoch":7}`, 204, ""},
		{"unknown field", `{"service":"s","address":"127.0.0.1:80","state":"ready","slot":1}`, 400, `unknown field \"slot\"`},
		{"wrong type", `{"service":"s","address":"127.0.0.1:80","state":"ready","slots":"12"}`, 400, "slots: must not be a string"},
		{"unknown state", `{"service":"s","address":"127.0.0.1:80","state":"up"}`, 400, "state: must be warming, ready, draining or gone"},
		{"no service", `{"address":"127.0.0.1:80","state":"ready"}`, 400, "service: must have 1 to 128 bytes"},
		{"host name", `{"service":"s","address":"localhost:80","state":"ready"}`, 400, "address: must be IP:port"},
		{"negative slots", `{"service":"s","address":"127.0.0.1:80","state":"ready","slots":-1}`, 400, "slots: must be 0 to"},
		{"two values", `{"service":"s","address":"127.0.0.1:80","state":"ready"}{}`, 400, "more than one JSON value"},
		{"too long", `{"service":"` + strings.Repeat("x", maxAnnouncementBytes) + `"}`, 400, "longer than 4096 bytes"},
		{"empty", "", 400, "EOF"},
	} {
		r := newRecorder()
		status, body := r.put(tt.body)
		if status != tt.status || !strings.Contains(body, tt.want) {
			t.Errorf("%s: got status %d and body %s, want %d and %q", tt.name, status, body, tt.status, tt.want)
		}
		if got := len(r.records); got > 0 != (tt.status == 204) {
			t.Errorf("%s: got %d records with status %d", tt.name, got, status)
		}
	}
}

// A repeated announcement must make no new record, one of an earlier epoch must
// be rejected, and after Drain every record must be draining, whatever the target
// announces.
func TestAnnouncementsProduceRecords(t *testing.T) {
	r := newRecorder()
	announce := func(state string, epoch uint64) error {
		return r.Announce(Announcement{Service: "ledger-view", Address: "127.0.0.1:80", State: state, Epoch: epoch})
	}
	for _, state := range []string{"warming", "ready", "ready", "draining"} {
		if err := announce(state, 3); err != nil {
			t.Fatal(err)
		}
	}
	var stale *StaleEpochError
	if err := announce("ready", 2); !errors.As(err, &stale) {
		t.Errorf("announcement of an earlier epoch: got %v, want a *StaleEpochError", err)
	}
	if err := announce("ready", 4); err != nil {
		t.Fatal(err)
	}
	r.Drain()
	if err := announce("ready", 5); err != nil {
		t.Fatal(err)
	}
	if got, want := r.states(), "warming ready draining ready draining draining"; got != want {
		t.Errorf("states: got %s, want %s", got, want)
	}
	last := r.records[len(r.records)-1]
	want := tracker.Record{InstanceID: "d1", Incarnation: 5, Sequence: 6, Service: "ledger-view", Domain: "mobile-bay", State: tracker.StateDraining, Epoch: 5}
	if last != want {
		t.Errorf("last record: got %+v, want %+v", last, want)
	}
}

// withRunningChecks calls f in a synctest bubble with an announced, ready target
// whose checks are running.
func withRunningChecks(t *testing.T, f func(t *testing.T, r *recorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		if err := r.Announce(Announcement{Service: "ledger-view", Address: "127.0.0.1:80", State: "ready"}); err != nil {
			t.Fatal(err)
		}
		f(t, r)
	})
}

// A single failed check must not mark the target as gone; the second in a row
// must, and the next successful check must restore the announced state.
func TestVanishedTargetIsGoneAndReturns(t *testing.T) {
	withRunningChecks(t, func(t *testing.T, r *recorder) {
		r.setDialError(errors.New("connection refused"))
		time.Sleep(checkInterval + time.Millisecond)
		if got := r.states(); got != "ready" {
			t.Errorf("after one failed check: got %s, want ready", got)
		}
		time.Sleep(checkInterval)
		if got := r.states(); got != "ready gone" {
			t.Errorf("after two failed checks: got %s, want ready gone", got)
		}
		r.setDialError(nil)
		time.Sleep(checkInterval)
		if got := r.states(); got != "ready gone ready" {
			t.Errorf("after a successful check: got %s, want ready gone ready", got)
		}
	})
}

// A call that could not reach the target triggers a check at once. If that
// fails, the target is gone; a repeated announcement restores it even though
// nothing in it has changed.
func TestUnreachableTargetIsCheckedAtOnce(t *testing.T) {
	withRunningChecks(t, func(t *testing.T, r *recorder) {
		r.setDialError(errors.New("connection refused"))
		r.ReportUnreachable()
		synctest.Wait()
		if got := r.states(); got != "ready gone" {
			t.Errorf("got %s, want ready gone", got)
		}
		if err := r.Announce(Announcement{Service: "ledger-view", Address: "127.0.0.1:80", State: "ready"}); err != nil {
			t.Fatal(err)
		}
		if got := r.states(); got != "ready gone ready" {
			t.Errorf("after a repeated announcement: got %s, want ready gone ready", got)
		}
	})
}

// A listener may accept a connection although no target runs behind it, and
// close it at once. Such a connection must not count as a successful check.
func TestCheckSeesClosedConnections(t *testing.T) {
	for _, tt := range []struct {
		name   string
		closes bool
	}{{"closed at once", true}, {"kept open", false}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				if tt.closes {
					_ = conn.Close()
				} else {
					defer conn.Close()
				}
			}
		}()
		var a Announcer
		if err := a.probe(t.Context(), l.Addr().String()); (err != nil) != tt.closes {
			t.Errorf("%s: got error %v, want an error: %v", tt.name, err, tt.closes)
		}
		_ = l.Close()
		if err := a.probe(t.Context(), l.Addr().String()); err == nil {
			t.Errorf("%s: after the listener closed: got no error", tt.name)
		}
	}
}

// Answered calls show that the target is reachable, so no check connections are
// opened while calls succeed.
func TestAnsweredCallsReplaceChecks(t *testing.T) {
	withRunningChecks(t, func(t *testing.T, r *recorder) {
		for range 20 {
			r.ReportReachable()
			time.Sleep(checkInterval / 2)
		}
		if got := r.Counters.Checks.Value(); got != 0 {
			t.Errorf("checks during calls: got %d, want 0", got)
		}
		time.Sleep(2 * checkInterval)
		if got := r.Counters.Checks.Value(); got == 0 {
			t.Error("checks without calls: got none")
		}
	})
}

// A daemon that has just started may receive the departure of a run that it does
// not know, without the run's epoch, and the run's earlier heartbeats only after
// it. Those late heartbeats must not make the departed target ready again.
func TestDepartureOfUnknownRunIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newRecorder()
		ready := Announcement{
			Service: "payout-desk", Address: "10.0.0.1:80", State: "ready", Slots: 12,
			RunID: "i-1", Epoch: 7, Sequence: 20,
		}
		_ = a.Depart(ready.RunID, 0)
		time.Sleep(3 * time.Second)
		var stale *StaleError
		if err := a.Announce(ready); !errors.As(err, &stale) {
			t.Errorf("heartbeat from before the departure: got %v, want a *StaleError", err)
		}
		if got := a.TargetURL(); got != "" {
			t.Errorf("target after its departure: got %q, want none", got)
		}
		other := ready
		other.RunID, other.Epoch = "i-2", 8
		if err := a.Announce(other); err != nil {
			t.Errorf("announcement of another run: got error %v, want none", err)
		}
		time.Sleep(lateArrivalWindow)
		ready.Epoch = 9
		if err := a.Announce(ready); err != nil {
			t.Errorf("announcement of a later run with the same id: got error %v, want none", err)
		}
	})
}

// A daemon that was restarted after its target announced that it is draining must not take
// a late heartbeat of the same run, which still says ready, for the target's state. Another
// run of the target, and the record of a daemon that drained itself, must not hold it back.
func TestLateHeartbeatAfterTheDaemonsRestart(t *testing.T) {
	for _, tt := range []struct {
		name        string
		predecessor tracker.Record
		epoch       uint64
		wantStale   bool
	}{
		{"target was leaving", tracker.Record{State: tracker.StateDraining, TargetLeaving: true, Epoch: 7}, 7, true},
		{"later run of the target", tracker.Record{State: tracker.StateGone, TargetLeaving: true, Epoch: 7}, 8, false},
		{"only the daemon was draining", tracker.Record{State: tracker.StateGone, Epoch: 7}, 7, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecorder()
			r.Predecessor = func() (tracker.Record, bool) { return tt.predecessor, true }
			late := Announcement{Service: "ledger-view", Address: "10.0.0.1:80", State: "ready", Epoch: tt.epoch, RunID: "i-1", Sequence: 3}
			var stale *StaleError
			if got := errors.As(r.Announce(late), &stale); got != tt.wantStale {
				t.Errorf("late heartbeat: got stale %v, want %v", got, tt.wantStale)
			}
			draining := late
			draining.State, draining.Sequence = "draining", 4
			if err := r.Announce(draining); err != nil {
				t.Fatal(err)
			}
			last := r.records[len(r.records)-1]
			if last.State != tracker.StateDraining || !last.TargetLeaving {
				t.Errorf("record: got %v, leaving %v, want draining, true", last.State, last.TargetLeaving)
			}
		})
	}
}

// A target warms up for as long as its newest announcement says, whenever it arrived.
func TestWarmsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Announcer{OnChange: func(tracker.Record) {}}
		if a.WarmsUp() {
			t.Error("before the first announcement: got true, want false")
		}
		announce := func(coldMS int) {
			t.Helper()
			if err := a.Announce(Announcement{Service: "ledger-view", Address: "127.0.0.1:80", State: "ready", ColdMS: coldMS}); err != nil {
				t.Fatal(err)
			}
		}
		for _, step := range []struct {
			coldMS int
			after  time.Duration
			want   bool
		}{{3000, 2 * time.Second, true}, {1000, 999 * time.Millisecond, true}, {1000, time.Millisecond, false}, {0, 0, false}} {
			announce(step.coldMS)
			time.Sleep(step.after)
			if got := a.WarmsUp(); got != step.want {
				t.Errorf("%v after an announcement of %d ms: got %v, want %v", step.after, step.coldMS, got, step.want)
			}
		}
	})
}

// A call that failed to reach the target's last process must not mark the next one as gone,
// which has announced itself since.
func TestUnreachableCallDoesNotMarkTheNextRunGone(t *testing.T) {
	tests := []struct {
		name string
		// announces is set if a new run announces itself after the failed call.
		announces bool
		want      tracker.State
	}{{"no announcement since", false, tracker.StateGone}, {"a new run has announced itself", true, tracker.StateReady}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var newest tracker.Record
				a := &Announcer{HeartbeatTimeout: 3 * time.Second, OnChange: func(r tracker.Record) { newest = r }}
				announce := func(epoch uint64) {
					t.Helper()
					if err := a.Announce(Announcement{Service: "ledger-view", Address: "127.0.0.1:80", State: "ready", Epoch: epoch}); err != nil {
						t.Fatal(err)
					}
				}
				announce(1)
				time.Sleep(time.Second)
				a.ReportUnreachable()
				if tt.announces {
					time.Sleep(time.Millisecond)
					announce(2)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go a.Run(ctx)
				synctest.Wait()
				if newest.State != tt.want {
					t.Errorf("state: got %v, want %v", newest.State, tt.want)
				}
			})
		})
	}
}

// A target that announced that it drains accepts no new calls after it has vanished either,
// and a daemon that has left accepts none.
func TestDrainingAfterVanishingAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Announcer{OnChange: func(tracker.Record) {}}
		announce := func(state string) {
			t.Helper()
			if err := a.Announce(Announcement{Service: "ledger-view", Address: "127.0.0.1:80", State: state}); err != nil {
				t.Fatal(err)
			}
		}
		announce("ready")
		a.setVanished(a.Current(), true)
		if a.Draining() {
			t.Error("a ready target that has vanished: got true, want false")
		}
		announce("draining")
		a.setVanished(a.Current(), true)
		if !a.Draining() {
			t.Error("a draining target that has vanished: got false, want true")
		}
		announce("ready")
		a.Leave(false)
		if !a.Draining() {
			t.Error("after Leave: got false, want true")
		}
	})
}
