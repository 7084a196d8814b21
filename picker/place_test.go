package picker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

const testObjective = 400 * time.Millisecond

func placePolicy() *applier.Policy {
	return &applier.Policy{
		Service: "ledger-view", Class: versioner.ClassLookup, Idempotent: true, Slots: 12,
		EjectAfterFailures: 5, EjectFor: 5 * time.Second, MaxEjectedPercent: 34, SpillOverPercent: 80,
	}
}

// placing is a picker in mobile-bay with two targets there and one in selma-row.
func placing() *Picker {
	p := &Picker{Table: new(tracker.Table), Domain: "mobile-bay", Source: rand.NewPCG(3, 3)}
	var records []tracker.Record
	for id, domain := range map[string]string{"near-1": "mobile-bay", "near-2": "mobile-bay", "far": "selma-row"} {
		records = append(records, tracker.Record{
			InstanceID: id, Incarnation: 1, Sequence: 1, Service: "ledger-view", Domain: domain, State: tracker.StateReady, Slots: 12,
		})
	}
	p.Table.Merge(records)
	return p
}

// told is what a target's daemon said last of its load.
type told struct {
	running, waiting int
	run              time.Duration
	failing          float64
}

func (p *Picker) tell(id string, say told) {
	for _, t := range p.view("ledger-view", p.now()).all {
		if t.record.Load().InstanceID != id {
			continue
		}
		t.told.others.Store(int64(say.running + say.waiting))
		t.told.at.Store(int64(p.now()))
		t.told.slots.Store(12)
		t.told.runs[classIndex(placePolicy())].Store(int64(say.run))
		t.failing.add(say.failing, 1)
	}
}

func TestPlacingByExpectedAnswer(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name  string
		near1 told
		near2 told
		far   told
		need  Need
		// answer is the usual size of answers.
		answer float64
		want   string
		reason Reason
	}{
		{
			"the own domain answers in time, another sooner",
			told{run: 230 * ms}, told{run: 260 * ms}, told{run: 75 * ms}, Need{Objective: testObjective}, 5000, "near-1", ReasonLocal,
		},
		{
			"small answers go where they are soonest",
			told{run: 230 * ms}, told{run: 260 * ms}, told{run: 75 * ms}, Need{Objective: testObjective}, 300, "far", ReasonExpected,
		},
		{
			"the own domain's queue makes it late",
			told{running: 12, waiting: 12, run: 170 * ms}, told{running: 12, waiting: 14, run: 170 * ms}, told{run: 170 * ms},
			Need{Objective: testObjective}, 5000, "far", ReasonExpected,
		},
		{
			"large bodies stay while they can be in time",
			told{running: 10, run: 300 * ms}, told{running: 12, waiting: 12, run: 300 * ms}, told{run: 75 * ms},
			Need{Objective: testObjective, Bytes: 60_000}, 5000, "near-1", ReasonLocal,
		},
		{
			"a slow target is passed over",
			told{run: 900 * ms}, told{run: 170 * ms}, told{run: 75 * ms}, Need{Objective: testObjective}, 5000, "near-2", ReasonLocal,
		},
		{
			"a target that fails more often than others is passed over",
			told{run: 100 * ms, failing: 0.5}, told{run: 170 * ms}, told{run: 170 * ms}, Need{Objective: testObjective}, 5000, "near-2", ReasonLocal,
		},
		{
			"all are late alike: no call crosses for nothing",
			told{running: 12, waiting: 12, run: 300 * ms}, told{running: 12, waiting: 24, run: 300 * ms}, told{running: 12, waiting: 11, run: 300 * ms},
			Need{Objective: testObjective}, 5000, "near-1", ReasonLocal,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := placing()
				p.service("ledger-view").answerBytes[classIndex(placePolicy())].add(tt.answer, 1)
				p.tell("near-1", tt.near1)
				p.tell("near-2", tt.near2)
				p.tell("far", tt.far)
				c, ok := p.Pick(placePolicy(), tt.need, Tried{})
				if !ok || c.Record.InstanceID != tt.want || c.Reason != tt.reason {
					t.Errorf("got %s for %v, want %s for %v", c.Record.InstanceID, c.Reason, tt.want, tt.reason)
				}
			})
		})
	}
}

// A target that was slow gets calls again once nothing new is known of it.
func TestSlowRunFades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placing()
		p.tell("near-1", told{run: 2 * time.Second})
		p.tell("near-2", told{run: 100 * time.Millisecond})
		seen := func() bool {
			for range 50 {
				c, _ := p.Pick(placePolicy(), Need{Objective: testObjective}, Tried{})
				c.Done(Result{Outcome: Abandoned})
				if c.Record.InstanceID == "near-1" {
					return true
				}
			}
			return false
		}
		if seen() {
			t.Error("just after a run of 2 s: got a call, want none")
		}
		time.Sleep(latencyMemory + 2*loadMemory)
		p.tell("near-2", told{run: 100 * time.Millisecond, running: 11})
		p.tell("far", told{run: 100 * time.Millisecond, running: 11})
		if !seen() {
			t.Error("after the memory of it has faded: got no call, want one")
		}
	})
}

// TestPlacingUnderLoad plays a service at nine tenths of its capacity, with
// targets that differ in speed by a factor of three, and checks what callers get.
func TestPlacingUnderLoad(t *testing.T) {
	const (
		slots = 12
		calls = 6000
	)
	speeds := []float64{0.5, 1, 1.5}
	work := 120 * time.Millisecond
	capacity := 0.0 // calls a second
	for _, s := range speeds {
		capacity += slots * s / work.Seconds()
	}
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{Table: new(tracker.Table), Domain: "mobile-bay", Source: &lockedSource{source: rand.NewPCG(5, 5)}}
		targets := make(map[string]*queue)
		var records []tracker.Record
		for i, s := range speeds {
			id := fmt.Sprintf("t-%d", i)
			records = append(records, tracker.Record{
				InstanceID: id, Incarnation: 1, Sequence: 1, Service: "ledger-view", Domain: "mobile-bay", State: tracker.StateReady, Slots: slots,
			})
			targets[id] = &queue{slots: make(chan struct{}, slots), run: time.Duration(float64(work) / s)}
		}
		p.Table.Merge(records)
		took := make(chan time.Duration, calls)
		for range calls {
			time.Sleep(time.Duration(float64(time.Second) / (0.9 * capacity)))
			go func() {
				start := time.Now()
				c, _ := p.Pick(placePolicy(), Need{Objective: testObjective}, Tried{})
				c.Done(targets[c.Record.InstanceID].serve())
				took <- time.Since(start)
			}()
		}
		late := 0
		for range calls {
			if <-took > testObjective {
				late++
			}
		}
		// The slow target's calls take 240 ms: none is late but for queues.
		if limit := calls / 50; late > limit {
			t.Errorf("late answers: got %d of %d, want at most %d", late, calls, limit)
		}
	})
}

// lockedSource makes choices that are the same in every run.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// queue is a target with its daemon's queue.
type queue struct {
	slots   chan struct{}
	run     time.Duration
	waiting atomic.Int64
}

func (q *queue) serve() Result {
	q.waiting.Add(1)
	q.slots <- struct{}{}
	q.waiting.Add(-1)
	time.Sleep(q.run)
	<-q.slots
	return Result{
		Outcome: Answered, HasLoad: true, Running: len(q.slots), Waiting: int(q.waiting.Load()),
		Slots: cap(q.slots), Run: q.run, Bytes: 5000,
	}
}
