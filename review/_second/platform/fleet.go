// Command second plays the scripted cases of the second review: it starts the project's own
// programs as separate processes on loopback addresses, and plays the platform, the operator,
// the upstreams and the consumers itself.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeatInterval is the heartbeat_interval_ms of the deployment.
const heartbeatInterval = 1500 * time.Millisecond

// fleet is a small deployment.
type fleet struct {
	dir, program, template string
	storeAddr              string
	store                  *exec.Cmd
	began                  time.Time
	// memoryMB and linkMbps are those of the machines that are added from now on.
	memoryMB int
	linkMbps float64

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	runs     []execution
	nextIP   int
}

// machine is one machine of the class "sidecar", with its daemon and its upstream.
type machine struct {
	fleet                                      *fleet
	name, zone, service, ip                    string
	outbound, inbound, ready, control, appAddr string
	env                                        string
	mu                                         sync.Mutex
	daemon                                     *exec.Cmd
	// startedAt is when the daemon's process last began or was killed.
	startedAt time.Time
	isReady   atomic.Bool
	// isOver is set once the case has ended: a crashed upstream does not come back then.
	isOver   bool
	upstream *upstream
}

// upstream is a stand-in of an application upstream.
type upstream struct {
	machine     *machine
	id, version string
	born        int64
	seq         atomic.Int64
	server      *http.Server
	stop        chan struct{}
	stopOnce    sync.Once
	isDraining  atomic.Bool
	// quiet is closed when the upstream sends no further heartbeats.
	quiet     chan struct{}
	work      time.Duration
	failShare float64
	slots     chan struct{}
}

// execution is one run of a request at an upstream.
type execution struct {
	id, service, version, upstream string
	at                             time.Time
	failed, crashed                bool
	tenant                         string
}

func newFleet(dir, root string) (*fleet, error) {
	tmpl, err := os.ReadFile(filepath.Join(root, "deploy", "daemon.toml.tmpl"))
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(root, "target", "bambooweir"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	return &fleet{dir: dir, program: program, template: string(tmpl), began: time.Now(), memoryMB: 536, linkMbps: 200}, nil
}

// log writes a line to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns a free address at the IP.
func freeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (f *fleet) startStore() error {
	f.storeAddr = freeAddr(f.newIP())
	f.store = f.command("store", nil, "fake-store", "--address", f.storeAddr)
	if err := f.store.Start(); err != nil {
		return err
	}
	for range 100 {
		if c, err := net.Dial("tcp", f.storeAddr); err == nil {
			return c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the store does not listen")
}

// newIP returns a loopback address that no other machine has.
func (f *fleet) newIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextIP++
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff, 10+f.nextIP)
}

// command returns a process of the project's program that writes its log to the fleet's folder.
func (f *fleet) command(name string, env []string, args ...string) *exec.Cmd {
	c := exec.Command(f.program, args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		c.Stdout, c.Stderr = out, out
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// put writes a value as the operator does, and returns when the store has confirmed it.
func (f *fleet) put(key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	body, _ := json.Marshal(map[string]any{
		"expected_rev": []any{}, "deletes": []string{},
		"puts": []any{map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(b), "lease": 0}},
	})
	res, err := http.Post("http://"+f.storeAddr+"/-/kv-txn", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", res.StatusCode)
	}
	f.log("operator: %s = %s", key, b)
	return nil
}

// get reads a value from the store into out and reports whether it is there.
func (f *fleet) get(key string, out any) bool {
	value, ok := f.read(key)
	return ok && json.Unmarshal(value, out) == nil
}

// read reads a value from the store and reports whether it is there.
func (f *fleet) read(key string) ([]byte, bool) {
	res, err := http.Get("http://" + f.storeAddr + "/-/kv-key?key=" + key)
	if err != nil {
		return nil, false
	}
	defer res.Body.Close()
	var item struct {
		Value []byte `json:"value"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&item) != nil {
		return nil, false
	}
	return item.Value, true
}

// addMachine lays out a machine. Its daemon's settings are those of the deployment.
func (f *fleet) addMachine(name, zone, service string, bounds map[string]any) (*machine, error) {
	m := &machine{fleet: f, name: name, zone: zone, service: service, ip: f.newIP()}
	for _, addr := range []*string{&m.outbound, &m.inbound, &m.ready, &m.control, &m.appAddr} {
		*addr = freeAddr(m.ip)
	}
	node := map[string]any{
		"node": name, "zone": zone, "ip": m.ip, "service": service,
		"listen":                map[string]any{"outbound": m.outbound, "inbound": m.inbound, "ready": m.ready, "control": m.control},
		"platform":              map[string]any{"address": f.storeAddr},
		"heartbeat_interval_ms": heartbeatInterval.Milliseconds(),
		"limits":                map[string]any{"memory_mb": f.memoryMB, "link_mbps": f.linkMbps},
		"bounds":                bounds,
	}
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(render(f.template, node)), 0o600); err != nil {
		return nil, err
	}
	m.env = "BAMBOOWEIR_NODE_FILE=" + path
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	go m.checkReady()
	return m, nil
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/[a-z_.]+\}\}\n?`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// render fills in the template of the settings as the platform does.
func render(tmpl string, node map[string]any) string {
	lookup := func(path string) any {
		var v any = node
		for _, part := range strings.Split(path, ".") {
			m, _ := v.(map[string]any)
			v = m[part]
		}
		return v
	}
	tmpl = sectionPattern.ReplaceAllStringFunc(tmpl, func(s string) string {
		parts := sectionPattern.FindStringSubmatch(s)
		if lookup(parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(tmpl, func(s string) string {
		parts := valuePattern.FindStringSubmatch(s)
		v := lookup(parts[1])
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
}

// startDaemon starts the machine's daemon with the command of the deploy file.
func (m *machine) startDaemon() error {
	c := m.fleet.command(m.name, []string{m.env}, "daemon")
	if err := c.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.daemon, m.startedAt = c, time.Now()
	m.mu.Unlock()
	m.fleet.log("platform: daemon of %s starts", m.name)
	return nil
}

// killDaemon kills the machine's daemon.
func (m *machine) killDaemon() {
	m.mu.Lock()
	c := m.daemon
	m.daemon, m.startedAt = nil, time.Now()
	m.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		_ = c.Wait()
		m.fleet.log("platform: SIGKILL to the daemon of %s", m.name)
	}
}

// checkReady asks the daemon once a second whether it is ready. After two misses consumers stay
// away until it is.
func (m *machine) checkReady() {
	client := &http.Client{Timeout: time.Second}
	misses := 2
	for {
		res, err := client.Get("http://" + m.ready + "/-/ready")
		if err == nil {
			res.Body.Close()
		}
		if err == nil && res.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		m.isReady.Store(misses < 2)
		time.Sleep(time.Second)
	}
}

// startUpstream starts the machine's upstream, which sends heartbeats from now on.
func (m *machine) startUpstream(version string, slots int, work time.Duration, failShare float64) error {
	u := &upstream{
		machine: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), version: version, born: time.Now().UnixMilli(),
		stop: make(chan struct{}), quiet: make(chan struct{}), work: work, failShare: failShare, slots: make(chan struct{}, slots),
	}
	l, err := net.Listen("tcp", m.appAddr)
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u}
	m.upstream = u
	go func() { _ = u.server.Serve(l) }()
	go u.beat()
	m.fleet.log("upstream %s (%s %s) starts on %s", u.id, m.service, version, m.name)
	return nil
}

// end ends the upstream at once.
func (u *upstream) end() {
	u.stopOnce.Do(func() {
		close(u.stop)
		_ = u.server.Close()
		u.machine.fleet.log("upstream %s (%s %s) ends", u.id, u.machine.service, u.version)
	})
}

// beat sends a heartbeat at once and then every heartbeatInterval.
func (u *upstream) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		state := "ready"
		if u.isDraining.Load() {
			state = "draining"
		}
		body := u.heartbeat(state)
		res, err := client.Post("http://"+u.machine.control+"/-/instances/"+u.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		select {
		case <-u.stop:
			return
		case <-u.quiet:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat returns the body of the upstream's next heartbeat.
func (u *upstream) heartbeat(state string) []byte {
	body, _ := json.Marshal(map[string]any{
		"address": u.machine.appAddr, "born": u.born,
		"info":   map[string]any{"service": u.machine.service, "version": u.version, "zone": u.machine.zone, "slots": cap(u.slots)},
		"status": map[string]any{"state": state, "seq": u.seq.Add(1), "cold_left_ms": 0},
	})
	return body
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != u.id {
		w.Header().Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	x := execution{
		id: id, service: u.machine.service, version: u.version, upstream: u.id, at: time.Now(),
		failed: rand.Float64() < u.failShare, crashed: r.URL.Path == deadlyPath, tenant: r.Header.Get("X-Tenant"),
	}
	f := u.machine.fleet
	f.mu.Lock()
	f.runs = append(f.runs, x)
	f.mu.Unlock()
	f.log("run %s at %s (%s %s) failed=%v tenant=%s", id, u.id, x.service, x.version, x.failed, x.tenant)
	if x.crashed {
		go u.crash()
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Seal", "seal."+u.id+"."+id)
	if x.failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "body of "+id)
}

// attempt is one consumer attempt.
type attempt struct {
	id     string
	origin *machine
	sent   time.Time
}

// send sends a GET request from a consumer on the machine, and reads its answer.
func (m *machine) send(id, path, key string) {
	const (
		host  = "kits.example"
		limit = 3 * time.Second
	)
	client := &http.Client{Timeout: limit + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+m.outbound+path, nil)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	m.fleet.log("consumer on %s sends %s GET %s%s", m.name, id, host, path)
	res, err := client.Do(req)
	if err != nil {
		m.fleet.log("consumer on %s: %s has no answer: %v", m.name, id, err)
		return
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	m.fleet.log("consumer on %s: %s is answered %d seal=%q %.60q %v", m.name, id, res.StatusCode, res.Header.Get("X-Server-Seal"), answer, err)
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	machines := f.machines
	f.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		m.isOver = true
		m.mu.Unlock()
		if m.upstream != nil {
			m.upstream.end()
		}
		m.killDaemon()
	}
	if f.store != nil && f.store.Process != nil {
		_ = f.store.Process.Kill()
		_ = f.store.Wait()
	}
}
