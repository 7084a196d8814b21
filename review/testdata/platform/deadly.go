package main

import (
	"os"
	"sync"
	"syscall"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
)

const (
	deadlyPath = "/share/deadly"
	// copyAge is how old the copy is from which the store comes back in the drill, and
	// drillAway how long the store is away.
	copyAge   = 6 * time.Second
	drillAway = time.Second
)

// deadly shows that a request that crashes the upstreams that run it is run again after the
// store has come back from an older copy and then all daemons have been killed.
func deadly(rec *record, trouble bool) bool {
	f := newFleet(rec, []machine{
		{"ledger-1", "mobile-bay", "ledger-view"}, {"ledger-2", "selma-row", "ledger-view"}, {"ledger-3", "natchez-hall", "ledger-view"},
		{"ledger-4", "mobile-bay", "ledger-view"}, {"ledger-5", "selma-row", "ledger-view"},
		{"desk-1", "mobile-bay", "payout-desk"}, {"desk-2", "selma-row", "payout-desk"}, {"desk-3", "natchez-hall", "payout-desk"},
	})
	defer f.stop()
	f.put("op/config", config(7, []string{"ledger-view", "payout-desk"}, []route{
		{Name: "r-share", Prefix: "/share/", Kind: "idempotent", TimeoutMS: 800, ObjectiveMS: 400, Priority: 2, Service: "ledger-view", MaxAttempts: 2},
	}))
	copies := newCopies(f.store)
	defer copies.stop()
	for _, n := range f.nodes {
		n.start()
		n.startUpstream(behavior{work: 40 * time.Millisecond, deadlyPath: deadlyPath})
	}
	f.awaitReady()
	time.Sleep(touch + time.Second)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	askAt := func(n *node) {
		r := request{id: newID(), method: "GET", path: deadlyPath, deadline: 1500 * time.Millisecond}
		mu.Lock()
		sent[r.id] = time.Now()
		mu.Unlock()
		rec.printf("consumer at %s sends %s %s", n.name, r.id, r.path)
		rec.printf("consumer at %s gets for %s: %v", n.name, r.id, n.send(r))
	}
	arrivals := func() []run {
		var all []run
		for _, n := range f.nodes {
			for _, r := range n.up.ranSince(time.Time{}) {
				if r.path == deadlyPath {
					all = append(all, r)
				}
			}
		}
		sortRuns(all)
		return all
	}
	// First it comes at one machine after the other.
	inTurn := func(d time.Duration) {
		for i, began := 0, time.Now(); time.Since(began) < d; i++ {
			askAt(f.nodes[i%len(f.nodes)])
			time.Sleep(200 * time.Millisecond)
		}
	}
	inTurn(4 * time.Second)
	before := arrivals()
	if len(before) < 3 {
		fail("the request reached %d upstreams, want 3", len(before))
	}
	var crashes []time.Time
	for _, n := range f.nodes {
		crashes = append(crashes, n.up.crashes...)
	}
	sortTimes(crashes)
	third := crashes[2]
	rec.printf("the request has crashed %d lifetimes of upstreams; it is refused now", len(crashes))
	part := os.Getenv("PART")
	if trouble && part != "kill" {
		// The drill: the store is away for a moment and comes back from a copy that is older
		// than the daemons' record of the request.
		old := copies.at(third.Add(-time.Second))
		rec.printf("the store goes away")
		f.storeDown.Store(true)
		time.Sleep(drillAway)
		f.store.Restore(old)
		f.storeDown.Store(false)
		rec.printf("the store is back from a copy that is %.1f s old", time.Since(third.Add(-time.Second)).Seconds())
		time.Sleep(5 * time.Second)
	}
	if trouble && part != "drill" {
		f.all(func(n *node) { n.signal(syscall.SIGKILL) })
		f.all(func(n *node) { n.wait() })
		time.Sleep(restartDelay)
		f.all(func(n *node) { n.start() })
		f.awaitReady()
		time.Sleep(touch + 500*time.Millisecond)
	}
	again := time.Now()
	// Then it comes at all machines.
	f.all(askAt)
	inTurn(12 * time.Second)
	broken := 0
	for _, r := range arrivals() {
		if r.at.Before(third.Add(touch)) || r.at.Before(again) {
			continue
		}
		rec.printf("%s reached an upstream %.3f s after the third crash", r.id, r.at.Sub(third).Seconds())
		if sent[r.id].After(third.Add(touch)) {
			broken++
		}
	}
	rec.printf("BUDGET: %d requests reached upstreams later than %v after the third crash, sent by machines in touch", broken, touch)
	return broken > 3
}

// copies holds copies of the store's data, as a store keeps them that takes one every
// half second.
type copies struct {
	mu   sync.Mutex
	list []datedCopy
	done chan struct{}
}

type datedCopy struct {
	at   time.Time
	data fakestorer.Copy
}

func newCopies(s *fakestorer.Store) *copies {
	c := &copies{done: make(chan struct{})}
	go func() {
		for {
			c.mu.Lock()
			c.list = append(c.list, datedCopy{time.Now(), s.Copy()})
			c.mu.Unlock()
			select {
			case <-c.done:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	return c
}

func (c *copies) stop() { close(c.done) }

// at returns the newest copy that is not younger than the time.
func (c *copies) at(t time.Time) fakestorer.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found fakestorer.Copy
	for _, d := range c.list {
		if !d.at.After(t) {
			found = d.data
		}
	}
	return found
}
