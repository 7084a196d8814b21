package quoter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	testTenant = "vestergaard"
	// step is the time between two changes of the fake membership tables, detectTime how
	// long a daemon that can't be reached stays in them.
	step       = 100 * time.Millisecond
	detectTime = 1500 * time.Millisecond
	hopTime    = time.Millisecond
)

var errCut = errors.New("peer can't be reached")

// fleet is a set of daemons whose quoters are connected by function calls.
type fleet struct {
	bounds Bounds
	random *rand.Rand

	mu    sync.Mutex
	limit Limit
	nodes []*node
	// ran holds when each admitted call was admitted, refused how many got no permit.
	ran     []time.Time
	refused int
	calls   sync.WaitGroup
	// delay returns by how much a message to a daemon is late; nil means by nothing.
	delay func(to string) time.Duration
}

// node is one daemon.
type node struct {
	fleet *fleet
	id    string
	// side is the part of a split network in which the daemon is, isDown means that its
	// process does not run.
	side   int
	isDown bool
	quoter *Quoter
	// seen is when the daemon's table last had proof of each other daemon, seenAs of which
	// process.
	seen    map[string]time.Time
	seenAs  map[string]*Quoter
	members *Members
}

func newFleet(n int, limit Limit, bounds Bounds, seed uint64) *fleet {
	f := &fleet{bounds: bounds, limit: limit, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range n {
		f.nodes = append(f.nodes, &node{fleet: f, id: fmt.Sprintf("d%d", i)})
	}
	for _, n := range f.nodes {
		n.restart()
	}
	return f
}

// restart starts a new process of the daemon, which knows only itself.
func (n *node) restart() {
	n.isDown = false
	n.seen, n.seenAs = make(map[string]time.Time), make(map[string]*Quoter)
	n.members = &Members{Ready: []string{n.id}, Strangers: len(n.fleet.nodes) - 1}
	q := &Quoter{InstanceID: n.id, Limit: n.fleet.currentLimit}
	q.Members = func() *Members {
		n.fleet.mu.Lock()
		defer n.fleet.mu.Unlock()
		return n.members
	}
	q.Send = func(ctx context.Context, id string, ask Ask) (Reply, error) { return n.fleet.send(ctx, n, id, ask) }
	q.SetBounds(n.fleet.bounds)
	n.quoter = q
}

func (f *fleet) currentLimit(string) (Limit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limit, true
}

// find returns the daemon with the ID if from can reach it: nil otherwise, and whether that
// shows at once, since its process has ended.
func (f *fleet) find(from *node, id string) (to *node, q *Quoter, isRefused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.id == id && n.side == from.side && n.isDown {
			return nil, nil, true
		}
		if n.id == id && n.side == from.side {
			return n, n.quoter, false
		}
	}
	return nil, nil, false
}

// send delivers an ask and its reply, each after hopTime.
func (f *fleet) send(ctx context.Context, from *node, id string, ask Ask) (Reply, error) {
	time.Sleep(hopTime + f.lateness(id))
	to, q, isRefused := f.find(from, id)
	if isRefused {
		return Reply{}, errCut
	}
	if to == nil {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	reply := q.Handle(context.Background(), from.id, ask)
	time.Sleep(hopTime + f.lateness(from.id))
	if _, now, _ := f.find(from, id); now != q {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	return reply, ctx.Err()
}

// lateness returns by how much the next message to a daemon is late.
func (f *fleet) lateness(to string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.delay == nil {
		return 0
	}
	return f.delay(to)
}

// run plays d of time in steps, in each of which every daemon gets calls(i) calls.
func (f *fleet) run(d time.Duration, calls func(node int) int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		f.mu.Lock()
		for _, n := range f.nodes {
			f.observe(n)
		}
		f.mu.Unlock()
		for i, n := range f.nodes {
			if n.isDown {
				continue
			}
			n.quoter.ObserveMembers()
			for range calls(i) {
				f.calls.Go(func() { f.call(n.quoter) })
			}
		}
	}
}

// call makes one call at some time within the step.
func (f *fleet) call(q *Quoter) {
	f.mu.Lock()
	at := time.Duration(f.random.Int64N(int64(step)))
	limit := f.limit
	f.mu.Unlock()
	time.Sleep(at)
	_, err := q.Admit(context.Background(), testTenant, limit)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.refused++
		return
	}
	f.ran = append(f.ran, time.Now())
}

// observe updates a daemon's table: it learns of others in random order, and of their
// loss after detectTime. The caller holds mu.
func (f *fleet) observe(n *node) {
	now := time.Now()
	next := &Members{Ready: []string{n.id}, Returns: n.members.Returns}
	for _, other := range f.nodes {
		if other == n {
			continue
		}
		seen, isKnown := n.seen[other.id]
		if !other.isDown && other.side == n.side && (isKnown || f.random.IntN(3) == 0) {
			if now.Sub(seen) >= detectTime && n.seenAs[other.id] == other.quoter {
				next.Returns++
			}
			n.seenAs[other.id] = other.quoter
			seen, isKnown = now, true
			n.seen[other.id] = now
			n.learn(other)
		}
		switch {
		case !isKnown:
		case now.Sub(seen) < detectTime:
			next.Ready = append(next.Ready, other.id)
		default:
			next.Lost = append(next.Lost, other.id)
		}
	}
	slices.Sort(next.Ready)
	slices.Sort(next.Lost)
	next.Strangers = len(f.nodes) - len(next.Ready) - len(next.Lost)
	if !slices.Equal(next.Ready, n.members.Ready) || !slices.Equal(next.Lost, n.members.Lost) {
		n.members = next
	}
}

// learn adds the daemons that another one knows, since records of lost daemons spread too.
func (n *node) learn(from *node) {
	for id, at := range from.seen {
		if _, ok := n.seen[id]; !ok && id != n.id {
			n.seen[id] = at
		}
	}
}

// most returns the largest number of calls that ran in any window that begins at or after
// from and ends before to.
func (f *fleet) most(from, to time.Time) int {
	f.settle()
	slices.SortFunc(f.ran, time.Time.Compare)
	most, j := 0, 0
	for i, t := range f.ran {
		for ; f.ran[j].Before(t.Add(-f.bounds.window())); j++ {
		}
		if !f.ran[j].Before(from) && t.Before(to) {
			most = max(most, i-j+1)
		}
	}
	return most
}

// settle waits until no call and no ask is under way.
func (f *fleet) settle() {
	f.calls.Wait()
	time.Sleep(time.Second)
}

// bound returns the largest number of calls that may run in a window.
func (f *fleet) bound(l Limit) int {
	return int((l.RatePerS*f.bounds.window().Seconds()+l.Burst)*(1+f.bounds.OverRatio) + f.bounds.Slack)
}

// home returns the daemon that is the tenant's home as all daemons together know it.
func (f *fleet) home() *node {
	best := f.nodes[0]
	for _, n := range f.nodes {
		if outranks(testTenant, n.id, best.id) {
			best = n
		}
	}
	return best
}
