package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	quotaRate, quotaBurst = 100.0, 20.0
	quotaWindow           = 5 * time.Second
	quotaOver, quotaSlack = 0.1, 20.0
	// cutTime is how long four of twelve machines are cut off from all others.
	cutTime = 12 * time.Second
	// lostPerS and otherPerS are the tenant's requests a second on each machine that is cut off
	// and on each other one: 456 together. The largest dose is 7.5 times the usual, of which the
	// quota is 1.6 times.
	lostPerS, otherPerS = 70, 22
)

// playQuota cuts four machines of twelve off from all others and kills their daemons, while one
// tenant sends several times its quota from every machine.
func playQuota(f *fleet, trouble bool) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	if err := f.put("op/config", map[string]any{
		"version":  "r1",
		"services": []any{map[string]any{"name": "kits", "max_conns": 440}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"key-of-t1"}, "priority": 1, "rate_per_s": quotaRate, "burst": quotaBurst}},
		"virtual_hosts": []any{map[string]any{"host": "kits.example", "paths": []any{map[string]any{
			"name": "r-kits", "prefix": "/kits/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 800,
			"priority": 1, "service": "kits", "max_attempts": 2, "public": false,
		}}}},
	}); err != nil {
		return false, err
	}
	n := &network{fleet: f, cut: make(map[*machine]bool)}
	for i := range 12 {
		m, err := f.addMachine(fmt.Sprintf("m%d", i), "aarhus-a", "kits", bounds())
		if err != nil {
			return false, err
		}
		listener := freeAddr(m.ip)
		if err := m.listenAt(listener); err != nil {
			return false, err
		}
		if err := n.relay(m, m.inbound, listener); err != nil {
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
	lost := f.machines[8:]
	cutAt := time.Now()
	if trouble {
		n.setCut(true, lost...)
		for _, m := range lost {
			f.log("network: %s is cut off from all other machines", m.name)
		}
		for _, m := range lost {
			m.killDaemon()
		}
		time.Sleep(200 * time.Millisecond)
		for _, m := range lost {
			if err := m.startDaemon(); err != nil {
				return false, err
			}
		}
	}
	// The tenant sends for no longer than the largest dose, 6.5 s.
	time.Sleep(time.Until(cutAt.Add(7700 * time.Millisecond)))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	for _, m := range f.machines {
		pause := time.Second / otherPerS
		if slices.Contains(lost, m) {
			pause = time.Second / lostPerS
		}
		wg.Go(func() {
			var requests sync.WaitGroup
			defer requests.Wait()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				if !m.isReady.Load() {
					continue
				}
				id := fmt.Sprintf("%s%012x", m.name, i)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				requests.Go(func() { m.send(id, "/kits/"+id, "key-of-t1") })
			}
		})
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	n.setCut(false, lost...)
	f.log("network: the cut heals")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	return f.checkQuota(sent), nil
}

// listenAt makes the daemon listen for others at another address than the one that it names.
func (m *machine) listenAt(addr string) error {
	path := filepath.Join(m.fleet.dir, m.name+".toml")
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	line := fmt.Sprintf("peer-listen-address = %q\n", addr)
	return os.WriteFile(path, []byte(strings.Replace(string(b), "peer-address", line+"peer-address", 1)), 0o600)
}

// checkQuota reports whether the rule QUOTA held for the tenant.
func (f *fleet) checkQuota(sent map[string]time.Time) bool {
	f.mu.Lock()
	runs := slices.Clone(f.runs)
	f.mu.Unlock()
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, x := range runs {
		if x.tenant == "t1" {
			spans = append(spans, span{sent[x.id], x.at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, at := 0, time.Time{}
	for i, first := range spans {
		count := 0
		for _, s := range spans[i:] {
			if s.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if s.ran.Sub(first.sent) <= quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	f.log("QUOTA: at most %d requests of the tenant were sent and run in %v, from %.3f s on; allowed %.0f", most, quotaWindow, at.Sub(f.began).Seconds(), allowed)
	fmt.Printf("most %d, allowed %.0f, runs %d\n", most, allowed, len(spans))
	return float64(most) <= allowed
}
