// Package quarantiner recognizes requests that crash the targets that run them, and keeps
// them from the other targets.
package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest identifies the content of a request: two requests with the same digest do the
// same at a target, whatever their IDs and whichever daemon they enter at.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// NewDigest returns the digest of a request of a partner. The partner is part of it, so that
// nothing that one partner sends can be held against the requests of another. Only the body
// may contain NUL bytes.
func NewDigest(partner, host, method, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{partner, host, method, target} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Digest(h.Sum(nil)[:16])
}
