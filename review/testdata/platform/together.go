package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// togetherWork is how long the request runs before its upstream crashes.
	togetherWork = 80 * time.Millisecond
	// togetherSpread is the time in which the consumers of all machines send it.
	togetherSpread = 40 * time.Millisecond
	// togetherPause is the time between two rounds. All upstreams are back by then, and the
	// request is sent later than touch after it crashed the third.
	togetherPause = 6 * time.Second
	togetherRound = 4
)

// together shows that a request that crashes the upstreams that run it reaches more of them,
// or one of them more often, than is allowed where it comes at several machines at a time.
func together(rec *record, trouble bool) bool {
	f := newFleet(rec, []machine{
		{"ledger-1", "mobile-bay", "ledger-view"}, {"ledger-2", "selma-row", "ledger-view"}, {"ledger-3", "natchez-hall", "ledger-view"},
		{"ledger-4", "mobile-bay", "ledger-view"}, {"ledger-5", "selma-row", "ledger-view"},
		{"desk-1", "mobile-bay", "payout-desk"}, {"desk-2", "selma-row", "payout-desk"}, {"desk-3", "natchez-hall", "payout-desk"},
	})
	defer f.stop()
	f.put("op/config", config(7, []string{"ledger-view", "payout-desk"}, []route{
		{Name: "r-post", Prefix: "/share/", Kind: "non_idempotent", TimeoutMS: 1000, ObjectiveMS: 500, Priority: 1, Service: "ledger-view", MaxAttempts: 2},
	}))
	path := ""
	if trouble {
		path = deadlyPath
	}
	for _, n := range f.nodes {
		n.start()
		n.startUpstream(behavior{work: togetherWork, deadlyPath: path, deadlyWork: togetherWork})
	}
	f.awaitReady()
	time.Sleep(touch + time.Second)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	for round := range togetherRound {
		if round > 0 {
			time.Sleep(togetherPause)
		}
		f.all(func(n *node) {
			time.Sleep(rand.N(togetherSpread))
			r := request{id: newID(), method: "POST", path: deadlyPath, body: []byte("payout 17"), deadline: 2 * time.Second}
			mu.Lock()
			sent[r.id] = time.Now()
			mu.Unlock()
			rec.printf("consumer at %s sends %s %s", n.name, r.id, r.path)
			rec.printf("consumer at %s gets for %s: %v", n.name, r.id, n.send(r))
		})
	}
	var crashes []time.Time
	for _, n := range f.nodes {
		crashes = append(crashes, n.up.crashes...)
	}
	if len(crashes) < 3 {
		rec.printf("BUDGET: the request crashed %d upstreams", len(crashes))
		return false
	}
	sortTimes(crashes)
	third := crashes[2]
	broken := 0
	for _, n := range f.nodes {
		for _, r := range n.up.ranSince(third) {
			if at := sent[r.id]; at.After(third.Add(touch)) {
				rec.printf("%s: %s, sent %.3f s after the third crash, reaches the upstream", n.name, r.id, at.Sub(third).Seconds())
				broken++
			}
		}
	}
	rec.printf("BUDGET: %d requests sent later than %v after the third crash reached upstreams; %d crashes", broken, touch, len(crashes))
	return broken > 3
}
