package canarier

import (
	"math"
	"time"
)

// Stage is a step of a roll-out. The numbers are part of the protocol between daemons.
type Stage uint8

// The stages. In StageHeld the new version gets no calls, in StageCanary a few of its targets
// get a small share, in StageWiden and StageMost all of them get a larger one, and in StageAll
// the whole traffic goes there while the old targets finish their calls.
const (
	StageHeld Stage = iota
	StageCanary
	StageWiden
	StageMost
	StageAll
)

// String returns the name of the stage.
func (s Stage) String() string {
	names := [...]string{"held", "canary", "widen", "most", "all"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Reasons for which an order ends.
const (
	ReasonFailures       = "failures"
	ReasonSlow           = "slow"
	ReasonNoTargets      = "no-target-of-version"
	ReasonTooFewTargets  = "too-few-targets-of-version"
	ReasonUndecided      = "undecided"
	ReasonUnknownService = "unknown-service"
	ReasonInvalid        = "invalid-order"
	ReasonBarred         = "version-was-rolled-back"
)

const (
	// canaryPart is the part of the exposure share that the canary stage uses. The rest is for
	// the wider stages, in which a fault that only shows under the whole load is found.
	canaryPart = 0.4
	// widenShare and mostShare are the shares of StageWiden and StageMost.
	widenShare, mostShare = 0.2, 0.5
	// widenAt, mostAt, allAt and completeAt are when the stages begin and the order completes,
	// in parts of its duration. The canary stage is long, so that faults that come late show
	// while few calls meet them.
	widenAt, mostAt, allAt, completeAt = 0.74, 0.81, 0.87, 0.94
	// minStagePart is the least part of the duration that a stage from StageWiden on lasts.
	minStagePart = 0.05
	// minSlotsShare is the least room that the new targets must have, as a share of the old
	// ones', before the whole traffic goes to them.
	minSlotsShare = 0.5
)

// Room is the room that the targets of a service have.
type Room struct {
	// NewTargets and OldTargets count the ready targets, NewSlots and OldSlots their slots.
	NewTargets, OldTargets int
	NewSlots, OldSlots     int
	// IsPartial says that there may be targets that are not counted.
	IsPartial bool
}

// Stager decides the stages of one order. The zero value of Stage is the first stage. It is
// designed for an order whose fault shows at once, late, only under load or on one route: calls
// that are spread thinly over all new targets would show none of them their usual load.
type Stager struct {
	// Duration is the time that the order allows.
	Duration time.Duration
	// Stage is the present stage, Since the time in the order at which it began.
	Stage Stage
	Since time.Duration
	// TakenUp is the time in the order at which this daemon began to decide it.
	TakenUp time.Duration
}

// Decision is what is next for an order.
type Decision struct {
	State  State
	Stage  Stage
	Reason string
}

// Decide returns what is next, elapsed after the order, with this room and verdict. It changes
// nothing; the caller calls Enter once the stage is in the store.
func (s *Stager) Decide(elapsed time.Duration, room Room, v Verdict) Decision {
	part := float64(elapsed) / float64(max(1, s.Duration))
	running := Decision{State: StateRunning, Stage: s.Stage}
	switch {
	case v.IsBad:
		return Decision{State: StateRolledBack, Reason: v.Reason}
	case room.IsPartial && s.Stage < StageAll && elapsed-s.TakenUp < fleetWait:
		return running
	case room.NewTargets == 0 && part >= 1:
		return Decision{State: StateRolledBack, Reason: ReasonNoTargets}
	case room.NewTargets == 0 && s.Stage < StageAll:
		running.Stage = StageHeld
		return running
	case s.Stage == StageHeld:
		running.Stage = StageCanary
		return running
	case s.Stage == StageCanary && !room.isEnough():
		if part >= 1 {
			return Decision{State: StateRolledBack, Reason: ReasonTooFewTargets}
		}
		return running
	case v.IsDoubtful && s.Stage < StageAll:
		if part >= 1 {
			return Decision{State: StateRolledBack, Reason: ReasonUndecided}
		}
		return running
	}
	if part < s.endsAt() || s.Stage > StageCanary && float64(elapsed-s.Since) < minStagePart*float64(s.Duration) {
		return running
	}
	if s.Stage == StageAll {
		return Decision{State: StateCompleted, Stage: StageAll}
	}
	running.Stage = s.Stage + 1
	return running
}

// Enter records that the stage began, elapsed after the order.
func (s *Stager) Enter(stage Stage, elapsed time.Duration) {
	if stage != s.Stage {
		s.Stage, s.Since = stage, elapsed
	}
}

// endsAt returns the part of the duration at which the stage ends.
func (s *Stager) endsAt() float64 {
	switch s.Stage {
	case StageCanary:
		return widenAt
	case StageWiden:
		return mostAt
	case StageMost:
		return allAt
	default:
		return completeAt
	}
}

// isEnough reports whether the new targets have room for the whole traffic.
func (r Room) isEnough() bool {
	return float64(r.NewSlots) >= minSlotsShare*float64(r.OldSlots)
}

// Exposure returns the share of the calls that the new version gets in a stage, in units of
// 1/shareUnit, and the number of its targets that get them, 0 for all. The canaries are so few
// that each has about the load of an old target.
func Exposure(stage Stage, exposureShare float64, room Room) (share int64, canaries int) {
	switch stage {
	case StageCanary:
		part := canaryPart * exposureShare
		canaries = max(1, int(math.Round(part*float64(room.OldTargets))))
		return int64(part * shareUnit), canaries
	case StageWiden:
		return widenShare * shareUnit, 0
	case StageMost:
		return mostShare * shareUnit, 0
	case StageAll:
		return shareUnit, 0
	default:
		return 0, 0
	}
}
