package messenger

import (
	"encoding/binary"
	"encoding/hex"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"bambooweir.example/bambooweir/quarantiner"
	"bambooweir.example/bambooweir/quoter"
)

// CallID identifies one attempt of a call. It is unique across daemons and time.
type CallID [16]byte

// Attempt returns the number of the attempt, counted from 0.
func (id CallID) Attempt() uint16 { return binary.BigEndian.Uint16(id[attemptOffset:]) }

// WithAttempt returns the id of another attempt of the same call.
func (id CallID) WithAttempt(n uint16) CallID {
	binary.BigEndian.PutUint16(id[attemptOffset:], n)
	return id
}

// attemptOffset is where the number of the attempt begins in a CallID.
const attemptOffset = 14

// String returns the id in hexadecimal.
func (id CallID) String() string { return hex.EncodeToString(id[:]) }

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Call asks the target's daemon to run a call. It is answered by an Answer.
type Call struct {
	ID      CallID `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Partner string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Method  string `cbor:"5,keyasint"`
	// Target is the HTTP request target: path and query.
	Target  string   `cbor:"6,keyasint"`
	Headers []Header `cbor:"7,keyasint,omitempty"`
	Body    []byte   `cbor:"8,keyasint,omitempty"`
	// RemainingMS is the time until the call's deadline when the message is
	// sent, in milliseconds.
	RemainingMS    int64  `cbor:"9,keyasint"`
	IdempotencyKey string `cbor:"10,keyasint,omitempty"`
	// Host is the host that the caller requested.
	Host string `cbor:"11,keyasint,omitempty"`
	// Idempotent reports whether the call may run more than once.
	Idempotent bool `cbor:"12,keyasint,omitempty"`
	// Sequence numbers the calls of one link, from 1.
	Sequence uint64 `cbor:"13,keyasint"`
	// SentUS is the sending time in microseconds since the sender opened the
	// link.
	SentUS int64 `cbor:"14,keyasint"`
	// BodyDigest is the xxHash64 of Body.
	BodyDigest uint64 `cbor:"15,keyasint,omitempty"`
	// Acks lists calls whose answers the entry daemon has received, so that the
	// receiver can forget them.
	Acks []CallID `cbor:"16,keyasint,omitempty"`
	// CallingPartner is the partner whose share of the capacity the call uses,
	// if that is not Partner.
	CallingPartner string `cbor:"17,keyasint,omitempty"`
	// KeyPeers lists the service's targets that the entry daemon knows. It is
	// set for a call with an idempotency key.
	KeyPeers []KeyPeer `cbor:"18,keyasint,omitempty"`
	// RequestID is the caller's id of the request, for logs.
	RequestID string `cbor:"19,keyasint,omitempty"`
	// Priority orders the calls that wait for a slot; 0 is served first.
	Priority int `cbor:"20,keyasint,omitempty"`
	// ObjectiveMS is the latency objective of the call, in milliseconds: an
	// answer within it has the highest value. 0 means that there is none.
	ObjectiveMS int64 `cbor:"21,keyasint,omitempty"`
	// IsNested reports whether a target made the call while it was running
	// another one.
	IsNested bool `cbor:"22,keyasint,omitempty"`
	// WaitedMS is how long the caller has already waited when the call is sent,
	// in milliseconds. It includes the caller's earlier attempts of the same
	// request as far as the entry daemon can infer them.
	WaitedMS int64 `cbor:"23,keyasint,omitempty"`
	// Notice is what the entry daemon last learned that the target said about itself, if
	// that restricts calls. The target's daemon may have been restarted since.
	Notice *TargetNotice `cbor:"24,keyasint,omitempty"`
	// Suspicions is what the entry daemon knows to be held against the call's request, if it
	// chose the target for a trial of that request.
	Suspicions []quarantiner.Record `cbor:"25,keyasint,omitempty"`
	// IsForAnyHost reports that the call's route names no host, so that the host says
	// nothing about what the call does.
	IsForAnyHost bool `cbor:"26,keyasint,omitempty"`
	// Tenant is the tenant on whose behalf the call is made, "" for none.
	Tenant string `cbor:"27,keyasint,omitempty"`
	// TenantPriority takes precedence over Priority in the order of waiting calls; nil
	// means that the tenant has none.
	TenantPriority *int `cbor:"28,keyasint,omitempty"`
}

// IsKeyed reports whether the call must run at the owner of its idempotency key.
func (c *Call) IsKeyed() bool { return c.IdempotencyKey != "" && !c.Idempotent }

// Outcome is the result of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeUnknown means that the call may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the target answered and the answer is complete.
	OutcomeAnswered
	// OutcomeNotRun means that the call did not run and never will.
	OutcomeNotRun
)

// String returns the outcome's name in problem documents.
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

// Answer is the final message about a call. It also answers Cancel, Reserve,
// Reattach, KeyQuery, KeyHandover and QuotaAsk.
type Answer struct {
	ID      CallID   `cbor:"1,keyasint"`
	Outcome Outcome  `cbor:"2,keyasint"`
	Status  int      `cbor:"3,keyasint,omitempty"`
	Headers []Header `cbor:"4,keyasint,omitempty"`
	Body    []byte   `cbor:"5,keyasint,omitempty"`
	// Cause is a kebab-case code for the reason why the call was not answered.
	Cause string `cbor:"6,keyasint,omitempty"`
	// RetryAfterMS is the time after which the caller should retry, in
	// milliseconds; 0 gives no advice.
	RetryAfterMS int64 `cbor:"7,keyasint,omitempty"`
	// BodyDigest is the xxHash64 of Body.
	BodyDigest uint64 `cbor:"8,keyasint,omitempty"`
	// Draining reports that the target's daemon accepts no new calls.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Running and Waiting are the numbers of other calls at the target's daemon
	// that run and that wait for a slot.
	Running int `cbor:"10,keyasint,omitempty"`
	Waiting int `cbor:"11,keyasint,omitempty"`
	// HasLoad reports whether Running, Waiting, Slots and RunUS are set.
	HasLoad bool `cbor:"12,keyasint,omitempty"`
	// Coverage is set in the answer to a KeyQuery if the daemon does not know the
	// key.
	Coverage *KeyCoverage `cbor:"13,keyasint,omitempty"`
	// Sent reports that the call was sent to the target, whatever the result.
	Sent bool `cbor:"14,keyasint,omitempty"`
	// Slots is the number of calls that the target runs at a time, and RunUS the
	// mean run time of calls of this class and priority there, in microseconds.
	// They are set if HasLoad is; 0 means not known.
	Slots int   `cbor:"15,keyasint,omitempty"`
	RunUS int64 `cbor:"16,keyasint,omitempty"`
	// HandlingUS is the time from the acceptance of the call by the target's daemon
	// to the answer, in microseconds; 0 means not known.
	HandlingUS int64 `cbor:"17,keyasint,omitempty"`
	// Reservation is set in the answer to a Reserve that is granted.
	Reservation *Reservation `cbor:"18,keyasint,omitempty"`
	// Notice is what the target last said about itself, if that restricts calls.
	Notice *TargetNotice `cbor:"19,keyasint,omitempty"`
	// TurnUS is how long one more call would wait under the target's rate limit, in
	// microseconds. It is set if HasLoad is.
	TurnUS int64 `cbor:"20,keyasint,omitempty"`
	// Suspicions is what the target's daemon knows to be held against the call's request, if
	// it refused the call for that or the target ended under it.
	Suspicions []quarantiner.Record `cbor:"21,keyasint,omitempty"`
	// Quota is set in the answer to a QuotaAsk.
	Quota *quoter.Reply `cbor:"22,keyasint,omitempty"`

	// release gives back the memory that the answer takes, nil for none.
	release func()
}

// Reserve asks for a time at which the body of a call may be sent over the
// network link of the target's instance. It is answered by an Answer with
// OutcomeNotRun, which has a Reservation if the request is granted.
type Reserve struct {
	ID    CallID `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
	// WithinMS is the longest time that the call can wait until its body may be
	// sent, in milliseconds.
	WithinMS int64 `cbor:"3,keyasint"`
}

// Reservation grants the sending of a body.
type Reservation struct {
	// WaitMS is the time from now at which the body may be sent, in
	// milliseconds.
	WaitMS int64 `cbor:"1,keyasint"`
}

// Cancel tells the target's daemon that the caller no longer waits for the call.
// It is answered by an Answer. A call that has not begun will never run.
type Cancel struct {
	ID CallID `cbor:"1,keyasint"`
}

// Digest returns the digest of a body for BodyDigest: its xxHash64, or 0 for an
// empty body.
func Digest(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return xxhash.Sum64(body)
}

// IsWhole reports whether the body matches BodyDigest.
func (a *Answer) IsWhole() bool { return Digest(a.Body) == a.BodyDigest }

// IsDamaged reports whether the answer to a Call claims to hold a target's response, but
// holds none: its body was changed, or its status is not that of a final response.
func (a *Answer) IsDamaged() bool {
	return a.Outcome == OutcomeAnswered && (!a.IsWhole() || a.Status < http.StatusOK || a.Status > maxStatus)
}

// maxStatus is the highest status that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// IsWhole reports whether the body matches BodyDigest.
func (c *Call) IsWhole() bool { return Digest(c.Body) == c.BodyDigest }

// NotRun returns an answer with OutcomeNotRun and the cause.
func NotRun(id CallID, cause string) *Answer {
	return &Answer{ID: id, Outcome: OutcomeNotRun, Cause: cause}
}

// Unknown returns an answer with OutcomeUnknown and the cause.
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
