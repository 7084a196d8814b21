package daemon

import (
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/spreader"
)

// spreaderSettings returns the spreader's settings from the daemon's.
func spreaderSettings(cfg *loader.Daemon) spreader.Settings {
	return spreader.Settings{
		Mode: spreader.Mode(cfg.SpreadMode), Fanout: cfg.SpreadFanout,
		Coalesce:           loader.Milliseconds(cfg.SpreadCoalesceMS),
		Heartbeat:          loader.Milliseconds(cfg.SpreadHeartbeatMS),
		PollInterval:       loader.Milliseconds(cfg.SpreadPollMS),
		LeaseTTL:           loader.Milliseconds(cfg.RelayLeaseMS),
		MaxConfirmationAge: loader.Milliseconds(cfg.FreshnessMS),
		Seeds:              loader.SplitList(cfg.PeerSeeds),
		HasNarrowLink:      cfg.LinkMbps > 0 && cfg.LinkMbps < minRelayMbps,
	}
}

// distributionStatus returns this daemon's role in the distribution of the
// configuration, as the status resource shows it.
func (d *Daemon) distributionStatus() operator.DistributionStatus {
	c := d.spreader.Convergence()
	s := operator.DistributionStatus{
		Role: operator.RoleJoining, Parent: c.Parent.InstanceID, Depth: c.Depth, Children: c.Children,
		IsConfirmed: c.IsConfirmed, HeadVersion: c.HeadVersion, HeadAgeMS: c.HeadAge.Milliseconds(),
	}
	switch {
	case c.IsRelay:
		s.Role = operator.RoleRelay
	case s.Parent != "":
		s.Role = operator.RoleFollower
	}
	for _, n := range c.Fleet.Counts {
		s.DaemonsByVersion = append(s.DaemonsByVersion, operator.VersionCount{Version: n.Version, Daemons: n.Daemons})
	}
	for _, l := range c.Fleet.Lagging {
		s.StaleDaemons = append(s.StaleDaemons, operator.StaleDaemon{InstanceID: l.InstanceID, Version: l.Version, Reason: l.Reason})
	}
	return s
}

// minRelayMbps is the link bandwidth, in Mbit/s, below which a daemon leaves
// relaying to others where it can. A burst of full configurations of 80 KB,
// several a second, takes a few Mbit/s.
const minRelayMbps = 20
