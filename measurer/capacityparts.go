package measurer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/loadgenerator"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/projector"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/spreader"
	"bambooweir.example/bambooweir/versioner"
)

// tableDaemons is the size of the fleets that are measured by table size, by
// failure domains and by depth.
const (
	tableDaemons  = 24
	domainDaemons = 24
	depthDaemons  = 63
)

// measureTables takes the points that depend on the number of targets.
func (c *surveyor) measureTables(ctx context.Context, base float64) error {
	for _, targets := range c.plan.Targets {
		before := memoryInUse()
		f, err := c.grow(ctx, c.convergencePlan(2, targets, 0), tableDaemons)
		if err != nil {
			return err
		}
		live := float64(memoryInUse()-before) / bytesPerMegabyte / tableDaemons
		p, err := c.runPhases(ctx, f)
		if err == nil {
			err = c.addTransfer(ctx, f, targets)
		}
		f.stop()
		if err != nil {
			return err
		}
		x, events := float64(targets), float64(c.plan.Changes*tableDaemons)
		c.add(projector.SeriesMemory, "targets", "MB", x, base+heapFactor*live)
		c.add(projector.SeriesChangeCPU, "targets", "us per change", x, cpuExtra(p.changes, p.idle)/events)
		c.add(projector.SeriesRecordCPU, "targets", "us per record", x, cpuExtra(p.records, p.idle)/events)
	}
	return nil
}

// addTransfer lets one daemon join with nothing and counts its bytes until it
// has all.
func (c *surveyor) addTransfer(ctx context.Context, f *spreadFleet, targets int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	digest := f.members[0].Table.Digest
	if err := f.start(ctx, len(f.members), spreader.Settings{Mode: f.mode, Coalesce: defaultWindow}, nil); err != nil {
		return err
	}
	fresh := f.members[len(f.members)-1]
	err := f.await(ctx, func() bool {
		return fresh.Applier.Current() != nil && fresh.Table.Digest() == digest()
	})
	c.add(projector.SeriesFullTransferBytes, "targets", "B", float64(targets), float64(fresh.bytes.Load()))
	return err
}

// measureDomains takes the store's calls by the number of relay leases.
func (c *surveyor) measureDomains(ctx context.Context) error {
	for _, domains := range c.plan.Domains {
		f, err := c.grow(ctx, c.convergencePlan(domains, 0, 0), domainDaemons)
		if err != nil {
			return err
		}
		err = c.addStore(ctx, f, float64(2*domains))
		f.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *surveyor) addStore(ctx context.Context, f *spreadFleet, leases float64) error {
	start, began := f.store.Counts(), f.usage()
	if err := sleeper.Sleep(ctx, 2*c.plan.Idle); err != nil {
		return err
	}
	rest, rested := f.store.Counts(), f.usage()
	if err := c.makeChanges(ctx, f); err != nil {
		return err
	}
	end, ended := f.store.Counts(), f.usage()
	idle, busy := rested.at.Sub(began.at).Seconds(), ended.at.Sub(rested.at).Seconds()
	writes := float64(rest.Writes-start.Writes) / idle
	reads := float64(readsOf(rest)-readsOf(start)) / idle
	changes := float64(c.plan.Changes)
	c.add(projector.SeriesStoreIdleWrites, "relay leases", "1/s", leases, writes)
	c.add(projector.SeriesStoreIdleReads, "relay leases", "1/s", leases, reads)
	c.add(projector.SeriesStoreChangeWrites, "relay leases", "writes per change", leases, (float64(end.Writes-rest.Writes)-writes*busy)/changes)
	c.add(projector.SeriesStoreChangeReads, "relay leases", "reads per change", leases, (float64(readsOf(end)-readsOf(rest))-reads*busy)/changes)
	return nil
}

// readsOf counts a waiting watch as a read, as the platform does.
func readsOf(n fakestorer.Counts) int64 { return n.Reads + n.Watches }

// measureDepth takes the time of convergence by the levels of the tree.
func (c *surveyor) measureDepth(ctx context.Context) error {
	for _, fanout := range c.plan.Fanouts {
		plan := c.convergencePlan(1, 0, fanout)
		f, err := c.grow(ctx, plan, depthDaemons)
		if err != nil {
			return err
		}
		accepted, err := f.change(ctx, plan)
		if err == nil {
			var row ConvergenceRow
			row.times(f.delays(accepted))
			c.add(projector.SeriesConvergence, "levels", "s", float64(f.levels()), row.P99MS/1000)
		}
		f.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// levels is the number of daemons on the longest way from a root.
func (f *spreadFleet) levels() int {
	levels := 0
	for _, m := range f.members {
		levels = max(levels, m.Convergence().Depth+1)
	}
	return levels
}

// measureCalls takes the processor time and the added time of calls.
func (c *surveyor) measureCalls(ctx context.Context) error {
	plan := CallsPlan{Rates: c.plan.Rates, Duration: c.plan.Duration, Size: 512, Seed: c.plan.Seed, Classes: []string{versioner.ClassLookup}}
	f, err := newCallFleet(ctx, fleetPlan{targets: latencyTargets, slots: latencySlots, size: plan.Size})
	if err != nil {
		return err
	}
	defer f.stop()
	for _, rate := range plan.Rates {
		row := plan.compare(ctx, f, rate, versioner.ClassLookup, "/lookup", "link")
		c.add(projector.SeriesAddedP99, "calls/s of one daemon", "ms", float64(rate), float64(row.Added.P99)/1000)
	}
	direct, through := f.stream("http://"+f.nodes[1].address+"/lookup", plan.Size), f.stream(f.entryURL("/lookup"), plan.Size)
	for _, rate := range plan.Rates {
		direct.Rate, through.Rate = float64(rate), float64(rate)
		extra := cpuOf(ctx, plan, through) - cpuOf(ctx, plan, direct)
		c.add(projector.SeriesCallCPU, "calls/s", "us/s", float64(rate), extra*microsecondsPerSecond)
	}
	return nil
}

func (f *callFleet) stream(url string, size int) loadgenerator.Stream {
	return loadgenerator.Stream{Call: func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodGet, url, nil, size)
	}}
}

// cpuOf is the share of a core that the process uses while the stream runs.
func cpuOf(ctx context.Context, plan CallsPlan, stream loadgenerator.Stream) float64 {
	stream.Jitter = plan.random(1)
	loadgenerator.Run(ctx, warmUp, stream)
	before := processCPU()
	loadgenerator.Run(ctx, plan.Duration, stream)
	return (processCPU() - before).Seconds() / plan.Duration.Seconds()
}

// measureLinks takes the memory of open links; both ends are in this process.
func (c *surveyor) measureLinks(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: readyBound, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if link, err := messenger.Accept(w, r); err == nil {
			_, _ = link.Receive(ctx)
		}
	})}
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(l) })
	defer done.Wait()
	defer func() { _ = server.Close() }()
	open := 0
	before := memoryInUse()
	for _, n := range c.plan.Links {
		for ; open < n; open++ {
			link, err := messenger.Dial(ctx, l.Addr().String(), messenger.ControlPath)
			if err != nil {
				return err
			}
			defer link.Close()
		}
		live := float64(memoryInUse()-before) / bytesPerMegabyte
		c.add(projector.SeriesSessionMemory, "sessions", "MB", float64(2*n), heapFactor*live)
	}
	return nil
}

// residentMegabytes is the memory of this process, 0 where it is not known.
func residentMegabytes() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	return float64(residentPages(string(b))*os.Getpagesize()) / bytesPerMegabyte
}

// residentPages reads the second field of statm.
func residentPages(statm string) int {
	var size, resident int
	if _, err := fmt.Sscan(statm, &size, &resident); err != nil {
		return 0
	}
	return resident
}
