// Package tracker keeps the table of targets that their daemons announced.
//
// Every daemon holds the whole table and reads it without locks; package
// spreader moves the records between daemons.
package tracker

import "cmp"

// State is the phase of a target's life.
type State uint8

// The states of a target, in the order in which they normally follow.
const (
	StateReady State = iota + 1
	StateDraining
	StateGone
	// StateWarming is a cold start: the target takes no calls yet.
	StateWarming
)

// String returns the state's name.
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

// Record is what is known of one target.
//
// Invariant: of two records with one InstanceID the one with the higher
// Incarnation holds, and within an incarnation the one with the higher Sequence.
// Where an owner and a daemon that lost it made the same sequence, the later
// state holds, so that the owner learns of it and can refute.
type Record struct {
	InstanceID  string `cbor:"1,keyasint" json:"instance-id"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Sequence    uint64 `cbor:"3,keyasint" json:"sequence"`
	Service     string `cbor:"4,keyasint" json:"service"`
	Domain      string `cbor:"5,keyasint" json:"failure-domain"`
	// PeerAddress is where the target's daemon accepts links.
	PeerAddress string `cbor:"6,keyasint" json:"peer-address"`
	State       State  `cbor:"7,keyasint" json:"state"`
	// Epoch is the run of the target as it announced it; another value means
	// that the target was started anew.
	Epoch uint64 `cbor:"20,keyasint,omitempty" json:"epoch,omitempty"`
	// HandedOver says, of a target that is gone, that its daemon gave its
	// idempotency keys to others before it left.
	HandedOver bool `cbor:"21,keyasint,omitempty" json:"handed-over,omitempty"`
	// Slots is the number of calls that the target says it runs at a time, 0 for none.
	Slots int `cbor:"22,keyasint,omitempty" json:"slots,omitempty"`
	// ColdMS is how long the target was to stay slow when it first announced
	// itself, in milliseconds.
	ColdMS int `cbor:"23,keyasint,omitempty" json:"cold-ms,omitempty"`
	// LinkKbps is the bandwidth of the instance's link in kilobits a second, 0 when
	// it is not known.
	LinkKbps int `cbor:"24,keyasint,omitempty" json:"link-kbps,omitempty"`
}

// Newer says whether r replaces other.
func (r Record) Newer(other Record) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.State, other.State),
	) > 0
}
