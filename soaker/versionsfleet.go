package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/versioner"
)

// startFleet starts the store and the daemons, announces a target beside each, and waits
// until every daemon routes by the first version.
func (r *versionsRun) startFleet(ctx context.Context) error {
	if err := r.fleet.StartStore(); err != nil {
		return err
	}
	r.store = &platform.Store{BaseURL: r.fleet.StoreURL()}
	for r.writeVersion(ctx) != nil {
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	for n := range r.cfg.Daemons {
		if err := r.addDaemon(ctx, n); err != nil {
			return err
		}
	}
	for _, d := range r.fleet.Daemons() {
		for r.routesBy(ctx, d) != nil || r.daemonCount(ctx, d) < r.cfg.Daemons {
			if err := sleeper.Sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	r.logf("%d daemons know each other and version 1", r.cfg.Daemons)
	// Daemons look once in a while how large the fleet is.
	return sleeper.Sleep(ctx, r.cfg.Touch)
}

// addDaemon starts daemon n and announces a target beside it until ctx ends.
func (r *versionsRun) addDaemon(ctx context.Context, n int) error {
	name, domain := fmt.Sprintf("d%02d", n), domains[n%len(domains)]
	err := r.fleet.StartDaemon(name, domain,
		"platform = true", "target-service = \""+versionsService+"\"",
		fmt.Sprintf("target-heartbeat-ms = %d", targetHeartbeat.Milliseconds()),
		"spread-heartbeat-ms = 500", "relay-lease-ms = 3000", "store-timeout-ms = 1000")
	if err != nil {
		return err
	}
	d, err := r.fleet.Daemon(name)
	if err != nil {
		return err
	}
	h := platform.TargetHeartbeat{
		RunID: "run-" + name, Address: launcher.NewAddress(), Service: versionsService, Domain: domain,
		StartMS: uint64(r.start.UnixMilli()), Slots: 4,
	}
	if err := serveTarget(ctx, h.Address); err != nil {
		return err
	}
	go func() {
		for {
			h.Sequence++
			wait := targetHeartbeat
			if h.Send(ctx, r.client, d.OperatorURL) != nil {
				wait = pollInterval
			}
			if sleeper.Sleep(ctx, wait) != nil {
				return
			}
		}
	}()
	return nil
}

// serveTarget answers all calls of a target at once until ctx ends.
func serveTarget(ctx context.Context, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	id := platform.HeaderNames().RequestID
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(id, req.Header.Get(id))
	})}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}

// writeVersion writes the next version, which adds a route.
func (r *versionsRun) writeVersion(ctx context.Context) error {
	n := len(r.routes) + 1
	routes := append(slices.Clone(r.routes), platform.RouteConfig{
		Name: fmt.Sprint("route-", n), Host: versionsHost, Prefix: fmt.Sprintf("/v%d/", n), Service: versionsService,
	})
	value, err := platform.EncodeConfig(versioner.Version(n), routes)
	if err != nil {
		return err
	}
	rev, err := r.store.CompareAndSwap(ctx, platform.ConfigKey, value, r.rev, 0)
	if err != nil {
		return err
	}
	r.routes, r.rev = routes, rev
	return nil
}

// errOlderVersion means that a daemon routes by a version without the newest route.
var errOlderVersion = fmt.Errorf("status %d", http.StatusNotFound)

// routesBy requests the newest route of a daemon. It returns nil if the daemon knows it,
// errOlderVersion if not, and another error if the daemon does not answer.
func (r *versionsRun) routesBy(ctx context.Context, d launcher.Daemon) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.CallerURL+r.routes[len(r.routes)-1].Prefix, nil)
	if err != nil {
		return err
	}
	req.Host = versionsHost
	headers := platform.HeaderNames()
	req.Header.Set(headers.RequestID, fmt.Sprintf("%s-%d", d.Name, time.Now().UnixNano()))
	req.Header.Set(headers.Deadline, "300")
	res, err := r.client.Do(req)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return errOlderVersion
	}
	return nil
}

// status returns the status of a daemon.
func (r *versionsRun) status(ctx context.Context, d launcher.Daemon) (operator.Status, error) {
	var status operator.Status
	return status, r.getJSON(ctx, d.OperatorURL+operator.StatusPath, &status)
}

// daemonCount returns how many daemons a daemon knows.
func (r *versionsRun) daemonCount(ctx context.Context, d launcher.Daemon) int {
	status, err := r.status(ctx, d)
	if err != nil {
		return 0
	}
	n := 0
	for _, c := range status.DaemonsByVersion {
		n += c.Daemons
	}
	return n
}

// storeCalls returns the calls of the store that all daemons have made, by kind.
func (r *versionsRun) storeCalls(ctx context.Context) map[string]int64 {
	total := make(map[string]int64)
	for _, d := range r.fleet.Daemons() {
		var vars struct {
			Instances map[string]struct {
				Store map[string]int64 `json:"store"`
			} `json:"bambooweir"`
		}
		if r.getJSON(ctx, d.OperatorURL+operator.MetricsPath, &vars) != nil {
			continue
		}
		for name, n := range vars.Instances[d.Name].Store {
			total[name] += n
		}
	}
	return total
}

// getJSON decodes the answer to a GET request.
func (r *versionsRun) getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(out)
}
