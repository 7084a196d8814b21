// Package demonstrator shows bambooweir at work: a small fleet of two partners
// in one process, with calls, changes and faults, and an account at the end.
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

// limit is the longest time that a demonstration takes.
const limit = 28 * time.Second

// BrokenError reports broken promises.
type BrokenError struct{ Violations []checker.Violation }

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%d promises were broken", len(e.Violations))
}

// Run runs the demonstration and writes what happens to w. It fails with a
// *BrokenError when a promise towards callers or operators was broken.
func Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d := &demonstration{w: w, start: time.Now()}
	if err := d.bringUp(ctx); err != nil {
		return err
	}
	defer d.fleet.stop()
	for _, step := range []func(context.Context) error{
		d.showRefusal, d.acceptFleet, d.serveCalls, d.acceptException, d.killDaemon, d.cutStore, d.drainTarget,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.traffic.stop()
	return d.report()
}

// demonstration is one run.
type demonstration struct {
	w       io.Writer
	start   time.Time
	fleet   fleet
	traffic traffic
	changes []change
}

func (d *demonstration) say(format string, args ...any) {
	fmt.Fprintf(d.w, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demonstration) bringUp(ctx context.Context) error {
	if err := d.fleet.start(ctx); err != nil {
		return err
	}
	d.say("started a store, %d daemons and %d targets in %d failure domains",
		len(d.fleet.instances), len(d.fleet.instances), len(magnoliaDomains)+len(regieDomains))
	for _, i := range d.fleet.instances {
		if err := d.awaitTargets(ctx, i); err != nil {
			return err
		}
	}
	d.say("every daemon knows every target")
	return nil
}

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

// showRefusal makes a call before any configuration is accepted.
func (d *demonstration) showRefusal(ctx context.Context) error {
	told := d.traffic.callOnce(ctx, &d.fleet)
	d.say("a call before any version is in force: %s (%s)", told.Outcome, told.Cause)
	return nil
}

// findRelay returns an instance whose daemon relays for its failure domain.
func (d *demonstration) findRelay(ctx context.Context) *instance {
	for _, i := range d.fleet.instances {
		if status, err := readStatus(ctx, i); err == nil && status.Role == operator.RoleRelay {
			return i
		}
	}
	return d.fleet.instances[len(d.fleet.instances)-1]
}

// accept makes a change and waits until the instances have it in force.
func (d *demonstration) accept(ctx context.Context, at *instance, author, reason, edits string, on []*instance) error {
	c, err := d.fleet.apply(ctx, at, author, reason, edits)
	if err != nil {
		return err
	}
	if err := d.fleet.converge(ctx, &c, on); err != nil {
		return err
	}
	d.changes = append(d.changes, c)
	d.say("version %d by %s (%s): in force on %d daemons after %s", c.version, author, reason, len(on), c.convergence.Round(time.Millisecond))
	return nil
}

func (d *demonstration) acceptFleet(ctx context.Context) error {
	return d.accept(ctx, d.fleet.instances[0], "ada", "the terms that both partners signed", fleetConfiguration, d.fleet.instances)
}

// serveCalls starts the calls that go on until the end.
func (d *demonstration) serveCalls(ctx context.Context) error {
	d.traffic.start(ctx, &d.fleet)
	d.say("calls of %d kinds begin", len(kinds()))
	return d.traffic.await(ctx, 200)
}

const exceptionEdits = `[exception.slow-vault]
partner = "magnolia"
service = "claims-vault"
setting = "scan.timeout-ms"
value = 60000
reason = "the county's line is slow until its new one is laid"
`

func (d *demonstration) acceptException(ctx context.Context) error {
	return d.accept(ctx, d.fleet.instances[3], "ben", "an exception for the county offices", exceptionEdits, d.fleet.instances)
}

const timeoutEdits = `[class.lookup]
timeout-ms = 1500
`

// killDaemon kills a relay, makes a change without it, and starts it again.
func (d *demonstration) killDaemon(ctx context.Context) error {
	victim := d.findRelay(ctx)
	victim.kill()
	<-victim.done
	d.say("killed %s, a relay of %s", victim.settings.InstanceID, victim.settings.FailureDomain)
	var rest []*instance
	for _, i := range d.fleet.instances {
		if i != victim {
			rest = append(rest, i)
		}
	}
	if err := d.accept(ctx, rest[len(rest)-1], "yann", "lookups may not keep an old man waiting", timeoutEdits, rest); err != nil {
		return err
	}
	d.fleet.startDaemon(ctx, victim)
	last := &d.changes[len(d.changes)-1]
	again := change{version: last.version, accepted: time.Now()}
	if err := d.fleet.converge(ctx, &again, []*instance{victim}); err != nil {
		return err
	}
	d.say("%s came back and has version %d in force after %s", victim.settings.InstanceID, again.version, again.convergence.Round(time.Millisecond))
	return nil
}

const stockEdits = `[route.fittings]
partner = "regie"
path-prefix = "/fittings"
service = "catalogue"
class = "lookup"
`

// cutStore cuts all daemons off from the store and heals it.
func (d *demonstration) cutStore(ctx context.Context) error {
	d.fleet.storeLink.Cut()
	before := d.traffic.ended()
	if _, err := d.fleet.apply(ctx, d.fleet.instances[5], "yann", "refused while the store is down", stockEdits); err == nil {
		return fmt.Errorf("a change was accepted without the store")
	}
	if err := d.traffic.await(ctx, before+200); err != nil {
		return err
	}
	d.fleet.storeLink.Set(faulter.Fault{})
	d.say("the store was cut off: a change was refused, %d calls came to their end meanwhile", d.traffic.ended()-before)
	return d.accept(ctx, d.fleet.instances[7], "yann", "fittings are looked up too", stockEdits, d.fleet.instances)
}

// drainTarget makes a target leave.
func (d *demonstration) drainTarget(ctx context.Context) error {
	leaving := d.fleet.instances[1]
	if err := leaving.target.Drain(ctx); err != nil {
		return err
	}
	d.say("%s leaves", leaving.settings.InstanceID)
	return d.traffic.await(ctx, d.traffic.ended()+300)
}
