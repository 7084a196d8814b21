package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadUsers is the usual number of consumers of a machine that upload at a time, and
	// uploadBurst how many times as many come in a burst.
	uploadUsers = 30
	uploadBurst = 1.7
	// uploadBytes is the size of a body, of at most max_body_bytes, and uploadTime the time in
	// which a consumer sends it. A burst takes less than the link of a machine.
	uploadBytes = 6_500_000
	uploadTime  = 3 * time.Second
	// uploadLimit is the consumers' time limit and the route's.
	uploadLimit  = 5 * time.Second
	uploadRounds = 3
)

// residentMB returns the resident memory of the daemon's process, 0 if there is none.
func (n *node) residentMB() float64 {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// limitMemory kills the daemon when it exceeds memory_mb, as the platform does, and starts it
// again, until stop is closed. It returns how often that happened and the highest use seen.
func (n *node) limitMemory(stop chan struct{}) (ends int, peak float64) {
	for {
		select {
		case <-stop:
			return ends, peak
		case <-time.After(10 * time.Millisecond):
		}
		mb := n.residentMB()
		peak = max(peak, mb)
		if mb > memoryMB {
			n.fleet.rec.printf("%s: the daemon uses %.0f MB of %d MB", n.name, mb, memoryMB)
			n.signal(syscall.SIGKILL)
			n.wait()
			ends++
			time.Sleep(restartDelay)
			n.start()
		}
	}
}

// upload sends a body in steps over uploadTime and returns the status of the answer, 0 for none.
func (n *node) upload(id string) int {
	c, err := net.DialTimeout("tcp", n.addr("outbound"), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(uploadLimit))
	fmt.Fprintf(c, "POST /cert/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", host, id, uploadLimit.Milliseconds(), uploadBytes)
	const steps = 50
	b := make([]byte, uploadBytes/steps)
	for i := range steps {
		time.Sleep(uploadTime / steps)
		if i == steps-1 {
			b = make([]byte, uploadBytes-(steps-1)*len(b))
		}
		if _, err := c.Write(b); err != nil {
			return 0
		}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// uploads shows that a burst of uploads makes a daemon exceed its memory.
func uploads(rec *record, trouble bool) bool {
	f := newFleet(rec, []machine{
		{"vault-1", "mobile-bay", "claims-vault"}, {"vault-2", "selma-row", "claims-vault"}, {"vault-3", "natchez-hall", "claims-vault"},
		{"desk-1", "mobile-bay", "payout-desk"}, {"desk-2", "selma-row", "payout-desk"},
	})
	defer f.stop()
	f.put("op/config", config(7, []string{"claims-vault", "payout-desk"}, []route{
		{Name: "r-cert", Prefix: "/cert/", Kind: "upload", TimeoutMS: int(uploadLimit.Milliseconds()), ObjectiveMS: 1000, Priority: 1, Service: "claims-vault", MaxAttempts: 2},
		{Name: "r-post", Prefix: "/post/", Kind: "non_idempotent", TimeoutMS: 1000, ObjectiveMS: 500, Priority: 1, Service: "payout-desk", MaxAttempts: 2},
	}))
	for _, n := range f.nodes {
		n.start()
		n.startUpstream(behavior{work: 100 * time.Millisecond})
	}
	f.awaitReady()
	time.Sleep(touch)
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	ends, peaks := make([]int, len(f.nodes)), make([]float64, len(f.nodes))
	for i, n := range f.nodes {
		watchers.Go(func() { ends[i], peaks[i] = n.limitMemory(stop) })
	}
	// Other consumers of the two machines post payouts meanwhile.
	var posted, cut atomic.Int64
	for _, n := range f.nodes[3:] {
		for range 4 {
			watchers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					r := request{id: newID(), method: "POST", path: "/post/1", body: []byte("payout"), deadline: 2 * time.Second}
					a := n.send(r)
					posted.Add(1)
					if a.err != nil && !strings.Contains(a.err.Error(), "refused") {
						cut.Add(1)
						rec.printf("consumer at %s posts %s and gets %v", n.name, r.id, a)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	users := uploadUsers
	if trouble {
		users = int(uploadUsers * uploadBurst)
	}
	for round := range uploadRounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for _, n := range f.nodes[3:] {
			rec.printf("%d consumers at %s begin to upload %d bytes each", users, n.name, uploadBytes)
			for range users {
				wg.Go(func() {
					id := newID()
					s := n.upload(id)
					mu.Lock()
					statuses[s]++
					mu.Unlock()
				})
			}
		}
		wg.Wait()
		rec.printf("round %d: uploads by status (0: no answer): %v", round+1, statuses)
		time.Sleep(6 * time.Second)
	}
	close(stop)
	watchers.Wait()
	machines := 0
	for i, n := range f.nodes {
		rec.printf("%s: at most %.0f MB seen; ended %d times over its memory", n.name, peaks[i], ends[i])
		if ends[i] >= 3 {
			machines++
		}
	}
	rec.printf("%d payouts posted, %d of them cut off without an answer", posted.Load(), cut.Load())
	rec.printf("Fault: on %d of %d machines the process ended three times over its memory", machines, len(f.nodes))
	return machines >= 2 && machines*10 >= len(f.nodes)
}
