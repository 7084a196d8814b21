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
	// HeaderPartner names the partner on whose behalf a call is made, where that
	// is not the partner of the route.
	HeaderPartner = "Bambooweir-Partner"
	// HeaderIdempotencyKey names a call that its caller may repeat.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopHeaders are bound to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// FromHTTP returns the header fields that are passed on.
func FromHTTP(h http.Header) []Header {
	headers := make([]Header, 0, len(h))
	named := connectionHeaders(h)
	for name, values := range h {
		if slices.Contains(hopHeaders, name) || slices.Contains(named, name) {
			continue
		}
		for _, v := range values {
			headers = append(headers, Header{Name: name, Value: v})
		}
	}
	return headers
}

// connectionHeaders returns the fields that the Connection field binds to the connection.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// MatchesContentDigest says whether the body is the one that the sha-256 member
// of the Content-Digest field (RFC 9530) names. It is true without such a member.
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
