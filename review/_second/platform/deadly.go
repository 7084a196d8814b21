package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// crashTime is how long an upstream that has crashed is away.
	crashTime = 3 * time.Second
	// maxRetries is the number of retries that the rule allows after the third crash.
	maxRetries = 3
	deadlyPath = "/kits/deadly"
)

// playDeadly sends a request that crashes each upstream that runs it, at all machines at once,
// kills the daemons of all machines, and sends the request again.
func playDeadly(f *fleet, trouble bool) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	if err := f.put("op/config", map[string]any{
		"version":  "r1",
		"services": []any{map[string]any{"name": "kits", "max_conns": 440}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []any{map[string]any{"host": "kits.example", "paths": []any{map[string]any{
			"name": "r-kits", "prefix": "/kits/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 800,
			"priority": 1, "service": "kits", "max_attempts": 2, "public": true,
		}}}},
	}); err != nil {
		return false, err
	}
	for i := range 8 {
		m, err := f.addMachine(fmt.Sprintf("m%d", i), "aarhus-a", "kits", bounds())
		if err != nil {
			return false, err
		}
		if err := m.startDaemon(); err != nil {
			return false, err
		}
		if err := m.startUpstream("v1", 18, 30*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	sent := make(map[string]attempt)
	burst := func(n int) {
		var wg sync.WaitGroup
		for _, m := range f.machines {
			id := fmt.Sprintf("deadly-%s-%04d", m.name, n)
			mu.Lock()
			sent[id] = attempt{id: id, origin: m, sent: time.Now()}
			mu.Unlock()
			wg.Go(func() { m.send(id, deadlyPath, "") })
		}
		wg.Wait()
	}
	burst(0)
	time.Sleep(crashTime + 2*time.Second)
	if trouble {
		for _, m := range f.machines {
			m.killDaemon()
		}
		time.Sleep(200 * time.Millisecond)
		for _, m := range f.machines {
			if err := m.startDaemon(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(touchTime + 3*time.Second)
	for n := 1; n <= 6; n++ {
		burst(n)
		time.Sleep(4 * time.Second)
	}
	return f.checkDeadly(sent), nil
}

// checkDeadly reports whether the rule BUDGET held for the request that crashes upstreams.
func (f *fleet) checkDeadly(sent map[string]attempt) bool {
	f.mu.Lock()
	runs := slices.Clone(f.runs)
	f.mu.Unlock()
	var third time.Time
	crashed, retries := make(map[string]bool), 0
	for _, x := range runs {
		if !x.crashed {
			continue
		}
		a := sent[x.id]
		if !third.IsZero() && a.sent.Sub(third) > touchTime && a.origin.wasInTouch(a.sent) {
			retries++
		}
		crashed[x.upstream] = true
		if len(crashed) == 3 && third.IsZero() {
			third = x.at
		}
	}
	f.log("BUDGET: %d upstreams crashed; %d retries that machines in touch sent later than %v after the third crash reached upstreams; allowed %d", len(crashed), retries, touchTime, maxRetries)
	fmt.Printf("crashes %d, late retries %d, allowed %d\n", len(crashed), retries, maxRetries)
	return retries <= maxRetries
}

// crash ends the upstream as a crash does. It is back after crashTime.
func (u *upstream) crash() {
	m := u.machine
	u.end()
	time.AfterFunc(crashTime, func() {
		m.mu.Lock()
		isOver := m.isOver
		m.mu.Unlock()
		if !isOver {
			_ = m.startUpstream(u.version, cap(u.slots), u.work, u.failShare)
		}
	})
}
