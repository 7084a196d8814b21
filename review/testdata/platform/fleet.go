package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/storer"
)

// Figures of a small deployment, as its sheet gives them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	touch             = 3 * time.Second
	drain             = 2 * time.Second
	memoryMB          = 284
	budgetRatio       = 0.2
	budgetWindow      = 10 * time.Second
	budgetSlack       = 62
	// restartDelay is the pause after which the platform starts a process that ended.
	restartDelay = 500 * time.Millisecond
)

// record writes what was sent, answered and run to a file, with times since its start.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment on loopback addresses: a store, daemons as processes of
// their own, and an upstream beside each.
type fleet struct {
	rec     *record
	dir     string
	binary  string
	tmpl    string
	store   *fakestorer.Store
	server  *http.Server
	address string
	nodes   []*node
	// storeDown makes the store give no answer.
	storeDown atomic.Bool
}

// node is one machine: a daemon and the upstream beside it.
type node struct {
	fleet    *fleet
	name     string
	ip       string
	zone     string
	service  string
	ports    map[string]int
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
	up      *upstream
}

func (n *node) addr(port string) string { return fmt.Sprintf("%s:%d", n.ip, n.ports[port]) }

// freePort returns a port that is free at the address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("no free port at %s: %v", ip, err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// fail ends the run as one that could not be carried out.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	killAll()
	os.Exit(2)
}

var (
	processesMu sync.Mutex
	processes   = map[int]*os.Process{}
)

// killAll ends all processes that this run started.
func killAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

// machine describes a node of a fleet.
type machine struct{ name, zone, service string }

// newFleet starts a store and prepares the machines.
func newFleet(rec *record, machines []machine) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	tmpl, err := os.ReadFile("deploy/daemon.toml.tmpl")
	if err != nil {
		fail("%v", err)
	}
	f := &fleet{rec: rec, dir: dir, binary: "target/bambooweir", tmpl: string(tmpl), store: new(fakestorer.Store)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	f.address = l.Addr().String()
	handler := platform.StoreHandler(f.store)
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.storeDown.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = f.server.Serve(l) }()
	for i, m := range machines {
		n := &node{fleet: f, name: m.name, ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, 10+i), zone: m.zone, service: m.service, ports: map[string]int{}}
		taken := map[int]bool{}
		for _, p := range []string{"inbound", "outbound", "ready", "control", "app"} {
			for n.ports[p] == 0 || taken[n.ports[p]] {
				n.ports[p] = freePort(n.ip)
			}
			taken[n.ports[p]] = true
		}
		n.settings = filepath.Join(dir, n.name+".toml")
		n.writeSettings()
		f.nodes = append(f.nodes, n)
	}
	return f
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file, as the platform does.
func (n *node) writeSettings() {
	values := map[string]any{
		"node": n.name, "zone": n.zone, "ip": n.ip, "service": n.service,
		"listen.outbound": n.addr("outbound"), "listen.inbound": n.addr("inbound"),
		"listen.control": n.addr("control"), "listen.ready": n.addr("ready"),
		"platform.address": n.fleet.address, "heartbeat_interval_ms": heartbeatInterval.Milliseconds(),
		"bounds.grace_s": 6, "bounds.budget_ratio": budgetRatio, "bounds.budget_window_s": budgetWindow.Seconds(),
		"bounds.budget_slack": budgetSlack, "limits.memory_mb": memoryMB, "limits.link_mbps": 1000.0,
	}
	text := placeholder.ReplaceAllStringFunc(n.fleet.tmpl, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := values[m[1]]
		if !ok {
			fail("no value for %s", s)
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
}

// start starts the daemon with the command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.fleet.binary, "daemon")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAMBOOWEIR_NODE_FILE=" + n.settings}
	log, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		fail("starting %s: %v", n.name, err)
	}
	processesMu.Lock()
	processes[cmd.Process.Pid] = cmd.Process
	processesMu.Unlock()
	exited := make(chan struct{})
	n.cmd, n.exited, n.started = cmd, exited, time.Now()
	n.fleet.rec.printf("%s: daemon started", n.name)
	go func() {
		_ = cmd.Wait()
		log.Close()
		processesMu.Lock()
		delete(processes, cmd.Process.Pid)
		processesMu.Unlock()
		close(exited)
	}()
}

// signal sends a signal to the daemon.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.rec.printf("%s: daemon gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// wait waits until the daemon's process has ended.
func (n *node) wait() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// restart kills the daemon and starts it again as the platform does.
func (n *node) restart() {
	n.signal(syscall.SIGKILL)
	n.wait()
	time.Sleep(restartDelay)
	n.start()
}

// startedAt returns when the daemon's present process started.
func (n *node) startedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// isReady asks the daemon as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + n.addr("ready") + "/-/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// all runs f for all nodes at the same time.
func (f *fleet) all(do func(n *node)) {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { do(n) })
	}
	wg.Wait()
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady() {
	until := time.Now().Add(15 * time.Second)
	for _, n := range f.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				fail("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	killAll()
	for _, n := range f.nodes {
		if n.cmd != nil {
			n.wait()
		}
		if n.up != nil {
			n.up.stop()
		}
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", f.dir)
	}
}

// put writes an item of the operator.
func (f *fleet) put(key string, value []byte) {
	current, err := f.store.Get(context.Background(), key)
	if err != nil {
		current = storer.Item{}
	}
	if _, err := f.store.CompareAndSwap(context.Background(), key, value, current.Revision, 0); err != nil {
		fail("writing %s: %v", key, err)
	}
	f.rec.printf("operator: %s written", key)
}

// route is a route of the operator's configuration.
type route struct {
	Name        string `json:"name"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	ObjectiveMS int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

const host = "mesh.example"

// config returns a configuration.
func config(version int, services []string, routes []route) []byte {
	type svc struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path"`
		MaxConns   int    `json:"max_conns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
	var list []svc
	for _, s := range services {
		list = append(list, svc{s, "/health", 130, "h1", false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": list,
		"limits":        map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []any{map[string]any{"host": host, "paths": routes}},
	})
	return b
}

// request is one consumer attempt.
type request struct {
	id, method, path string
	body             []byte
	deadline         time.Duration
}

// answer is what a consumer got.
type answer struct {
	status int
	seal   string
	id     string
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	if a.seal == "" {
		return fmt.Sprintf("%d without a seal: %s", a.status, strings.TrimSpace(string(a.body[:min(len(a.body), 200)])))
	}
	return fmt.Sprintf("%d with seal %s", a.status, a.seal)
}

var nextID atomic.Int64

// newID returns the id of a consumer attempt.
func newID() string { return fmt.Sprintf("%016x", nextID.Add(1)<<20|time.Now().UnixNano()&0xfffff) }

// send sends a request over a new connection to the daemon of the consumer's own machine.
func (n *node) send(r request) answer {
	client := http.Client{Timeout: r.deadline, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	req, err := http.NewRequest(r.method, "http://"+n.addr("outbound")+r.path, bytes.NewReader(r.body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = host
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	res, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, seal: res.Header.Get("X-Server-Seal"), id: res.Header.Get("X-Request-Id"), body: body, err: err}
}
