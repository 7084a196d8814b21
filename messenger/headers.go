package messenger

import (
	"net/http"
	"slices"
)

// hopHeaders are bound to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// FromHTTP returns the header fields that are passed on.
func FromHTTP(h http.Header) []Header {
	headers := make([]Header, 0, len(h))
	for name, values := range h {
		if slices.Contains(hopHeaders, name) {
			continue
		}
		for _, v := range values {
			headers = append(headers, Header{Name: name, Value: v})
		}
	}
	return headers
}
