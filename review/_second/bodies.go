package main

import (
	"bytes"
	"fmt"
	"time"
)

const (
	// largeBytes is the size of a large upload, within max_body_bytes of the configuration.
	largeBytes = 20 << 20
	// smallBytes is that of the uploads of the control.
	smallBytes = 1 << 20
	uploads    = 12
	lookups    = 200
)

// playBodies sends uploads that are within the limits of the configuration.
func playBodies(f *fleet, trouble bool) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 800,
			"priority": 1, "service": "vault", "max_attempts": 2, "public": true,
		}
	}
	if err := f.put("op/config", map[string]any{
		"version":       "r1",
		"services":      []any{map[string]any{"name": "vault", "max_conns": 440}},
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []any{map[string]any{"host": "vault.example", "paths": []any{route("r-claims", "/claims/", "idempotent"), route("r-scans", "/scans/", "upload")}}},
	}); err != nil {
		return false, err
	}
	f.memoryMB, f.linkMbps = 284, 1000
	bounds := map[string]any{"grace_s": 6, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 62}
	for i := range 2 {
		m, err := f.addMachine(fmt.Sprintf("m%d", i), "mobile-bay", "vault", bounds)
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
	time.Sleep(6 * time.Second)
	size := smallBytes
	if trouble {
		size = largeBytes
	}
	body := bytes.Repeat([]byte{'x'}, size)
	all, denied := 0, 0
	count := func(status int) {
		all++
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied++
		}
	}
	m := f.machines[0]
	for i := range uploads {
		count(m.send(fmt.Sprintf("upload%08x", i), "POST", "vault.example", "/scans/"+fmt.Sprint(i), "", body, 2*time.Second))
	}
	for i := range lookups {
		count(m.send(fmt.Sprintf("lookup%08x", i), "GET", "vault.example", "/claims/"+fmt.Sprint(i), "", nil, 2*time.Second))
	}
	allowed := 5 + float64(all)/500
	f.log("DENIED: %d of %d proper requests were ended with a 3xx or 4xx of the daemon's own; allowed %.1f", denied, all, allowed)
	fmt.Printf("denied %d of %d, allowed %.1f\n", denied, all, allowed)
	return float64(denied) <= allowed, nil
}
