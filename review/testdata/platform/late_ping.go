package main

import (
	"sync"
	"syscall"
	"time"
)

// latePing shows that a ping that was sent before an upstream left, and arrives late, puts
// the upstream back into use once all daemons have been killed and started again.
func latePing(rec *record, trouble bool) bool {
	f := newFleet(rec, []machine{
		{"ledger-1", "mobile-bay", "ledger-view"}, {"ledger-2", "selma-row", "ledger-view"}, {"ledger-3", "natchez-hall", "ledger-view"},
		{"desk-1", "mobile-bay", "payout-desk"}, {"desk-2", "selma-row", "payout-desk"},
	})
	defer f.stop()
	f.put("op/config", config(7, []string{"ledger-view", "payout-desk"}, []route{
		{Name: "r-share", Prefix: "/share/", Kind: "idempotent", TimeoutMS: 800, ObjectiveMS: 400, Priority: 2, Service: "ledger-view", MaxAttempts: 2},
	}))
	for _, n := range f.nodes {
		n.start()
		n.startUpstream(behavior{work: 40 * time.Millisecond})
	}
	f.awaitReady()
	time.Sleep(touch + time.Second)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	ask := func(d time.Duration) {
		var wg sync.WaitGroup
		until := time.Now().Add(d)
		for _, n := range f.nodes {
			wg.Go(func() {
				for time.Now().Before(until) {
					r := request{id: newID(), method: "GET", path: "/share/1", deadline: 1500 * time.Millisecond}
					mu.Lock()
					sent[r.id] = time.Now()
					mu.Unlock()
					rec.printf("consumer at %s sends %s", n.name, r.id)
					rec.printf("consumer at %s gets for %s: %v", n.name, r.id, n.send(r))
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		wg.Wait()
	}
	ask(time.Second)
	leaving := f.nodes[0].up
	if len(leaving.ranSince(time.Time{})) == 0 {
		fail("the upstream was not used before it left")
	}
	// The upstream sends a ping, which the network delays, and then says that it leaves. It
	// goes on serving for some seconds.
	leaving.pings()
	lateID, late := leaving.message()
	rec.printf("ledger-1: upstream sends a ping with state ready, which is delayed")
	time.Sleep(200 * time.Millisecond)
	if status := leaving.post("/-/instances/"+leaving.id+"/deregister", []byte(`{"born":`+itoa(leaving.born)+`}`)); status != 200 {
		fail("deregister: status %d", status)
	}
	acked := time.Now()
	rec.printf("ledger-1: the daemon acknowledges that the upstream leaves")
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.all(func(n *node) { n.signal(syscall.SIGKILL) })
		f.all(func(n *node) { n.wait() })
		time.Sleep(restartDelay)
		f.all(func(n *node) { n.start() })
	} else {
		time.Sleep(restartDelay)
	}
	f.awaitReady()
	// All machines are in touch again.
	time.Sleep(touch + 500*time.Millisecond)
	rec.printf("ledger-1: the delayed ping arrives %.1f s late, and is answered %d", time.Since(acked).Seconds()+0.2, leaving.post("/-/instances/"+lateID+"/heartbeat", late))
	ask(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, r := range leaving.ranSince(acked) {
		if at, ok := sent[r.id]; ok && at.After(acked.Add(drain)) {
			broken++
		}
	}
	rec.printf("DRAIN: %d requests that consumers sent more than %v after the acknowledgement reached the upstream", broken, drain)
	return broken > 0
}
