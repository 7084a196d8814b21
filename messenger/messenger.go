// Package messenger is the inner protocol: the messages that bambooweir's own
// processes exchange, and the links that carry them.
//
// A link is one WebSocket; each WebSocket message is one kind byte followed by
// the CBOR encoding of the message. Control links carry configuration and
// membership, call links carry calls.
package messenger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/tracker"
	"bambooweir.example/bambooweir/versioner"
)

// Kind is the first byte of a message on a link.
type Kind byte

// The kinds of messages. The numbers are part of the protocol.
const (
	KindHello   Kind = 1
	KindState   Kind = 2
	KindDeltas  Kind = 3
	KindMembers Kind = 4
	KindCall    Kind = 32
	KindAnswer  Kind = 33
	KindCancel  Kind = 34
)

// Message is one typed message of the inner protocol.
type Message interface{ Kind() Kind }

// Hello opens a control link.
type Hello struct {
	InstanceID string            `cbor:"1,keyasint"`
	Domain     string            `cbor:"2,keyasint"`
	Version    versioner.Version `cbor:"3,keyasint"`
	Digest     versioner.Digest  `cbor:"4,keyasint"`
}

// State carries a whole document.
type State struct {
	Document versioner.Document `cbor:"1,keyasint"`
}

// Deltas carries consecutive deltas, oldest first.
type Deltas struct {
	Deltas []versioner.Delta `cbor:"1,keyasint"`
}

// Members carries membership records.
type Members struct {
	Records []tracker.Record `cbor:"1,keyasint"`
}

// CallID identifies one call; it is unique across daemons and time.
type CallID [16]byte

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
}

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
}

// Cancel tells the target's daemon that nobody waits for the call any more.
type Cancel struct {
	ID CallID `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*State) Kind() Kind { return KindState }

// Kind implements Message.
func (*Deltas) Kind() Kind { return KindDeltas }

// Kind implements Message.
func (*Members) Kind() Kind { return KindMembers }

// Kind implements Message.
func (*Call) Kind() Kind { return KindCall }

// Kind implements Message.
func (*Answer) Kind() Kind { return KindAnswer }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// MalformedError reports bytes that are no message.
type MalformedError struct {
	Kind  Kind
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed message of kind %d: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Encode returns the bytes of a message.
func Encode(m Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, errorx.Decorate(err, "encoding message of kind %d", m.Kind())
	}
	return append([]byte{byte(m.Kind())}, b...), nil
}

// Decode reads a message, or fails with a *MalformedError.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, &MalformedError{Cause: errorx.IllegalFormat.New("empty message")}
	}
	kind := Kind(b[0])
	m := empty(kind)
	if m == nil {
		return nil, &MalformedError{Kind: kind, Cause: errorx.IllegalFormat.New("unknown kind")}
	}
	if err := cbor.Unmarshal(b[1:], m); err != nil {
		return nil, &MalformedError{Kind: kind, Cause: err}
	}
	return m, nil
}

func empty(kind Kind) Message {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindState:
		return new(State)
	case KindDeltas:
		return new(Deltas)
	case KindMembers:
		return new(Members)
	case KindCall:
		return new(Call)
	case KindAnswer:
		return new(Answer)
	case KindCancel:
		return new(Cancel)
	default:
		return nil
	}
}
