package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that an upstream began to work on, or turned away.
type run struct {
	id   string
	path string
	at   time.Time
	// turnedAway is set if the upstream answered X-Not-Executed.
	turnedAway bool
}

// behavior says how an upstream answers.
type behavior struct {
	work time.Duration
	// deadlyPath is the path of requests that crash the upstream that begins to run them.
	deadlyPath string
	// deadlyWork is how long such a request runs before the upstream crashes.
	deadlyWork time.Duration
	// turnAway decides whether a request is answered 503 with X-Not-Executed.
	turnAway func() bool
	header   http.Header
}

// upstream is the server beside a daemon.
type upstream struct {
	node *node

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	state    string
	behavior behavior
	listener net.Listener
	conns    map[net.Conn]bool
	runs     []run
	crashes  []time.Time
	pings    context.CancelFunc
	lives    int
	// isDown is set from a crash until the next lifetime.
	isDown bool
	// pause returns how long the upstream is away after a crash; nil means crashPause.
	pause func() time.Duration
}

// startUpstream starts the upstream of the machine and its pings.
func (n *node) startUpstream(b behavior) *upstream {
	u := &upstream{node: n, behavior: b}
	n.up = u
	u.begin()
	return u
}

// begin begins a lifetime.
func (u *upstream) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lives++
	u.isDown = false
	u.id = fmt.Sprintf("i-%s-%d", u.node.name, u.lives)
	u.born, u.seq, u.state = time.Now().UnixMilli(), 0, "ready"
	l, err := net.Listen("tcp", u.node.addr("app"))
	if err != nil {
		fail("upstream of %s: %v", u.node.name, err)
	}
	u.listener, u.conns = l, map[net.Conn]bool{}
	server := &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: func(c net.Conn, s http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if s == http.StateClosed {
			delete(u.conns, c)
		} else {
			u.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.pings = cancel
	go func() {
		for {
			u.ping()
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

// message returns the next ping of this lifetime in its present state.
func (u *upstream) message() (id string, body []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	return u.id, u.encode(u.state, u.seq)
}

// encode returns a ping. The caller holds mu.
func (u *upstream) encode(state string, seq int) []byte {
	b, _ := json.Marshal(map[string]any{
		"address": u.node.addr("app"), "born": u.born,
		"info":   map[string]any{"service": u.node.service, "version": "v1", "zone": u.node.zone, "slots": 12},
		"status": map[string]any{"state": state, "seq": seq, "cold_left_ms": 0},
	})
	return b
}

// post sends a call to the daemon of the upstream's machine and returns the status, 0 for
// no answer.
func (u *upstream) post(path string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post("http://"+u.node.addr("control")+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// ping sends a ping and returns its status.
func (u *upstream) ping() int {
	id, body := u.message()
	return u.post("/-/instances/"+id+"/heartbeat", body)
}

// crash ends the lifetime at once, and begins another one after the pause.
func (u *upstream) crash(pause time.Duration) {
	u.mu.Lock()
	if u.isDown {
		u.mu.Unlock()
		return
	}
	u.isDown = true
	u.node.fleet.rec.printf("%s: upstream %s crashes", u.node.name, u.id)
	u.crashes = append(u.crashes, time.Now())
	u.pings()
	_ = u.listener.Close()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	u.mu.Unlock()
	time.AfterFunc(pause, u.begin)
}

func (u *upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pings()
	_ = u.listener.Close()
}

// crashPause is how long an upstream is away after a crash.
const crashPause = 3 * time.Second

// serve answers a request.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	b, id, state := u.behavior, u.id, u.state
	u.mu.Unlock()
	requestID := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", requestID)
	w.Header().Set("X-Instance-Id", id)
	for name, values := range b.header {
		w.Header()[name] = values
	}
	if state == "draining" {
		w.Header().Set("Connection", "close")
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	away := b.turnAway != nil && b.turnAway()
	u.mu.Lock()
	u.runs = append(u.runs, run{id: requestID, path: r.URL.Path, at: time.Now(), turnedAway: away})
	u.mu.Unlock()
	if away {
		u.node.fleet.rec.printf("%s: upstream %s turns %s away", u.node.name, id, requestID)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.node.fleet.rec.printf("%s: upstream %s runs %s %s", u.node.name, id, requestID, r.URL.Path)
	if b.deadlyPath != "" && r.URL.Path == b.deadlyPath {
		time.Sleep(b.deadlyWork)
		pause := crashPause
		if u.pause != nil {
			pause = u.pause()
		}
		u.crash(pause)
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Seal", "seal-"+requestID)
	fmt.Fprintf(w, "%s ran %s", id, requestID)
}

// ranSince returns the requests that arrived since a time.
func (u *upstream) ranSince(t time.Time) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []run
	for _, r := range u.runs {
		if !r.at.Before(t) {
			out = append(out, r)
		}
	}
	return out
}
