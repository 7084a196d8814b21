package messenger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// KeyID identifies an idempotency key within its service and partner.
type KeyID [16]byte

// RequestDigest identifies the content of a request with an idempotency key.
type RequestDigest [16]byte

// KeyPeer is the daemon of a target that belongs to the call's service, as the
// entry daemon knows it.
type KeyPeer struct {
	_           struct{} `cbor:",toarray"`
	InstanceID  string
	PeerAddress string
	Incarnation uint64
}

// KeyRecord is the stored result of a call with an idempotency key.
type KeyRecord struct {
	Key     KeyID         `cbor:"1,keyasint"`
	Request RequestDigest `cbor:"2,keyasint"`
	// Answer is the answer of the call; its outcome may be unknown.
	Answer *Answer `cbor:"3,keyasint"`
	// AgeMS is the time since the call ended, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint"`
}

// KeyQuery asks the daemon of another target of the service for its record of a
// key. It is answered by an Answer: the one stored for the key, or one with
// OutcomeNotRun if the daemon does not know the key. A daemon that does not know
// the key also places a hold on it, which keeps it from running the key itself.
type KeyQuery struct {
	ID      CallID        `cbor:"1,keyasint"`
	Key     KeyID         `cbor:"2,keyasint"`
	Request RequestDigest `cbor:"3,keyasint"`
	// Asker is the instance that is about to run the key, and Incarnation
	// identifies its process.
	Asker       string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	// KnownDigest is the digest of the processes that the asker knows; see
	// DigestProcesses.
	KnownDigest uint64 `cbor:"6,keyasint,omitempty"`
}

// Process identifies one process of an instance.
type Process struct {
	_           struct{} `cbor:",toarray"`
	InstanceID  string
	Incarnation uint64
}

// DigestProcesses returns a digest of a set of processes. It doesn't depend on their
// order, and a process that occurs more than once counts once.
func DigestProcesses(processes []Process) uint64 {
	seen := make(map[Process]bool, len(processes))
	var sum uint64
	for _, p := range processes {
		if seen[p] {
			continue
		}
		seen[p] = true
		var h xxhash.Digest
		h.Reset()
		_, _ = h.WriteString(p.InstanceID)
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, p.Incarnation))
		sum += h.Sum64()
	}
	return sum
}

// KeyCoverage states for how long a daemon knows that no key of its service was
// lost, and which processes that depends on.
type KeyCoverage struct {
	// CoveredMS is the length of the period before now in which no keys of the service
	// were lost, in milliseconds. It holds if every process of Known that is not
	// in HandedOver still exists.
	CoveredMS int64 `cbor:"1,keyasint"`
	// Known lists the processes of the daemons of the service's targets that the
	// daemon knows. In the answer to a KeyQuery it is empty if these are the ones that
	// the query's KnownDigest describes, and SameKnown is set.
	Known     []Process `cbor:"2,keyasint,omitempty"`
	SameKnown bool      `cbor:"5,keyasint,omitempty"`
	// Incarnation identifies the process of the daemon that makes this statement.
	Incarnation uint64 `cbor:"3,keyasint"`
	// HandedOver lists processes that left after they had handed over all their keys,
	// except those whose records say so.
	HandedOver []Process `cbor:"4,keyasint,omitempty"`
}

// KeyHandover transfers keys to the daemon that becomes their owner. It is
// answered by an Answer with OutcomeAnswered once the receiver has stored them.
type KeyHandover struct {
	ID   CallID      `cbor:"1,keyasint"`
	Keys []KeyRecord `cbor:"2,keyasint,omitempty"`
	// Sender is the instance that leaves, and Incarnation identifies its process.
	Sender      string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	// Done reports that all new owners have stored their keys.
	Done bool `cbor:"6,keyasint,omitempty"`
	// Coverage is the sender's loss-free history of keys; it is set in the first
	// message to each receiver.
	Coverage *KeyCoverage `cbor:"7,keyasint,omitempty"`
}

// NewCallID returns a new random id.
func NewCallID() CallID {
	var id CallID
	_, _ = rand.Read(id[:])
	return id
}

// Rank returns the weight of an instance for a key in rendezvous hashing: of a
// service's targets, the one with the highest rank owns the key.
func Rank(key KeyID, instanceID string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(instanceID)
	return h.Sum64()
}

// KeyID returns the id of the call's idempotency key within its service, partner and
// tenant, so that no tenant gets the answer to a call of another.
func (c *Call) KeyID() KeyID {
	scope := c.Service + "\x00" + c.Partner + "\x00"
	if c.Tenant != "" {
		scope += c.Tenant + "\x00"
	}
	sum := sha256.Sum256([]byte(scope + c.IdempotencyKey))
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
