package canarier

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/tracker"
)

const (
	testService  = "payout-desk"
	testShare    = 0.1
	testDuration = 16 * time.Second
	callsARound  = 100
	// targetsAVersion is the number of targets that each version has.
	targetsAVersion = 8
)

// testCodec keeps orders and states as CBOR.
var testCodec = Codec{
	OrderPrefix: "order/", StatusPrefix: "state/",
	DecodeOrder: func(_ string, value []byte) (o Order, err error) {
		if err = cbor.Unmarshal(value, &o); err == nil && o.Duration <= 0 {
			err = errors.New("no duration")
		}
		return o, err
	},
	EncodeStatus: func(st Status) ([]byte, error) { return cbor.Marshal(st) },
	DecodeStatus: func(value []byte) (st Status, err error) {
		err = cbor.Unmarshal(value, &st)
		return st, err
	},
}

// relay is a daemon that may lead.
type relay struct {
	part   *Part
	faults *fakestorer.FaultInjector
	stop   context.CancelFunc
	done   chan struct{}
	// isKilled is set by kill.
	isKilled bool
}

// kill ends the daemon without a word to the store.
func (r *relay) kill() {
	r.isKilled = true
	r.faults.Set(fakestorer.Fault{IsDown: true})
	r.stop()
	<-r.done
}

// fleet is a few relays in a line, and below the last a daemon through which all calls go.
type fleet struct {
	t      *testing.T
	store  *fakestorer.Store
	relays []*relay
	entry  *Part
	table  *tracker.Table
	// fails says whether the call to a target of the new version fails.
	fails func(exposed int) bool
	// total and exposed count the calls, afterBad those to the new version that were sent later
	// than the time for a roll-back after the 50th failure.
	total, exposed, failures, afterBad int
	badAt                              time.Time
	// isRestored says that the store has lost what was decided.
	isRestored bool
	// knowsPart says that the relays' table lacks a part of the fleet.
	knowsPart bool
}

// newFleet returns a fleet with n relays whose new version fails as told.
func newFleet(t *testing.T, n int, fails func(exposed int) bool) *fleet {
	f := &fleet{t: t, store: new(fakestorer.Store), table: new(tracker.Table), fails: fails, entry: new(Part)}
	f.addTargets("v1")
	var parts []*Part
	for range n {
		f.relays = append(f.relays, f.newRelay())
		parts = append(parts, f.relays[len(f.relays)-1].part)
	}
	joinParts(append(parts, f.entry))
	for _, r := range f.relays {
		f.start(r)
	}
	return f
}

// addTargets adds the ready targets of a version.
func (f *fleet) addTargets(version string) {
	for i := range targetsAVersion {
		f.table.Merge([]tracker.Record{{
			InstanceID: version + string(rune('a'+i)), Incarnation: 1, Sequence: 1, Service: testService, State: tracker.StateReady, Slots: 12, Version: version,
		}})
	}
}

// removeTargets ends the targets of a version.
func (f *fleet) removeTargets(version string) {
	for i := range targetsAVersion {
		f.table.Merge([]tracker.Record{{
			InstanceID: version + string(rune('a'+i)), Incarnation: 1, Sequence: 2, Service: testService, State: tracker.StateGone, Version: version,
		}})
	}
}

// newRelay returns a relay that is not running.
func (f *fleet) newRelay() *relay {
	return &relay{part: new(Part), faults: &fakestorer.FaultInjector{Client: f.store}, done: make(chan struct{})}
}

// start runs a relay until the test ends.
func (f *fleet) start(r *relay) {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	l := &Leader{
		Store: r.faults, Codec: testCodec, Part: r.part, Table: f.table, InstanceID: "r", IsWatcher: func() bool { return true },
		HasService: func(s string) bool { return s == testService }, KnowsFleet: func() bool { return !f.knowsPart }, ExposureShare: testShare, RollbackWithin: 5 * time.Second, LeaseTTL: 3 * time.Second,
	}
	go func() {
		defer close(r.done)
		l.Run(ctx)
	}()
	f.t.Cleanup(func() {
		stop()
		<-r.done
	})
}

// joinParts links the parts in a line. What one sends arrives at once.
func joinParts(parts []*Part) {
	for i, p := range parts {
		p.OnChange = func() {
			for _, j := range []int{i - 1, i + 1} {
				if j < 0 || j >= len(parts) {
					continue
				}
				if payload := p.Next(tracker.Source(j + 1)); payload != nil {
					parts[j].Receive(tracker.Source(i+1), payload)
				}
			}
		}
	}
}

// order writes an order to the store.
func (f *fleet) order(o Order) {
	value, err := cbor.Marshal(o)
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(testCodec.OrderPrefix+o.Service, value)
}

// put writes a value to the store.
func (f *fleet) put(key string, value []byte) {
	item, err := f.store.Get(f.t.Context(), key)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		f.t.Fatal(err)
	}
	if _, err := f.store.CompareAndSwap(f.t.Context(), key, value, item.Revision, 0); err != nil {
		f.t.Fatal(err)
	}
}

// status returns the state of the service's order in the store.
func (f *fleet) status(service string) (st Status) {
	item, err := f.store.Get(f.t.Context(), testCodec.StatusPrefix+service)
	if err != nil {
		return Status{}
	}
	if err := cbor.Unmarshal(item.Value, &st); err != nil {
		f.t.Fatal(err)
	}
	return st
}

// call lets the calls of one round pass through the entry daemon.
func (f *fleet) call() {
	for range callsARound {
		f.total++
		if !f.entry.Versions(testService, true).UseNew {
			f.entry.Observe(testService, "v1", "menu", false, true, 100*time.Millisecond)
			continue
		}
		f.exposed++
		if !f.badAt.IsZero() && time.Since(f.badAt) > 5*time.Second {
			f.afterBad++
		}
		failed := f.fails(f.exposed)
		if failed {
			if f.failures++; f.failures == 50 {
				f.badAt = time.Now()
			}
		}
		f.entry.Observe(testService, "v2", "menu", failed, true, 100*time.Millisecond)
	}
}

// playUntil lets rounds pass until isDone, for at most limit, and reports whether it was.
func (f *fleet) playUntil(limit time.Duration, isDone func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if isDone() {
			return true
		}
		f.call()
		f.checkStore()
		time.Sleep(roundInterval)
		synctest.Wait()
	}
	return isDone()
}

// TestLeaderKilledAtEachStage kills the leader, without a word, when it has announced a stage,
// for a good version and for bad ones. Another daemon must bring the order to the right end;
// at no time may a share be in force that the store does not know, and the bad version must
// stay within its share although nobody counts its calls.
func TestLeaderKilledAtEachStage(t *testing.T) {
	half := func(n int) bool { return n%2 == 0 }
	for name, tc := range map[string]struct {
		fails  func(int) bool
		stages []Stage
		want   State
	}{
		"good":     {func(int) bool { return false }, []Stage{StageHeld, StageCanary, StageWiden, StageMost, StageAll}, StateCompleted},
		"bad":      {half, []Stage{StageHeld, StageCanary}, StateRolledBack},
		"bad late": {func(n int) bool { return n > 80 && n%2 == 0 }, []Stage{StageHeld, StageCanary}, StateRolledBack},
	} {
		for _, stage := range tc.stages {
			t.Run(name+" "+stage.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 2, tc.fails)
					f.order(Order{Service: testService, Version: "v2", Duration: testDuration})
					if !f.playUntil(time.Minute, func() bool {
						if stage == StageHeld {
							return f.status(testService).State == StateRunning
						}
						f.addNewTargetsOnce()
						d, ok := f.entry.Known(testService)
						return ok && d.Stage == stage && d.Term > 0
					}) {
						t.Fatalf("got status %+v, want stage %v", f.status(testService), stage)
					}
					f.killLeader()
					f.addNewTargetsOnce()
					if !f.playUntil(time.Minute, func() bool { return f.isOver("v2") }) {
						t.Fatalf("got status %+v, want a final one", f.status(testService))
					}
					if got := f.status(testService); got.State != tc.want {
						t.Errorf("got status %+v, want %v", got, tc.want)
					}
					if tc.want == StateRolledBack {
						f.checkExposure()
					}
				})
			})
		}
	}
}

// checkStore checks that the store knows the share that is in force, or the end.
func (f *fleet) checkStore() {
	f.t.Helper()
	d, _ := f.entry.Known(testService)
	st := f.status(testService)
	if st.Version != d.Version || f.isRestored || !isAboutVersion(st.Reason) {
		return
	}
	if d.State == StateRunning && d.Stage > st.Stage || d.State.IsFinal() && d.State != st.State {
		f.t.Errorf("got directive %+v, which the store does not know: %+v", d, st)
	}
}

// TestVerdictSurvivesItsLeader kills a leader that has found the version to be bad and told the
// daemons, but not the store. It guards against a successor that tries the version once more.
func TestVerdictSurvivesItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(n int) bool { return n%2 == 0 })
		f.addTargets("v2")
		f.order(Order{Service: testService, Version: "v2", Duration: testDuration})
		f.playUntil(time.Minute, func() bool { return f.exposed > 0 })
		f.setFault(fakestorer.Fault{IsDown: true})
		if !f.playUntil(time.Minute, func() bool {
			d, _ := f.entry.Known(testService)
			return d.Reason != ""
		}) {
			t.Fatal("got no verdict, want one while the store is away")
		}
		exposed := f.exposed
		f.killLeader()
		for _, r := range f.relays {
			if !r.isKilled {
				r.faults.Set(fakestorer.Fault{})
			}
		}
		if !f.playUntil(time.Minute, func() bool { return f.isOver("v2") }) {
			t.Fatalf("got status %+v, want a final one", f.status(testService))
		}
		if st := f.status(testService); st.State != StateRolledBack || st.Reason != ReasonFailures || f.exposed != exposed {
			t.Errorf("got status %+v and %d more calls at the version, want it rolled back and none", st, f.exposed-exposed)
		}
	})
}

// addNewTargetsOnce adds the targets of the new version.
func (f *fleet) addNewTargetsOnce() {
	if f.table.LiveCount() == targetsAVersion {
		f.addTargets("v2")
	}
}

// killLeader kills the relay that leads.
func (f *fleet) killLeader() {
	for _, r := range f.relays {
		r.part.mu.Lock()
		leads := r.part.judge != nil
		r.part.mu.Unlock()
		if leads {
			r.kill()
			return
		}
	}
	f.t.Error("got no leader, want one")
}

// checkExposure checks that the new version got no more than its share.
func (f *fleet) checkExposure() {
	f.t.Helper()
	if limit := int(testShare*float64(f.total)) + 50; f.exposed > limit || f.afterBad > 0 {
		f.t.Errorf("got %d of %d calls at the new version, %d of them long after its 50th failure, want at most %d and 0", f.exposed, f.total, f.afterBad, limit)
	}
	f.playUntil(5*time.Second, func() bool { return false })
	if f.entry.Versions(testService, true).UseNew || !f.entry.IsBarred(testService, "v2") {
		f.t.Error("got a version in use that was rolled back, want it barred")
	}
}
