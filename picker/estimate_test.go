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

func estimatePolicy() *applier.Policy {
	return &applier.Policy{
		Service: "ledger-view", Class: versioner.ClassLookup, Idempotent: true, Slots: 12,
		EjectAfterFailures: 5, EjectFor: 5 * time.Second, MaxEjectedPercent: 34, SpillOverPercent: 80,
	}
}

// newEstimateFixture returns a picker in failure domain mobile-bay, with two
// targets there and one in selma-row.
func newEstimateFixture() *Picker {
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

// loadReport is the load that a target's daemon last reported, and the share of
// the target's calls that failed.
type loadReport struct {
	running, waiting int
	run              time.Duration
	failureShare     float64
	turn             time.Duration
}

// reportLoad records the load of a target as if an answer had reported it.
func (p *Picker) reportLoad(id string, report loadReport) {
	for _, t := range p.view("ledger-view", p.now()).all {
		if t.record.Load().InstanceID != id {
			continue
		}
		calls := int64(report.running + report.waiting)
		t.reported.observe(calls, calls, 12, p.now())
		t.reported.slots.Store(12)
		t.reported.meanRuns[classIndex(estimatePolicy())].Store(int64(report.run))
		t.reported.turn.Store(int64(report.turn))
		t.failures.mean.add(report.failureShare, 1)
		t.failures.observedAt.Store(int64(p.now()))
	}
}

func TestPickByEstimate(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name  string
		near1 loadReport
		near2 loadReport
		far   loadReport
		need  Need
		// answerBytes is the mean size of answers.
		answerBytes float64
		want        string
		reason      Reason
	}{
		{
			"local domain expected in time, another domain sooner",
			loadReport{run: 230 * ms}, loadReport{run: 260 * ms}, loadReport{run: 75 * ms}, Need{Objective: testObjective}, 5000, "near-1", ReasonLocal,
		},
		{
			"small answer: the earliest target of any domain",
			loadReport{run: 230 * ms}, loadReport{run: 260 * ms}, loadReport{run: 75 * ms}, Need{Objective: testObjective}, 300, "far", ReasonExpected,
		},
		{
			"queue in the local domain makes the answer late",
			loadReport{running: 12, waiting: 12, run: 170 * ms}, loadReport{running: 12, waiting: 14, run: 170 * ms}, loadReport{run: 170 * ms},
			Need{Objective: testObjective}, 5000, "far", ReasonExpected,
		},
		{
			"large body stays in the local domain while it can be in time",
			loadReport{running: 10, run: 300 * ms}, loadReport{running: 12, waiting: 12, run: 300 * ms}, loadReport{run: 75 * ms},
			Need{Objective: testObjective, Bytes: 60_000}, 5000, "near-1", ReasonLocal,
		},
		{
			"slow target is not chosen",
			loadReport{run: 900 * ms}, loadReport{run: 170 * ms}, loadReport{run: 75 * ms}, Need{Objective: testObjective}, 5000, "near-2", ReasonLocal,
		},
		{
			"target that fails more often than others is not chosen",
			loadReport{run: 100 * ms, failureShare: 0.5}, loadReport{run: 170 * ms}, loadReport{run: 170 * ms}, Need{Objective: testObjective}, 5000, "near-2", ReasonLocal,
		},
		{
			"idle under a rate limit: goes to the busy target",
			loadReport{run: 100 * ms, turn: 300 * ms}, loadReport{running: 9, run: 100 * ms}, loadReport{run: 100 * ms},
			Need{Objective: testObjective}, 5000, "near-2", ReasonLocal,
		},
		{
			"all equally late: stays in the local domain",
			loadReport{running: 12, waiting: 12, run: 300 * ms}, loadReport{running: 12, waiting: 24, run: 300 * ms}, loadReport{running: 12, waiting: 11, run: 300 * ms},
			Need{Objective: testObjective}, 5000, "near-1", ReasonLocal,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newEstimateFixture()
				p.service("ledger-view").answerBytes[classIndex(estimatePolicy())].add(tt.answerBytes, 1)
				p.reportLoad("near-1", tt.near1)
				p.reportLoad("near-2", tt.near2)
				p.reportLoad("far", tt.far)
				c, ok := p.Pick(estimatePolicy(), tt.need, Tried{})
				if !ok || c.Record.InstanceID != tt.want || c.Reason != tt.reason {
					t.Errorf("got target %s, reason %v; want target %s, reason %v", c.Record.InstanceID, c.Reason, tt.want, tt.reason)
				}
			})
		})
	}
}

// A target that once reported a slow run time must get calls again when it has
// reported no new one for a while; otherwise it would never show that it
// recovered.
func TestSlowRunFades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEstimateFixture()
		p.reportLoad("near-1", loadReport{run: 2 * time.Second})
		p.reportLoad("near-2", loadReport{run: 100 * time.Millisecond})
		getsCall := func() bool {
			for range 50 {
				c, _ := p.Pick(estimatePolicy(), Need{Objective: testObjective}, Tried{})
				c.Done(Result{Outcome: Abandoned})
				if c.Record.InstanceID == "near-1" {
					return true
				}
			}
			return false
		}
		if getsCall() {
			t.Error("just after a reported run time of 2 s: got a call, want none")
		}
		time.Sleep(latencyFadeTime + 2*loadFadeTime)
		p.reportLoad("near-2", loadReport{run: 100 * time.Millisecond, running: 11})
		p.reportLoad("far", loadReport{run: 100 * time.Millisecond, running: 11})
		if !getsCall() {
			t.Error("after the reported run time has faded: got no call, want one")
		}
	})
}

// TestPickByEstimateUnderLoad simulates a service at nine tenths of its capacity,
// with targets that differ in speed by a factor of three, and limits the share of
// answers that miss the objective.
func TestPickByEstimateUnderLoad(t *testing.T) {
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
		targets := make(map[string]*simulatedTarget)
		var records []tracker.Record
		for i, s := range speeds {
			id := fmt.Sprintf("t-%d", i)
			records = append(records, tracker.Record{
				InstanceID: id, Incarnation: 1, Sequence: 1, Service: "ledger-view", Domain: "mobile-bay", State: tracker.StateReady, Slots: slots,
			})
			targets[id] = &simulatedTarget{slots: make(chan struct{}, slots), run: time.Duration(float64(work) / s)}
		}
		p.Table.Merge(records)
		took := make(chan time.Duration, calls)
		for range calls {
			time.Sleep(time.Duration(float64(time.Second) / (0.9 * capacity)))
			go func() {
				start := time.Now()
				c, _ := p.Pick(estimatePolicy(), Need{Objective: testObjective}, Tried{})
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
		// Calls at the slowest target take 240 ms, so only queueing makes one late.
		if limit := calls / 50; late > limit {
			t.Errorf("late answers: got %d of %d, want at most %d", late, calls, limit)
		}
	})
}

// lockedSource is a seeded random source for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// simulatedTarget is a target and the queue of its daemon.
type simulatedTarget struct {
	slots   chan struct{}
	run     time.Duration
	waiting atomic.Int64
}

func (t *simulatedTarget) serve() Result {
	t.waiting.Add(1)
	t.slots <- struct{}{}
	t.waiting.Add(-1)
	time.Sleep(t.run)
	<-t.slots
	return Result{
		Outcome: Answered, HasLoad: true, Running: len(t.slots), Waiting: int(t.waiting.Load()),
		Slots: cap(t.slots), Run: t.run, Bytes: 5000,
	}
}
