// Package tracker holds the membership table: the records of all targets of the
// service mesh, as their daemons announced them.
//
// Every daemon holds the whole table and reads the targets of a service without
// locks. Package announcer makes the record of the daemon's own target, and
// package spreader exchanges records between daemons.
package tracker

import "cmp"

// State is the lifecycle state of a target.
type State uint8

// The states of a target. The numbers are part of the protocol between daemons.
const (
	StateReady State = iota + 1
	StateDraining
	StateGone
	// StateWarming means a cold start: the target accepts no calls yet.
	StateWarming
)

// finality orders the states of one record for Newer: a target that is held to be gone
// replaces any other state, so that its daemon learns of it.
func (s State) finality() int {
	switch s {
	case StateWarming:
		return 0
	case StateReady:
		return 1
	case StateDraining:
		return 2
	default:
		return 3
	}
}

// String returns the name of the state, as announcements and status output use
// it.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	case StateWarming:
		return "warming"
	default:
		return "unknown"
	}
}

// Record is the membership record of one target.
//
// Invariant: of two records with the same InstanceID the one with the higher
// Incarnation applies, and within an incarnation the one with the higher
// Sequence. If a target's own daemon and a daemon that lost contact with it made
// records with the same Sequence, the one with the more final State applies, so that
// the target's daemon receives the other's record and can refute it.
type Record struct {
	InstanceID  string `cbor:"1,keyasint" json:"instance-id"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Sequence    uint64 `cbor:"3,keyasint" json:"sequence"`
	Service     string `cbor:"4,keyasint" json:"service"`
	Domain      string `cbor:"5,keyasint" json:"failure-domain"`
	// PeerAddress is the address at which the target's daemon accepts links.
	PeerAddress string `cbor:"6,keyasint" json:"peer-address"`
	State       State  `cbor:"7,keyasint" json:"state"`
	// Epoch identifies the run of the target, as the target announced it. A
	// different value means that the target was restarted.
	Epoch uint64 `cbor:"20,keyasint,omitempty" json:"epoch,omitempty"`
	// HandedOver reports, for a target that is gone, that its daemon gave its
	// idempotency keys to other daemons before it left.
	HandedOver bool `cbor:"21,keyasint,omitempty" json:"handed-over,omitempty"`
	// Slots is the number of concurrent calls that the target announced, or 0 if
	// it announced none.
	Slots int `cbor:"22,keyasint,omitempty" json:"slots,omitempty"`
	// ColdMS is the time for which the target expected to be slow when its run
	// first announced itself, in milliseconds.
	ColdMS int `cbor:"23,keyasint,omitempty" json:"cold-ms,omitempty"`
	// TargetLeaving reports that the target itself announced that it is draining or
	// gone, and not only its daemon. A run of a target never takes that back.
	TargetLeaving bool `cbor:"25,keyasint,omitempty" json:"target-leaving,omitempty"`
	// LinkKbps is the bandwidth of the instance's network link in kilobits per
	// second, or 0 if it is not known.
	LinkKbps int `cbor:"24,keyasint,omitempty" json:"link-kbps,omitempty"`
	// Version is the version of the target's software, as it announced it, or "".
	Version string `cbor:"26,keyasint,omitempty" json:"version,omitempty"`
}

// Newer reports whether r replaces other.
func (r Record) Newer(other Record) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.State.finality(), other.State.finality()),
	) > 0
}

// HasLeft reports whether the instance is gone and has said so.
func (r Record) HasLeft() bool { return r.State == StateGone && (r.TargetLeaving || r.HandedOver) }

// IsLost reports whether the instance is gone without having said so: it may only be out of
// touch.
func (r Record) IsLost() bool { return r.State == StateGone && !r.HasLeft() }
