// Package messenger implements the protocol between daemons: the message types
// and the links that carry them.
//
// A link is one WebSocket connection. Each WebSocket message is a kind byte
// followed by the CBOR encoding of the message. Control links carry
// configuration and membership, call links carry calls.
package messenger

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// Kind is the first byte of a message on a link.
type Kind byte

// The kinds of messages. The numbers are part of the protocol.
const (
	KindHello   Kind = 1
	KindState   Kind = 2
	KindDeltas  Kind = 3
	KindMembers Kind = 4

	KindWelcome         Kind = 5
	KindRedirect        Kind = 6
	KindBusy            Kind = 7
	KindPath            Kind = 8
	KindHeartbeat       Kind = 9
	KindHeartbeatAnswer Kind = 10
	KindPull            Kind = 11
	KindRefused         Kind = 12
	KindMemberDigests   Kind = 13
	KindSubtree         Kind = 14
	KindReports         Kind = 15
	KindAppoint         Kind = 16
	// KindCompressed marks a message that wraps another, compressed one.
	KindCompressed Kind = 17
	KindPartUpdate Kind = 18

	KindCall        Kind = 32
	KindAnswer      Kind = 33
	KindCancel      Kind = 34
	KindOpening     Kind = 35
	KindReattach    Kind = 36
	KindPending     Kind = 37
	KindProbe       Kind = 38
	KindProbeReply  Kind = 39
	KindKeyQuery    Kind = 40
	KindKeyHandover Kind = 41
	KindReserve     Kind = 42
	KindQuotaAsk    Kind = 43
)

// Message is a message of the protocol between daemons.
type Message interface{ Kind() Kind }

// MalformedError reports bytes that do not decode to a message.
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

var encMode = mustEncMode()

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decMode accepts text that is not UTF-8: header values may hold any bytes.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// envelopeBytes is the usual encoded length of a message without its body.
// Encode allocates this much in addition to the body.
const envelopeBytes = 320

// Encode returns the encoded message, compressed if its kind is compressible and
// the result is shorter.
func Encode(m Message) ([]byte, error) {
	capacity := envelopeBytes
	switch m := m.(type) {
	case *Call:
		capacity += len(m.Body)
	case *Answer:
		capacity += len(m.Body)
	}
	buf := bytes.NewBuffer(make([]byte, 0, capacity))
	buf.WriteByte(byte(m.Kind()))
	if err := encMode.MarshalToBuffer(m, buf); err != nil {
		return nil, errorx.Decorate(err, "encoding message of kind %d", m.Kind())
	}
	return compress(buf.Bytes()), nil
}

// Decode decodes a message. It fails with a *MalformedError.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, &MalformedError{Cause: errorx.IllegalFormat.New("empty message")}
	}
	if Kind(b[0]) == KindCompressed {
		var err error
		if b, err = decompress(b); err != nil {
			return nil, err
		}
	}
	kind := Kind(b[0])
	m := newMessage(kind)
	if m == nil {
		return nil, &MalformedError{Kind: kind, Cause: errorx.IllegalFormat.New("unknown kind")}
	}
	if err := decMode.Unmarshal(b[1:], m); err != nil {
		return nil, &MalformedError{Kind: kind, Cause: err}
	}
	return m, nil
}

// newMessage returns an empty message of the kind, or nil if the kind is
// unknown.
func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindState:
		return new(State)
	case KindDeltas:
		return new(Deltas)
	case KindMembers:
		return new(Members)
	case KindWelcome:
		return new(Welcome)
	case KindRedirect:
		return new(Redirect)
	case KindBusy:
		return new(Busy)
	case KindPath:
		return new(Path)
	case KindHeartbeat:
		return new(Heartbeat)
	case KindHeartbeatAnswer:
		return new(HeartbeatAnswer)
	case KindPull:
		return new(Pull)
	case KindRefused:
		return new(Refused)
	case KindMemberDigests:
		return new(MemberDigests)
	case KindSubtree:
		return new(Subtree)
	case KindReports:
		return new(Reports)
	case KindAppoint:
		return new(Appoint)
	case KindPartUpdate:
		return new(PartUpdate)
	case KindCall:
		return new(Call)
	case KindAnswer:
		return new(Answer)
	case KindCancel:
		return new(Cancel)
	case KindReserve:
		return new(Reserve)
	case KindOpening:
		return new(Opening)
	case KindReattach:
		return new(Reattach)
	case KindPending:
		return new(Pending)
	case KindProbe:
		return new(Probe)
	case KindProbeReply:
		return new(ProbeReply)
	case KindKeyQuery:
		return new(KeyQuery)
	case KindKeyHandover:
		return new(KeyHandover)
	case KindQuotaAsk:
		return new(QuotaAsk)
	default:
		return nil
	}
}
