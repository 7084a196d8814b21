package soaker

import (
	"context"
	"slices"
	"time"

	"bambooweir.example/bambooweir/faulter"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/sleeper"
)

// VersionFault is a kind of fault that begins just before each change.
type VersionFault string

// The kinds of faults. A daemon whose peers are cut off from it still reaches the store, and
// the peers that it dials; one that is frozen or killed counts as out of touch for a while.
const (
	NoFault        VersionFault = "none"
	FreezeDaemons  VersionFault = "freeze"
	FreezeRelays   VersionFault = "freeze-relays"
	KillRelays     VersionFault = "kill-relays"
	CutFromPeers   VersionFault = "cut"
	CutOffGroup    VersionFault = "cut-off"
	CutRelays      VersionFault = "cut-relays"
	CutRelayStores VersionFault = "cut-relay-stores"
	SlowDaemons    VersionFault = "slow"
	NarrowLinks    VersionFault = "narrow"
	ReloadDaemons  VersionFault = "reload"
)

// VersionFaults returns all kinds of faults.
func VersionFaults() []VersionFault {
	return []VersionFault{NoFault, FreezeDaemons, FreezeRelays, KillRelays, CutFromPeers, CutOffGroup, CutRelays, CutRelayStores, SlowDaemons, NarrowLinks, ReloadDaemons}
}

// drawVictims draws up to Victims daemons: relays, with the one that watches the store among
// them, if the fault is one of relays.
func (r *versionsRun) drawVictims(ctx context.Context) []string {
	if r.cfg.Fault == NoFault || r.cfg.Victims < 1 {
		return nil
	}
	var names []string
	for _, d := range r.fleet.Daemons() {
		switch r.cfg.Fault {
		case FreezeDaemons, CutFromPeers, CutOffGroup, SlowDaemons, NarrowLinks, ReloadDaemons:
			names = append(names, d.Name)
		default:
			status, err := r.status(ctx, d)
			if err == nil && status.Role == operator.RoleRelay {
				names = append(names, d.Name)
			}
		}
	}
	r.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), 1+r.random.IntN(r.cfg.Victims))]
}

// runVersionFault begins the fault on a daemon and ends it after the duration hold.
func (r *versionsRun) runVersionFault(ctx context.Context, name string, hold time.Duration) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	begin, end := r.versionFault(ctx, name)
	if !leavesInTouch(r.cfg.Fault) {
		r.excuse(name, hold)
		defer r.excuse(name, 0)
	}
	if err := begin(); err != nil {
		return err
	}
	_ = sleeper.Sleep(ctx, hold)
	return end()
}

// leavesInTouch reports whether a daemon counts although the fault hits it.
func leavesInTouch(fault VersionFault) bool {
	return slices.Contains([]VersionFault{CutFromPeers, CutRelays, ReloadDaemons}, fault)
}

// excuse makes a daemon count no earlier than Touch after the given time from now.
func (r *versionsRun) excuse(name string, hold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outUntil[name] = time.Now().Add(hold + r.cfg.Touch)
}

// versionFault returns what begins and ends the fault on a daemon. A slowed daemon is slow until
// ctx ends.
func (r *versionsRun) versionFault(ctx context.Context, name string) (begin, end func() error) {
	setLink := func(link string, f faulter.Fault) func() error {
		return func() error {
			p, err := r.fleet.Link(name + link)
			if err == nil {
				p.Set(f)
			}
			return err
		}
	}
	nothing := func() error { return nil }
	switch r.cfg.Fault {
	case FreezeDaemons, FreezeRelays:
		return func() error { return r.fleet.Freeze(name) }, func() error { return r.fleet.Thaw(name) }
	case SlowDaemons:
		return func() error { go r.slowDown(ctx, name); return nil }, nothing
	case ReloadDaemons:
		return func() error { return r.fleet.Reload(name) }, nothing
	case NarrowLinks:
		return setLink(":peers", faulter.Fault{BytesPerSecond: narrowBytesPerSecond}), setLink(":peers", faulter.Fault{})
	case KillRelays:
		return func() error { return r.fleet.Kill(name) }, func() error { return r.fleet.Restart(name) }
	case CutFromPeers, CutRelays:
		return setLink(":peers", faulter.Fault{Silence: faulter.Both}), setLink(":peers", faulter.Fault{})
	case CutRelayStores:
		return setLink(":store", faulter.Fault{Silence: faulter.Both}), setLink(":store", faulter.Fault{})
	}
	return nothing, nothing
}

// slowDown makes a daemon stand still by turns until ctx ends.
func (r *versionsRun) slowDown(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if r.fleet.Freeze(name) != nil {
			return
		}
		_ = sleeper.Sleep(ctx, slowPause)
		if r.fleet.Thaw(name) != nil {
			return
		}
		_ = sleeper.Sleep(ctx, slowRun)
	}
}
