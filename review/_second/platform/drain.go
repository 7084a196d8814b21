package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	drainTime = 2500 * time.Millisecond
	// storeSilence is how long the store does not answer.
	storeSilence = 4500 * time.Millisecond
)

// notRelay returns a machine that the store names as no relay, as most are.
func (f *fleet) notRelay() *machine {
	isRelay := make(map[string]bool)
	for _, slot := range []string{"relay/aarhus-a/0", "relay/aarhus-a/1"} {
		if addr, ok := f.read(slot); ok {
			isRelay[string(addr)] = true
		}
	}
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return !isRelay[m.inbound] })
	return f.machines[max(0, i)]
}

// playDrain lets an upstream leave while the store is silent, kills the daemon that has confirmed
// that, and delivers a heartbeat late that the upstream had sent before.
func playDrain(f *fleet, trouble bool) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	n := &network{fleet: f, cut: make(map[*machine]bool)}
	store := &machine{fleet: f, name: "store"}
	direct := f.storeAddr
	f.storeAddr = freeAddr(f.newIP())
	if err := n.relay(store, f.storeAddr, direct); err != nil {
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
	for i := range 6 {
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
	m := f.notRelay()
	u := m.upstream
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]attempt)
	for _, m := range f.machines {
		wg.Go(func() {
			var requests sync.WaitGroup
			defer requests.Wait()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				if !m.isReady.Load() {
					continue
				}
				id := fmt.Sprintf("%s%012x", m.name, i)
				mu.Lock()
				sent[id] = attempt{id: id, origin: m, sent: time.Now()}
				mu.Unlock()
				requests.Go(func() { m.send(id, "/kits/"+id, "") })
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		n.setCut(true, store)
		f.log("platform: the store is silent")
	}
	silentAt := time.Now()
	late := u.heartbeat("ready")
	// The upstream sends no further heartbeats: it deregisters and serves on.
	close(u.quiet)
	time.Sleep(100 * time.Millisecond)
	body, _ := json.Marshal(map[string]any{"born": u.born})
	res, err := http.Post("http://"+m.control+"/-/instances/"+u.id+"/deregister", "application/json", bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("the departure was not confirmed: %w", err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false, fmt.Errorf("the departure was answered %d", res.StatusCode)
	}
	confirmed := time.Now()
	f.log("upstream %s: its departure is confirmed by the daemon of %s", u.id, m.name)
	if trouble {
		m.killDaemon()
		time.Sleep(200 * time.Millisecond)
		if err := m.startDaemon(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	f.log("network: a heartbeat that %s sent before it left arrives %.1f s late", u.id, time.Since(silentAt).Seconds())
	if res, err := http.Post("http://"+m.control+"/-/instances/"+u.id+"/heartbeat", "application/json", bytes.NewReader(late)); err == nil {
		res.Body.Close()
		f.log("network: the heartbeat is answered %d", res.StatusCode)
	} else {
		f.log("network: the heartbeat is not delivered: %v", err)
	}
	time.Sleep(storeSilence - time.Since(silentAt))
	n.setCut(false, store)
	f.log("platform: the store answers again")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	u.end()
	f.mu.Lock()
	runs := slices.Clone(f.runs)
	f.mu.Unlock()
	broken := 0
	for _, x := range runs {
		a := sent[x.id]
		if x.upstream != u.id || x.at.Sub(confirmed) <= drainTime || a.origin != m || !m.wasInTouch(a.sent) {
			continue
		}
		broken++
		f.log("DRAIN: %s, sent on that machine, ran at %s %.3f s after the departure was confirmed there", x.id, u.id, x.at.Sub(confirmed).Seconds())
	}
	fmt.Printf("broken %d\n", broken)
	return broken == 0, nil
}
