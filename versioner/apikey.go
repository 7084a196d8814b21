package versioner

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the SHA-256 of an API key in hexadecimal, as Tenant.KeySHA256 holds it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
