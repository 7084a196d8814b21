// Package messenger is the inner protocol: the messages that bambooweir's own
// processes exchange, and the links that carry them.
//
// A link is one WebSocket; each WebSocket message is one kind byte followed by
// the CBOR encoding of the message. Control links carry configuration and
// membership, call links carry calls.
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
	// KindCompressed wraps another message.
	KindCompressed Kind = 17

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
)

// Message is one typed message of the inner protocol.
type Message interface{ Kind() Kind }

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

var encoding = mustEncoding()

func mustEncoding() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// headRoom is the room that a message usually needs beside a body, in bytes.
const headRoom = 320

// Encode returns the bytes of a message.
func Encode(m Message) ([]byte, error) {
	room := headRoom
	switch m := m.(type) {
	case *Call:
		room += len(m.Body)
	case *Answer:
		room += len(m.Body)
	}
	buf := bytes.NewBuffer(make([]byte, 0, room))
	buf.WriteByte(byte(m.Kind()))
	if err := encoding.MarshalToBuffer(m, buf); err != nil {
		return nil, errorx.Decorate(err, "encoding message of kind %d", m.Kind())
	}
	return compress(buf.Bytes()), nil
}

// Decode reads a message, or fails with a *MalformedError.
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
	default:
		return nil
	}
}
