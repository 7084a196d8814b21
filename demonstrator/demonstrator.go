// Package demonstrator implements the "demo" command: it runs a small fleet of two
// partners in one process, makes calls and changes, injects faults, and prints a
// report.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/faulter"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/sleeper"
)

// maxDuration bounds a demonstration; the command promises less than 30 s.
const maxDuration = 28 * time.Second

// ViolationError reports violations of the invariants that package checker checks.
type ViolationError struct{ Violations []checker.Violation }

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d violations of invariants", len(e.Violations))
}

// Run runs the demonstration and writes its log and report to w. It fails with a
// *ViolationError if an invariant was violated.
func Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	d := &demonstration{w: w, start: time.Now()}
	if err := d.startFleet(ctx); err != nil {
		return err
	}
	defer d.fleet.stop()
	for _, step := range []func(context.Context) error{
		d.callBeforeConfiguration, d.acceptConfiguration, d.startCalls, d.acceptException, d.killRelay, d.cutStore, d.drainTarget,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.traffic.stop()
	return d.report()
}

// demonstration is one run of the demonstration.
type demonstration struct {
	w       io.Writer
	start   time.Time
	fleet   fleet
	traffic traffic
	changes []change
}

// logf writes a line with the time since the start.
func (d *demonstration) logf(format string, args ...any) {
	fmt.Fprintf(d.w, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// startFleet starts the fleet and waits until every daemon knows every target.
func (d *demonstration) startFleet(ctx context.Context) error {
	if err := d.fleet.start(ctx); err != nil {
		return err
	}
	d.logf("started a store, %d daemons and %d targets in %d failure domains",
		len(d.fleet.instances), len(d.fleet.instances), len(magnoliaDomains)+len(regieDomains))
	for _, i := range d.fleet.instances {
		if err := d.awaitTargets(ctx, i); err != nil {
			return err
		}
	}
	d.logf("every daemon knows every target")
	return nil
}

// awaitTargets waits until the instance's daemon knows all targets.
func (d *demonstration) awaitTargets(ctx context.Context, i *instance) error {
	for {
		status, err := readStatus(ctx, i)
		if err == nil && len(status.Targets) == len(d.fleet.instances) {
			return nil
		}
		if sleeper.Sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("%s knows %d targets, want %d", i.settings.InstanceID, len(status.Targets), len(d.fleet.instances))
		}
	}
}

// callBeforeConfiguration makes a call before a configuration is accepted, and
// logs its outcome.
func (d *demonstration) callBeforeConfiguration(ctx context.Context) error {
	result := d.traffic.callOnce(ctx, &d.fleet)
	d.logf("a call before any version is in force: %s (%s)", result.Outcome, result.Cause)
	return nil
}

// findRelay returns an instance whose daemon is a relay of its failure domain, or
// the last instance if no daemon reports that it is one.
func (d *demonstration) findRelay(ctx context.Context) *instance {
	for _, i := range d.fleet.instances {
		if status, err := readStatus(ctx, i); err == nil && status.Role == operator.RoleRelay {
			return i
		}
	}
	return d.fleet.instances[len(d.fleet.instances)-1]
}

// accept makes a change and waits until it is in force on the given instances.
func (d *demonstration) accept(ctx context.Context, at *instance, author, reason, edits string, instances []*instance) error {
	c, err := d.fleet.apply(ctx, at, author, reason, edits)
	if err != nil {
		return err
	}
	if err := d.fleet.converge(ctx, &c, instances); err != nil {
		return err
	}
	d.changes = append(d.changes, c)
	d.logf("version %d by %s (%s): in force on %d daemons after %s", c.version, author, reason, len(instances), c.convergenceTime.Round(time.Millisecond))
	return nil
}

// acceptConfiguration accepts the first version of the configuration.
func (d *demonstration) acceptConfiguration(ctx context.Context) error {
	return d.accept(ctx, d.fleet.instances[0], "ada", "the terms that both partners signed", fleetConfiguration, d.fleet.instances)
}

// startCalls starts the traffic, which continues until the end of the
// demonstration, and waits for the first 200 calls.
func (d *demonstration) startCalls(ctx context.Context) error {
	d.traffic.start(ctx, &d.fleet)
	d.logf("started calls of %d kinds", len(callKinds()))
	return d.traffic.await(ctx, 200)
}

const exceptionEdits = `[exception.slow-vault]
partner = "magnolia"
service = "claims-vault"
setting = "scan.timeout-ms"
value = 60000
reason = "the county's line is slow until its new one is laid"
`

// acceptException accepts an exception from the scan timeout for one service.
func (d *demonstration) acceptException(ctx context.Context) error {
	return d.accept(ctx, d.fleet.instances[3], "ben", "an exception for the county offices", exceptionEdits, d.fleet.instances)
}

// timeoutEdits is the change that killRelay makes while the relay is down.
const timeoutEdits = `[class.lookup]
timeout-ms = 1500
`

// killRelay kills a relay, makes a change while it is down, restarts it, and waits
// until it has the change in force.
func (d *demonstration) killRelay(ctx context.Context) error {
	victim := d.findRelay(ctx)
	victim.kill()
	<-victim.done
	d.logf("killed %s, a relay of %s", victim.settings.InstanceID, victim.settings.FailureDomain)
	var others []*instance
	for _, i := range d.fleet.instances {
		if i != victim {
			others = append(others, i)
		}
	}
	if err := d.accept(ctx, others[len(others)-1], "yann", "lookups time out sooner", timeoutEdits, others); err != nil {
		return err
	}
	d.fleet.startDaemon(ctx, victim)
	last := &d.changes[len(d.changes)-1]
	restart := change{version: last.version, accepted: time.Now()}
	if err := d.fleet.converge(ctx, &restart, []*instance{victim}); err != nil {
		return err
	}
	d.logf("restarted %s: it had version %d in force after %s", victim.settings.InstanceID, restart.version, restart.convergenceTime.Round(time.Millisecond))
	return nil
}

// fittingsEdits is the change that cutStore makes twice: it must be refused while the
// store is cut off, and accepted afterwards.
const fittingsEdits = `[route.fittings]
partner = "regie"
path-prefix = "/fittings"
service = "catalogue"
class = "lookup"
`

// cutStore cuts all daemons off from the store, checks that a change is refused and
// that calls go on, and restores the connection.
func (d *demonstration) cutStore(ctx context.Context) error {
	d.fleet.storeLink.Cut()
	before := d.traffic.completed()
	if _, err := d.fleet.apply(ctx, d.fleet.instances[5], "yann", "must be refused without the store", fittingsEdits); err == nil {
		return fmt.Errorf("a change was accepted while the store was cut off")
	}
	if err := d.traffic.await(ctx, before+200); err != nil {
		return err
	}
	d.fleet.storeLink.Set(faulter.Fault{})
	d.logf("cut off the store: a change was refused, and %d calls completed meanwhile", d.traffic.completed()-before)
	return d.accept(ctx, d.fleet.instances[7], "yann", "add a route for fittings", fittingsEdits, d.fleet.instances)
}

// drainTarget drains a target, and then waits for 300 more calls.
func (d *demonstration) drainTarget(ctx context.Context) error {
	leaving := d.fleet.instances[1]
	if err := leaving.target.Drain(ctx); err != nil {
		return err
	}
	d.logf("draining %s", leaving.settings.InstanceID)
	return d.traffic.await(ctx, d.traffic.completed()+300)
}
