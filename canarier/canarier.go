// Package canarier moves a service to a new version of its software in stages, and back if the
// version is bad.
//
// An operator's order names the version and the time in which its targets are to have the
// whole traffic. One daemon, the leader, compares how the targets of both versions answer and
// decides the stage. Its directives reach all daemons, each of which keeps its own calls to the
// new version within the directive's share. See docs/design/rollouts.md.
package canarier

import (
	"cmp"
	"slices"
	"time"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service, Version string
	// Duration is the time in which the move is to be completed.
	Duration time.Duration
	// Revision identifies the order: it rises with each order for the service.
	Revision uint64
}

// State is how far an order has come. The numbers are part of the protocol between daemons.
type State uint8

// The states of an order. Completed and RolledBack are final.
const (
	StateRunning State = iota + 1
	StateCompleted
	StateRolledBack
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateRunning:
		return "running"
	case StateCompleted:
		return "completed"
	case StateRolledBack:
		return "rolled-back"
	default:
		return "unknown"
	}
}

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool { return s == StateCompleted || s == StateRolledBack }

// Status is the state of an order as it is kept in the store.
type Status struct {
	Service, Version string
	State            State
	Stage            Stage
	// Reason says why the order ended, or "".
	Reason string
	// Began is when a daemon first saw the order.
	Began time.Time
	// Revision is that of the order.
	Revision uint64
	// Barred lists the versions of the service that get no calls, because their orders were
	// rolled back or replaced by another order.
	Barred []string
}

// isVerdict reports whether the order has ended with a word about its version. An order that
// could not be carried out has not.
func (st Status) isVerdict() bool { return st.State.IsFinal() && isAboutVersion(st.Reason) }

// isAboutVersion reports whether an order that ended for the reason says something about its
// version.
func isAboutVersion(reason string) bool {
	return reason != ReasonInvalid && reason != ReasonUnknownService
}

// Directive tells all daemons which calls for a service may go to its new version.
//
// Invariant: of two directives for a service the one with the higher Revision applies, then a
// final one, then the one with the higher Term, then Sequence.
type Directive struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Revision is that of the order.
	Revision uint64 `cbor:"3,keyasint"`
	// Term identifies the leader that decided, 0 for a daemon that only saw the order.
	Term     uint64 `cbor:"4,keyasint,omitempty"`
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
	State    State  `cbor:"6,keyasint"`
	Stage    Stage  `cbor:"7,keyasint,omitempty"`
	// Share is the part of the calls that goes to the new version, in units of 1/shareUnit.
	Share int64 `cbor:"8,keyasint,omitempty"`
	// Canaries is the number of new targets that get these calls, 0 for all.
	Canaries int `cbor:"9,keyasint,omitempty"`
	// TTLMS is how long after its arrival the share applies, in milliseconds. Then the new
	// version gets no calls until another directive arrives.
	TTLMS int64 `cbor:"10,keyasint,omitempty"`
	// Reason says why the order ended, or is about to end once the store knows.
	Reason string   `cbor:"11,keyasint,omitempty"`
	Barred []string `cbor:"12,keyasint,omitempty"`
}

// shareUnit is the Share that stands for all calls.
const shareUnit = 10_000

// Newer reports whether d replaces other, a directive for the same service.
func (d Directive) Newer(other Directive) bool {
	return cmp.Or(
		cmp.Compare(d.Revision, other.Revision), compareBools(d.State.IsFinal(), other.State.IsFinal()),
		cmp.Compare(d.Term, other.Term), cmp.Compare(d.Sequence, other.Sequence),
	) > 0
}

// compareBools compares two bools, false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// maxBarred bounds the versions that a service remembers as barred, the newest last.
const maxBarred = 16

// addBarred returns the versions of a and b, each once.
func addBarred(a []string, b ...string) []string {
	merged := slices.Clone(a)
	for _, v := range b {
		if v != "" && !slices.Contains(merged, v) {
			merged = append(merged, v)
		}
	}
	return merged[max(0, len(merged)-maxBarred):]
}
