package messenger

import (
	"crypto/rand"
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

// KeyID identifies an idempotency key within its service and partner.
type KeyID [16]byte

// RequestDigest identifies what a keyed call asks for.
type RequestDigest [16]byte

// KeyPeer is a target's daemon that the entry daemon knows in the call's service.
type KeyPeer struct {
	_           struct{} `cbor:",toarray"`
	InstanceID  string
	PeerAddress string
	Incarnation uint64
}

// KeyRecord is what is known of one idempotency key.
type KeyRecord struct {
	Key     KeyID         `cbor:"1,keyasint"`
	Request RequestDigest `cbor:"2,keyasint"`
	// Answer is the answer of the call, or its unknown outcome.
	Answer *Answer `cbor:"3,keyasint"`
	// AgeMS is how long ago the call ended, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint"`
}

// KeyQuery asks another target's daemon of the service what it knows of a key,
// and keeps it from running the key if that is nothing. It is answered by an
// Answer: not-run if it knows nothing, else the key's own.
type KeyQuery struct {
	ID      CallID        `cbor:"1,keyasint"`
	Key     KeyID         `cbor:"2,keyasint"`
	Request RequestDigest `cbor:"3,keyasint"`
	// Asker is the instance that is about to run the key, Incarnation its process.
	Asker       string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
}

// Process is one process of an instance.
type Process struct {
	_           struct{} `cbor:",toarray"`
	InstanceID  string
	Incarnation uint64
}

// KeyCoverage is what a daemon vouches for.
type KeyCoverage struct {
	// CoveredMS is how far back the daemon knows that no keys of the service were lost,
	// in milliseconds, if all of Known that is not in Clean is still there.
	CoveredMS int64 `cbor:"1,keyasint"`
	// Known lists the processes beside the service's targets that the daemon knows.
	Known []Process `cbor:"2,keyasint,omitempty"`
	// Incarnation is the process that vouches.
	Incarnation uint64 `cbor:"3,keyasint"`
	// HandedOver lists processes that left and handed over all their keys.
	HandedOver []Process `cbor:"4,keyasint,omitempty"`
}

// KeyHandover gives keys to the daemon that is their home next. It is answered
// by an Answer with OutcomeAnswered once they are taken.
type KeyHandover struct {
	ID   CallID      `cbor:"1,keyasint"`
	Keys []KeyRecord `cbor:"2,keyasint,omitempty"`
	// Sender is the instance that leaves, Incarnation its process.
	Sender      string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	// Done says that all heirs have taken their keys.
	Done bool `cbor:"6,keyasint,omitempty"`
}

// NewCallID returns an id that no other call has.
func NewCallID() CallID {
	var id CallID
	_, _ = rand.Read(id[:])
	return id
}

// Rank orders the targets of a service for a key: the one with the highest rank
// is the key's home.
func Rank(key KeyID, instanceID string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(instanceID)
	return h.Sum64()
}

// KeyID returns the id of the call's idempotency key.
func (c *Call) KeyID() KeyID {
	sum := sha256.Sum256([]byte(c.Service + "\x00" + c.Partner + "\x00" + c.IdempotencyKey))
	return KeyID(sum[:16])
}

// RequestDigest returns the digest of the call's method, target and body.
func (c *Call) RequestDigest() RequestDigest {
	h := sha256.New()
	_, _ = h.Write([]byte(c.Method + "\x00" + c.Target + "\x00"))
	_, _ = h.Write(c.Body)
	return RequestDigest(h.Sum(nil)[:16])
}

// Kind implements Message.
func (*KeyQuery) Kind() Kind { return KindKeyQuery }

// Kind implements Message.
func (*KeyHandover) Kind() Kind { return KindKeyHandover }
