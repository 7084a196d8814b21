package messenger

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// CallID identifies one attempt of a call; it is unique across daemons and time.
type CallID [16]byte

// String returns the id in hexadecimal.
func (id CallID) String() string { return hex.EncodeToString(id[:]) }

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Call asks the target's daemon to run a call.
type Call struct {
	ID      CallID `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Partner string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Method  string `cbor:"5,keyasint"`
	// Target is the request target: path and query.
	Target  string   `cbor:"6,keyasint"`
	Headers []Header `cbor:"7,keyasint,omitempty"`
	Body    []byte   `cbor:"8,keyasint,omitempty"`
	// RemainingMS is the time left until the call's deadline, in milliseconds.
	RemainingMS    int64  `cbor:"9,keyasint"`
	IdempotencyKey string `cbor:"10,keyasint,omitempty"`
	// Host is the host that the caller asked for.
	Host string `cbor:"11,keyasint,omitempty"`
	// Idempotent says that the call may run more than once.
	Idempotent bool `cbor:"12,keyasint,omitempty"`
	// Sequence numbers the calls of one link, from 1.
	Sequence uint64 `cbor:"13,keyasint"`
	// SentUS is the sender's time of sending since the link was opened, in microseconds.
	SentUS int64 `cbor:"14,keyasint"`
	// BodyDigest is the xxHash64 of Body.
	BodyDigest uint64 `cbor:"15,keyasint,omitempty"`
	// Acks lists calls whose answers the entry daemon has received.
	Acks []CallID `cbor:"16,keyasint,omitempty"`
	// CallingPartner is the partner whose share the call uses, if that is not
	// Partner.
	CallingPartner string `cbor:"17,keyasint,omitempty"`
	// KeyPeers lists the service's targets as the entry daemon knows them, for a
	// call with an idempotency key.
	KeyPeers []KeyPeer `cbor:"18,keyasint,omitempty"`
	// RequestID is the caller's name of the request, for logs.
	RequestID string `cbor:"19,keyasint,omitempty"`
	// Priority ranks the calls that wait for a slot; 0 goes first.
	Priority int `cbor:"20,keyasint,omitempty"`
	// ObjectiveMS is the latency up to which the call's answer is worth most, in
	// milliseconds; 0 means that no objective is stated.
	ObjectiveMS int64 `cbor:"21,keyasint,omitempty"`
	// IsNested says that a target made the call while it ran another one.
	IsNested bool `cbor:"22,keyasint,omitempty"`
	// WaitedMS is what the caller has waited of its objective when the call is
	// sent, earlier requests for the same thing included as far as they show.
	WaitedMS int64 `cbor:"23,keyasint,omitempty"`
}

// IsKeyed says whether the call runs at the home of its idempotency key.
func (c *Call) IsKeyed() bool { return c.IdempotencyKey != "" && !c.Idempotent }

// Outcome says what became of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the target answered; the answer is whole.
	OutcomeAnswered
	// OutcomeNotRun means that the call did not run and never will.
	OutcomeNotRun
)

// String returns the outcome as problem documents name it.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Answer ends a call.
type Answer struct {
	ID      CallID   `cbor:"1,keyasint"`
	Outcome Outcome  `cbor:"2,keyasint"`
	Status  int      `cbor:"3,keyasint,omitempty"`
	Headers []Header `cbor:"4,keyasint,omitempty"`
	Body    []byte   `cbor:"5,keyasint,omitempty"`
	// Cause is a kebab-case word that says why the call was not answered.
	Cause string `cbor:"6,keyasint,omitempty"`
	// RetryAfterMS advises the caller when to try again, in milliseconds; 0 gives no advice.
	RetryAfterMS int64 `cbor:"7,keyasint,omitempty"`
	// BodyDigest is the xxHash64 of Body.
	BodyDigest uint64 `cbor:"8,keyasint,omitempty"`
	// Draining says that the target's daemon takes no new calls any more.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Running and Waiting are the calls at the target's daemon, without this one.
	Running int `cbor:"10,keyasint,omitempty"`
	Waiting int `cbor:"11,keyasint,omitempty"`
	// HasLoad says that Running and Waiting are set.
	HasLoad bool `cbor:"12,keyasint,omitempty"`
	// Coverage answers a KeyQuery of which the daemon knows nothing.
	Coverage *KeyCoverage `cbor:"13,keyasint,omitempty"`
	// Sent says that the call was sent to the target, whatever came of it.
	Sent bool `cbor:"14,keyasint,omitempty"`
	// Slots is the number of calls that the target runs at a time, and RunUS the
	// mean time that a call of this kind takes there, in microseconds; they are
	// set with Told, 0 when not known.
	Slots int   `cbor:"15,keyasint,omitempty"`
	RunUS int64 `cbor:"16,keyasint,omitempty"`
	// HandlingUS is how long the target's daemon had the call, in microseconds; 0 is
	// not known.
	HandlingUS int64 `cbor:"17,keyasint,omitempty"`
	// Reservation answers a Reserve that is granted.
	Reservation *Reservation `cbor:"18,keyasint,omitempty"`
}

// Reserve asks whether the body of a call may be sent over the link of the
// target's instance. It is answered by an Answer that says that the call has not
// run, with a Reservation if the body may come.
type Reserve struct {
	ID    CallID `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
	// WithinMS is the longest time that the call can wait for its turn, in
	// milliseconds.
	WithinMS int64 `cbor:"3,keyasint"`
}

// Reservation says that a body may be sent.
type Reservation struct {
	// WaitMS is when, in milliseconds from now.
	WaitMS int64 `cbor:"1,keyasint"`
}

// Cancel tells the target's daemon that nobody waits for the call any more.
// It is answered by an Answer: a call that has not begun never will.
type Cancel struct {
	ID CallID `cbor:"1,keyasint"`
}

// Digest returns the digest that Call and Answer carry of their body.
func Digest(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return xxhash.Sum64(body)
}

// IsWhole says whether the body is the one that the digest was taken of.
func (a *Answer) IsWhole() bool { return Digest(a.Body) == a.BodyDigest }

// IsWhole says whether the body is the one that the digest was taken of.
func (c *Call) IsWhole() bool { return Digest(c.Body) == c.BodyDigest }

// NotRun returns the answer that a call did not run and never will.
func NotRun(id CallID, cause string) *Answer {
	return &Answer{ID: id, Outcome: OutcomeNotRun, Cause: cause}
}

// Unknown returns the answer that a call may have run.
func Unknown(id CallID, cause string) *Answer {
	return &Answer{ID: id, Outcome: OutcomeUnknown, Cause: cause}
}

// Kind implements Message.
func (*Call) Kind() Kind { return KindCall }

// Kind implements Message.
func (*Answer) Kind() Kind { return KindAnswer }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }
