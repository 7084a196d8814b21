package messenger

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Header fields of the call path.
const (
	// HeaderDeadline is the time left until a call's deadline, in milliseconds.
	HeaderDeadline = "Bambooweir-Deadline-Ms"
	// HeaderPartner is the partner on whose behalf a call is made, if that is
	// not the partner of the route.
	HeaderPartner = "Bambooweir-Partner"
	// HeaderIdempotencyKey identifies a call across its caller's retries.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// FromHTTP returns the header fields of h that are forwarded: all but the
// hop-by-hop fields.
func FromHTTP(h http.Header) []Header {
	headers := make([]Header, 0, len(h))
	named := connectionHeaders(h)
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(named, name) {
			continue
		}
		for _, v := range values {
			headers = append(headers, Header{Name: name, Value: v})
		}
	}
	return headers
}

// connectionHeaders returns the names of the further hop-by-hop fields that the
// Connection field lists.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// MatchesContentDigest reports whether the body matches every sha-256 member of
// the Content-Digest field (RFC 9530). It returns true if there is none.
func MatchesContentDigest(h http.Header, body []byte) bool {
	for _, v := range h["Content-Digest"] {
		for member := range strings.SplitSeq(v, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(member), "sha-256=:")
			if !ok {
				continue
			}
			want, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(text, ":"))
			got := sha256.Sum256(body)
			if err != nil || !bytes.Equal(got[:], want) {
				return false
			}
		}
	}
	return true
}
