package requester

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestCutHeadIsNoResponse guards against an answer that ends in its head, or later before its
// end, and is passed on as whole.
func TestCutHeadIsNoResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idField + ": a\r\nX-Seal: 3e1b.07\r\n"
	tests := []struct {
		name, text string
		// whole is the number of bytes from which the response counts as whole.
		whole int
	}{
		{"with a length", head + "Content-Length: 11\r\n\r\nhello world", -1},
		{"with a length of 0", head + "Content-Length: 0\r\n\r\n", -1},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n", -1},
		{"to the end of the connection", head + "\r\nhello world", len(head) + 2},
		{"without a body", strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n", -1},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 2\r\n\r\nhi", -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.whole < 0 {
				tt.whole = len(tt.text)
			}
			for n := range len(tt.text) + 1 {
				addr := startTarget(t, func(c net.Conn, _ int, _ *http.Request) bool {
					_, _ = io.WriteString(c, tt.text[:n])
					return false
				})
				res, err := (&Requester{IDField: idField}).Do(t.Context(), addr, newRequest("a"))
				if isWhole := n >= tt.whole; (err == nil) != isWhole {
					t.Errorf("response cut after %d of %d bytes, at %q: got %+v, error %v, want an answer: %t",
						n, len(tt.text), tt.text[max(0, n-12):n], res, err, isWhole)
				}
			}
		})
	}
}
