package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/projector"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/tracker"
)

// CapacityPlan configures the measurements that a projection is based on.
type CapacityPlan struct {
	// Daemons lists the fleet sizes to measure, Targets the numbers of targets in
	// the table, Domains the numbers of failure domains, Fanouts the fan-outs of
	// the tree, and Rates the rates of calls, in calls a second.
	Daemons, Targets, Domains, Fanouts, Rates []int
	// Links lists the numbers of open links whose memory is measured.
	Links []int
	// Changes is the number of changes, and also of membership records, made in
	// each fleet.
	Changes int
	// Services is the number of services in the configuration.
	Services int
	// Idle is the length of each measurement without changes; Duration is the
	// length of each measurement of calls.
	Idle, Duration time.Duration
	Seed           uint64
	// Command is recorded in each series as the command that produced it.
	Command string
	// Progress is called at the start of each step; nil disables it.
	Progress func(step string)
}

const (
	microsecondsPerSecond = 1e6
	bytesPerMegabyte      = 1 << 20
	// capacitySettleTime is the pause between the completion of a fleet and its
	// measurement.
	capacitySettleTime = 3 * time.Second
	// changeInterval is the pause after each change, recordInterval that after each
	// membership record.
	changeInterval = 250 * time.Millisecond
	recordInterval = 100 * time.Millisecond
	// drainTime is the pause after the last change or record of a phase, so that
	// its cost falls into the phase.
	drainTime = time.Second
	// coalesceWindow is the coalescing window of the fleets in a capacity measurement.
	coalesceWindow = 100 * time.Millisecond
	// heapFactor is the size that the runtime may let the heap reach before it
	// collects garbage, relative to the live heap.
	heapFactor = 2
)

// capacityMeasurer runs the measurements and collects the points of every series.
type capacityMeasurer struct {
	plan CapacityPlan
	// names lists the names of the series in the order of their first points.
	names  []string
	series map[string]*projector.Series
}

// MeasureCapacity measures the series that projector.Project needs.
func MeasureCapacity(ctx context.Context, plan CapacityPlan) ([]projector.Series, error) {
	c := &capacityMeasurer{plan: plan, series: make(map[string]*projector.Series)}
	base := residentMegabytes()
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"links", func(ctx context.Context) error { return c.measureLinks(ctx) }},
		{"tables", func(ctx context.Context) error { return c.measureTables(ctx, base) }},
		{"fleets", c.measureFleets},
		{"domains", c.measureDomains},
		{"depth", c.measureDepth},
		{"calls", c.measureCalls},
	} {
		plan.progress(step.name)
		if err := step.run(ctx); err != nil {
			return nil, errorx.Decorate(err, "measuring %s", step.name)
		}
	}
	series := make([]projector.Series, 0, len(c.names))
	for _, name := range c.names {
		series = append(series, *c.series[name])
	}
	return series, nil
}

func (p *CapacityPlan) progress(step string) {
	if p.Progress != nil {
		p.Progress(step)
	}
}

// addPoint appends a point to a series, and creates the series with the given
// units if it does not exist.
func (c *capacityMeasurer) addPoint(name, xUnit, yUnit string, x, y float64) {
	s, ok := c.series[name]
	if !ok {
		s = &projector.Series{Name: name, XUnit: xUnit, YUnit: yUnit, Command: c.plan.Command}
		c.series[name] = s
		c.names = append(c.names, name)
	}
	s.Points = append(s.Points, projector.Point{X: x, Y: y})
}

// convergencePlan returns the plan of a fleet. A fanout of 0 means the spreader's
// default.
func (c *capacityMeasurer) convergencePlan(domains, targets, fanout int) ConvergencePlan {
	return ConvergencePlan{
		Domains: domains, Targets: targets, Fanout: fanout, Services: c.plan.Services,
		Changes: c.plan.Changes, Seed: c.plan.Seed,
	}
}

// startFleet starts a fleet and waits until it has settled.
func (c *capacityMeasurer) startFleet(ctx context.Context, plan ConvergencePlan, daemons int) (*spreadFleet, error) {
	c.plan.progress(fmt.Sprintf("a fleet of %d daemons, %d domains, %d targets", daemons, plan.Domains, plan.Targets))
	f, err := newSpreadFleet(ctx, plan, "tree", daemons, coalesceWindow)
	if err != nil {
		return nil, err
	}
	if err := f.settle(ctx, capacitySettleTime); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// phaseUsage holds the usage of a fleet at the start and the end of three phases:
// while it is idle, while changes are accepted, and while membership records are
// announced.
type phaseUsage struct {
	idle, changes, records [2]usage
	// sessions holds the number of sessions of each member.
	sessions []int
}

// runPhases takes the fleet through the three phases.
func (c *capacityMeasurer) runPhases(ctx context.Context, f *spreadFleet) (*phaseUsage, error) {
	p := new(phaseUsage)
	p.idle[0] = f.usage()
	if err := sleeper.Sleep(ctx, c.plan.Idle); err != nil {
		return nil, err
	}
	p.idle[1] = f.usage()
	for _, m := range f.members {
		p.sessions = append(p.sessions, m.Convergence().Sessions)
	}
	p.changes[0] = f.usage()
	if err := c.acceptChanges(ctx, f); err != nil {
		return nil, err
	}
	p.changes[1] = f.usage()
	p.records[0] = f.usage()
	if err := c.announceRecords(ctx, f); err != nil {
		return nil, err
	}
	p.records[1] = f.usage()
	return p, nil
}

// acceptChanges accepts the changes one by one and waits until each is in force
// on every member, so that no two changes are coalesced.
func (c *capacityMeasurer) acceptChanges(ctx context.Context, f *spreadFleet) error {
	for i := range c.plan.Changes {
		entry := route(fmt.Sprintf("route-%03d", i%max(1, c.plan.Services)), fmt.Sprintf("/capacity/%d", f.changes), serviceName(0), ownerPartner, "lookup")
		v, err := f.accept(ctx, entry)
		if err != nil {
			return err
		}
		if err := f.await(ctx, func() bool { return f.lowestVersion() >= v }); err != nil {
			return err
		}
		if err := sleeper.Sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	return sleeper.Sleep(ctx, drainTime)
}

// announceRecords announces new targets that belong to no daemon of the fleet,
// through its members in turn.
func (c *capacityMeasurer) announceRecords(ctx context.Context, f *spreadFleet) error {
	for i := range c.plan.Changes {
		r := newRecord(fmt.Sprintf("guest-%04d", i), "elsewhere-00", "10.0.0.1:7101", i%max(1, c.plan.Services))
		f.members[i%len(f.members)].Announce(ctx, []tracker.Record{r})
		if err := sleeper.Sleep(ctx, recordInterval); err != nil {
			return err
		}
	}
	return sleeper.Sleep(ctx, drainTime)
}

// bytesPerSecond returns the rate of one member's bytes between two readings.
func bytesPerSecond(u [2]usage, i int) float64 {
	return float64(u[1].bytes[i]-u[0].bytes[i]) / u[1].at.Sub(u[0].at).Seconds()
}

// bytesAboveIdle returns one member's bytes between two readings, less those that
// it would have moved at its idle rate.
func bytesAboveIdle(u, idle [2]usage, i int) float64 {
	return float64(u[1].bytes[i]-u[0].bytes[i]) - bytesPerSecond(idle, i)*u[1].at.Sub(u[0].at).Seconds()
}

// coresUsed returns the processor time of this process between two readings, in
// seconds a second.
func coresUsed(u [2]usage) float64 {
	return (u[1].cpu - u[0].cpu).Seconds() / u[1].at.Sub(u[0].at).Seconds()
}

// microsecondsAboveIdle returns the processor time between two readings, less
// that at the idle rate, in microseconds.
func microsecondsAboveIdle(u, idle [2]usage) float64 {
	extra := (u[1].cpu - u[0].cpu).Seconds() - coresUsed(idle)*u[1].at.Sub(u[0].at).Seconds()
	return extra * microsecondsPerSecond
}

// measureFleets measures the costs that depend on the number of sessions, and the
// size of the store's head, which depends on the number of daemons.
func (c *capacityMeasurer) measureFleets(ctx context.Context) error {
	targets := c.plan.Targets[len(c.plan.Targets)-1]
	for _, n := range c.plan.Daemons {
		f, err := c.startFleet(ctx, c.convergencePlan(2, targets, 0), n)
		if err != nil {
			return err
		}
		p, err := c.runPhases(ctx, f)
		if err == nil {
			err = c.addFleetPoints(ctx, f, p)
		}
		f.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// addFleetPoints adds the points of one fleet of measureFleets.
func (c *capacityMeasurer) addFleetPoints(ctx context.Context, f *spreadFleet, p *phaseUsage) error {
	sessionEnds := 0
	for i, sessions := range p.sessions {
		x := float64(sessions)
		sessionEnds += sessions
		count := float64(c.plan.Changes)
		c.addPoint(projector.SeriesSessionIdleBytes, "sessions", "B/s", x, bytesPerSecond(p.idle, i))
		c.addPoint(projector.SeriesChangeBytes, "sessions", "B per change", x, bytesAboveIdle(p.changes, p.idle, i)/count)
		c.addPoint(projector.SeriesRecordBytes, "sessions", "B per record", x, bytesAboveIdle(p.records, p.idle, i)/count)
	}
	c.addPoint(projector.SeriesSessionIdleCPU, "sessions of all daemons", "us/s", float64(sessionEnds), coresUsed(p.idle)*microsecondsPerSecond)
	head, err := f.store.Get(ctx, acceptor.HeadKey)
	if err != nil {
		return err
	}
	c.addPoint(projector.SeriesHeadBytes, "daemons", "B", float64(len(f.members)), float64(len(head.Value)))
	return nil
}
