package spreader

import (
	"cmp"
	"time"
)

// Mode says how a daemon learns of new versions.
type Mode string

// The modes. ModeWatch and ModePoll are baselines for measurements: they carry
// configuration only, no membership.
const (
	ModeTree  Mode = "tree"
	ModeWatch Mode = "watch"
	ModePoll  Mode = "poll"
)

// Settings tunes the spreading. A zero field means its default.
type Settings struct {
	Mode Mode
	// Fanout bounds the children of one daemon.
	Fanout int
	// Slots is the number of relays of one failure domain.
	Slots int
	// Coalesce is the shortest time between two pushes on one session.
	Coalesce time.Duration
	// Heartbeat is the time between two pings of a session.
	Heartbeat time.Duration
	// SilentAfter ends a session on which nothing arrived for so long.
	SilentAfter time.Duration
	// LeaseTTL is the life of a relay's lease when it is not renewed.
	LeaseTTL time.Duration
	// WatchWait bounds one waiting watch of the head.
	WatchWait time.Duration
	// PollInterval is the time between two reads of the head in ModePoll.
	PollInterval time.Duration
	// JoinJitter bounds the random wait before the first join, and spreads the
	// store reads of daemons that start together.
	JoinJitter time.Duration
	// DepartureGrace is how long a daemon whose session was lost may take to
	// rejoin before its record is marked gone.
	DepartureGrace time.Duration
	// DomainSilence is how long all relays of a failure domain may be unheard
	// of before the domain's records are marked gone.
	DomainSilence time.Duration
	// MaxConfirmationAge is the greatest age of a confirmation that a fresh daemon trusts.
	MaxConfirmationAge time.Duration
	// TombstoneRetention is how long the record of a departed target is kept.
	TombstoneRetention time.Duration
	// HasNarrowLink says that the link of this instance is narrow: it leaves watching and
	// relaying to others where it can.
	HasNarrowLink bool
	// Seeds are peer addresses to ask when the store is unreachable.
	Seeds []string
}

func (s Settings) withDefaults() Settings {
	s.Mode = cmp.Or(s.Mode, ModeTree)
	s.Fanout = cmp.Or(s.Fanout, 16)
	s.Slots = cmp.Or(s.Slots, 2)
	s.Coalesce = cmp.Or(s.Coalesce, 25*time.Millisecond)
	s.Heartbeat = cmp.Or(s.Heartbeat, 2*time.Second)
	s.SilentAfter = cmp.Or(s.SilentAfter, 3*s.Heartbeat)
	s.LeaseTTL = cmp.Or(s.LeaseTTL, 6*time.Second)
	s.WatchWait = cmp.Or(s.WatchWait, 3*time.Second)
	s.PollInterval = cmp.Or(s.PollInterval, 5*time.Second)
	s.JoinJitter = cmp.Or(s.JoinJitter, s.Heartbeat/2)
	s.DepartureGrace = cmp.Or(s.DepartureGrace, 5*s.Heartbeat/2)
	s.DomainSilence = cmp.Or(s.DomainSilence, 15*s.Heartbeat/2)
	s.MaxConfirmationAge = cmp.Or(s.MaxConfirmationAge, 10*time.Second)
	s.TombstoneRetention = cmp.Or(s.TombstoneRetention, 2*time.Hour)
	return s
}
