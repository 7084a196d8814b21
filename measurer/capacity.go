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

// CapacityPlan says how much to measure for a projection.
type CapacityPlan struct {
	// Daemons lists the fleet sizes, Targets the sizes of the table, Domains the
	// numbers of failure domains, Fanouts the fan-outs, Rates the calls a second.
	Daemons, Targets, Domains, Fanouts, Rates []int
	// Links lists the numbers of links whose memory is measured.
	Links []int
	// Changes is the number of changes, and of membership records, in each fleet.
	Changes  int
	Services int
	// Idle is the length of each measurement without changes; Duration is that
	// of each measurement of calls.
	Idle, Duration time.Duration
	Seed           uint64
	// Command is noted in the series as their source.
	Command string
	// Progress is told of each step that begins; nil means nobody.
	Progress func(step string)
}

const (
	microsecondsPerSecond = 1e6
	bytesPerMegabyte      = 1 << 20
	capacitySettle        = 3 * time.Second
	changeSpacing         = 250 * time.Millisecond
	recordSpacing         = 100 * time.Millisecond
	drainSpacing          = time.Second
	defaultWindow         = 100 * time.Millisecond
	// heapFactor is what the runtime may let the heap grow to before it collects.
	heapFactor = 2
)

// surveyor collects the points of every series.
type surveyor struct {
	plan   CapacityPlan
	names  []string
	series map[string]*projector.Series
}

// MeasureCapacity measures the series that a projection rests on.
func MeasureCapacity(ctx context.Context, plan CapacityPlan) ([]projector.Series, error) {
	c := &surveyor{plan: plan, series: make(map[string]*projector.Series)}
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

// add notes a point of a series whose axes are in the given units.
func (c *surveyor) add(name, xUnit, yUnit string, x, y float64) {
	s, ok := c.series[name]
	if !ok {
		s = &projector.Series{Name: name, XUnit: xUnit, YUnit: yUnit, Command: c.plan.Command}
		c.series[name] = s
		c.names = append(c.names, name)
	}
	s.Points = append(s.Points, projector.Point{X: x, Y: y})
}

func (c *surveyor) convergencePlan(domains, targets, fanout int) ConvergencePlan {
	return ConvergencePlan{
		Domains: domains, Targets: targets, Fanout: fanout, Services: c.plan.Services,
		Changes: c.plan.Changes, Seed: c.plan.Seed,
	}
}

// grow starts a fleet and waits until it is at rest.
func (c *surveyor) grow(ctx context.Context, plan ConvergencePlan, daemons int) (*spreadFleet, error) {
	c.plan.progress(fmt.Sprintf("a fleet of %d daemons, %d domains, %d targets", daemons, plan.Domains, plan.Targets))
	f, err := newSpreadFleet(ctx, plan, "tree", daemons, defaultWindow)
	if err != nil {
		return nil, err
	}
	if err := f.settle(ctx, capacitySettle); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// phases holds what a fleet used at rest, while changes came, and while
// membership records came.
type phases struct {
	idle, changes, records [2]usage
	sessions               []int
}

func (c *surveyor) runPhases(ctx context.Context, f *spreadFleet) (*phases, error) {
	p := new(phases)
	p.idle[0] = f.usage()
	if err := sleeper.Sleep(ctx, c.plan.Idle); err != nil {
		return nil, err
	}
	p.idle[1] = f.usage()
	for _, m := range f.members {
		p.sessions = append(p.sessions, m.Convergence().Sessions)
	}
	p.changes[0] = f.usage()
	if err := c.makeChanges(ctx, f); err != nil {
		return nil, err
	}
	p.changes[1] = f.usage()
	p.records[0] = f.usage()
	if err := c.makeRecords(ctx, f); err != nil {
		return nil, err
	}
	p.records[1] = f.usage()
	return p, nil
}

// makeChanges accepts changes one by one, so that none is merged with another.
func (c *surveyor) makeChanges(ctx context.Context, f *spreadFleet) error {
	for i := range c.plan.Changes {
		entry := route(fmt.Sprintf("route-%03d", i%max(1, c.plan.Services)), fmt.Sprintf("/capacity/%d", f.changes), serviceName(0), ownerPartner, "lookup")
		v, err := f.accept(ctx, entry)
		if err != nil {
			return err
		}
		if err := f.await(ctx, func() bool { return f.lowest() >= v }); err != nil {
			return err
		}
		if err := sleeper.Sleep(ctx, changeSpacing); err != nil {
			return err
		}
	}
	return sleeper.Sleep(ctx, drainSpacing)
}

// makeRecords lets targets that no daemon of the fleet serves announce
// themselves anew.
func (c *surveyor) makeRecords(ctx context.Context, f *spreadFleet) error {
	for i := range c.plan.Changes {
		r := newRecord(fmt.Sprintf("guest-%04d", i), "elsewhere-00", "10.0.0.1:7101", i%max(1, c.plan.Services))
		f.members[i%len(f.members)].Announce(ctx, []tracker.Record{r})
		if err := sleeper.Sleep(ctx, recordSpacing); err != nil {
			return err
		}
	}
	return sleeper.Sleep(ctx, drainSpacing)
}

// memberRate is one member's bytes a second between two readings.
func memberRate(u [2]usage, i int) float64 {
	return float64(u[1].bytes[i]-u[0].bytes[i]) / u[1].at.Sub(u[0].at).Seconds()
}

// memberExtra is one member's bytes above its rate at rest.
func memberExtra(u, idle [2]usage, i int) float64 {
	return float64(u[1].bytes[i]-u[0].bytes[i]) - memberRate(idle, i)*u[1].at.Sub(u[0].at).Seconds()
}

func cpuRate(u [2]usage) float64 {
	return (u[1].cpu - u[0].cpu).Seconds() / u[1].at.Sub(u[0].at).Seconds()
}

// cpuExtra is the processor time above that at rest, in microseconds.
func cpuExtra(u, idle [2]usage) float64 {
	extra := (u[1].cpu - u[0].cpu).Seconds() - cpuRate(idle)*u[1].at.Sub(u[0].at).Seconds()
	return extra * microsecondsPerSecond
}

// measureFleets takes the points that depend on a daemon's sessions.
func (c *surveyor) measureFleets(ctx context.Context) error {
	targets := c.plan.Targets[len(c.plan.Targets)-1]
	for _, n := range c.plan.Daemons {
		f, err := c.grow(ctx, c.convergencePlan(2, targets, 0), n)
		if err != nil {
			return err
		}
		p, err := c.runPhases(ctx, f)
		if err == nil {
			err = c.addFleet(ctx, f, p)
		}
		f.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *surveyor) addFleet(ctx context.Context, f *spreadFleet, p *phases) error {
	ends := 0
	for i, sessions := range p.sessions {
		x := float64(sessions)
		ends += sessions
		count := float64(c.plan.Changes)
		c.add(projector.SeriesSessionIdleBytes, "sessions", "B/s", x, memberRate(p.idle, i))
		c.add(projector.SeriesChangeBytes, "sessions", "B per change", x, memberExtra(p.changes, p.idle, i)/count)
		c.add(projector.SeriesRecordBytes, "sessions", "B per record", x, memberExtra(p.records, p.idle, i)/count)
	}
	c.add(projector.SeriesSessionIdleCPU, "sessions of all daemons", "us/s", float64(ends), cpuRate(p.idle)*microsecondsPerSecond)
	head, err := f.store.Get(ctx, acceptor.HeadKey)
	if err != nil {
		return err
	}
	c.add(projector.SeriesHeadBytes, "daemons", "B", float64(len(f.members)), float64(len(head.Value)))
	return nil
}
