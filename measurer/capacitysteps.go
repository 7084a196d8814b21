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

// The numbers of daemons in the fleets of measureTables, measureDomains and
// measureDepth.
const (
	tableDaemons  = 24
	domainDaemons = 24
	depthDaemons  = 63
)

// measureTables measures the costs that depend on the number of targets in the
// table. base is the resident memory of the process before the first fleet, in
// megabytes.
func (c *capacityMeasurer) measureTables(ctx context.Context, base float64) error {
	for _, targets := range c.plan.Targets {
		before := memoryInUse()
		f, err := c.startFleet(ctx, c.convergencePlan(2, targets, 0), tableDaemons)
		if err != nil {
			return err
		}
		live := float64(memoryInUse()-before) / bytesPerMegabyte / tableDaemons
		p, err := c.runPhases(ctx, f)
		if err == nil {
			err = c.measureFullTransfer(ctx, f, targets)
		}
		f.stop()
		if err != nil {
			return err
		}
		x, events := float64(targets), float64(c.plan.Changes*tableDaemons)
		c.addPoint(projector.SeriesMemory, "targets", "MB", x, base+heapFactor*live)
		c.addPoint(projector.SeriesChangeCPU, "targets", "us per change", x, microsecondsAboveIdle(p.changes, p.idle)/events)
		c.addPoint(projector.SeriesRecordCPU, "targets", "us per record", x, microsecondsAboveIdle(p.records, p.idle)/events)
	}
	return nil
}

// measureFullTransfer starts one more daemon, with no state, and counts its bytes
// until it has the configuration and the complete table of targets.
func (c *capacityMeasurer) measureFullTransfer(ctx context.Context, f *spreadFleet, targets int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	digest := f.members[0].Table.Digest
	if err := f.start(ctx, len(f.members), spreader.Settings{Mode: f.mode, Coalesce: coalesceWindow}, nil); err != nil {
		return err
	}
	fresh := f.members[len(f.members)-1]
	err := f.await(ctx, func() bool {
		return fresh.Applier.Current() != nil && fresh.Table.Digest() == digest()
	})
	c.addPoint(projector.SeriesFullTransferBytes, "targets", "B", float64(targets), float64(fresh.bytes.Load()))
	return err
}

// measureDomains measures the calls to the store by the number of relay leases;
// each failure domain has two.
func (c *capacityMeasurer) measureDomains(ctx context.Context) error {
	for _, domains := range c.plan.Domains {
		f, err := c.startFleet(ctx, c.convergencePlan(domains, 0, 0), domainDaemons)
		if err != nil {
			return err
		}
		err = c.measureStore(ctx, f, float64(2*domains))
		f.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureStore measures the calls to the store, idle and for each change.
func (c *capacityMeasurer) measureStore(ctx context.Context, f *spreadFleet, leases float64) error {
	startCounts, startUsage := f.store.Counts(), f.usage()
	if err := sleeper.Sleep(ctx, 2*c.plan.Idle); err != nil {
		return err
	}
	idleCounts, idleUsage := f.store.Counts(), f.usage()
	if err := c.acceptChanges(ctx, f); err != nil {
		return err
	}
	endCounts, endUsage := f.store.Counts(), f.usage()
	idleSeconds, busySeconds := idleUsage.at.Sub(startUsage.at).Seconds(), endUsage.at.Sub(idleUsage.at).Seconds()
	writes := float64(idleCounts.Writes-startCounts.Writes) / idleSeconds
	reads := float64(readCalls(idleCounts)-readCalls(startCounts)) / idleSeconds
	changes := float64(c.plan.Changes)
	c.addPoint(projector.SeriesStoreIdleWrites, "relay leases", "1/s", leases, writes)
	c.addPoint(projector.SeriesStoreIdleReads, "relay leases", "1/s", leases, reads)
	c.addPoint(projector.SeriesStoreChangeWrites, "relay leases", "writes per change", leases, (float64(endCounts.Writes-idleCounts.Writes)-writes*busySeconds)/changes)
	c.addPoint(projector.SeriesStoreChangeReads, "relay leases", "reads per change", leases, (float64(readCalls(endCounts)-readCalls(idleCounts))-reads*busySeconds)/changes)
	return nil
}

// readCalls returns the number of reads; like the platform, it counts each watch
// as a read.
func readCalls(n fakestorer.Counts) int64 { return n.Reads + n.Watches }

// measureDepth measures the convergence time by the number of levels of the tree.
func (c *capacityMeasurer) measureDepth(ctx context.Context) error {
	for _, fanout := range c.plan.Fanouts {
		plan := c.convergencePlan(1, 0, fanout)
		f, err := c.startFleet(ctx, plan, depthDaemons)
		if err != nil {
			return err
		}
		accepted, err := f.runChangeLog(ctx, plan)
		if err == nil {
			var row ConvergenceRow
			row.setDelays(f.delays(accepted))
			c.addPoint(projector.SeriesConvergence, "levels", "s", float64(f.treeLevels()), row.P99MS/1000)
		}
		f.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// treeLevels returns the number of daemons on the longest path from a root to a
// leaf, both included.
func (f *spreadFleet) treeLevels() int {
	levels := 0
	for _, m := range f.members {
		levels = max(levels, m.Convergence().Depth+1)
	}
	return levels
}

// measureCalls measures the latency that the daemons add to calls, and the
// processor time of calls.
func (c *capacityMeasurer) measureCalls(ctx context.Context) error {
	plan := CallsPlan{Rates: c.plan.Rates, Duration: c.plan.Duration, Size: 512, Seed: c.plan.Seed, Classes: []string{versioner.ClassLookup}}
	f, err := newCallFleet(ctx, fleetPlan{targets: latencyTargets, slots: latencySlots, bodyBytes: plan.Size})
	if err != nil {
		return err
	}
	defer f.stop()
	for _, rate := range plan.Rates {
		row := plan.compareWithDirect(ctx, f, rate, versioner.ClassLookup, "/lookup", "link")
		c.addPoint(projector.SeriesAddedP99, "calls/s of one daemon", "ms", float64(rate), float64(row.Added.P99)/1000)
	}
	direct, through := f.newStream("http://"+f.nodes[1].address+"/lookup", plan.Size), f.newStream(f.entryURL("/lookup"), plan.Size)
	for _, rate := range plan.Rates {
		direct.Rate, through.Rate = float64(rate), float64(rate)
		extra := coresDuring(ctx, plan, through) - coresDuring(ctx, plan, direct)
		c.addPoint(projector.SeriesCallCPU, "calls/s", "us/s", float64(rate), extra*microsecondsPerSecond)
	}
	return nil
}

// newStream returns a stream of GET calls without a rate.
func (f *callFleet) newStream(url string, size int) loadgenerator.Stream {
	return loadgenerator.Stream{Call: func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodGet, url, nil, size)
	}}
}

// coresDuring returns the number of cores that the process uses while the stream
// runs.
func coresDuring(ctx context.Context, plan CallsPlan, stream loadgenerator.Stream) float64 {
	stream.Jitter = plan.newRand(1)
	loadgenerator.Run(ctx, warmUp, stream)
	before := processCPU()
	loadgenerator.Run(ctx, plan.Duration, stream)
	return (processCPU() - before).Seconds() / plan.Duration.Seconds()
}

// measureLinks measures the memory of open links. Both ends of a link are in this
// process, so that each link counts as two sessions.
func (c *capacityMeasurer) measureLinks(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: readyTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		c.addPoint(projector.SeriesSessionMemory, "sessions", "MB", float64(2*n), heapFactor*live)
	}
	return nil
}

// residentMegabytes returns the resident memory of this process, or 0 where
// /proc does not provide it.
func residentMegabytes() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	return float64(residentPages(string(b))*os.Getpagesize()) / bytesPerMegabyte
}

// residentPages returns the second field of /proc/self/statm.
func residentPages(statm string) int {
	var size, resident int
	if _, err := fmt.Sscan(statm, &size, &resident); err != nil {
		return 0
	}
	return resident
}
