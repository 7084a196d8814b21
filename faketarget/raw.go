package faketarget

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"

	"bambooweir.example/bambooweir/messenger"
)

// uploadPartBytes is the part of an upload that is read before its connection is reset.
const uploadPartBytes = 64 << 10

// answerAndReset answers a call without a length, reads a part of its body and resets the
// connection.
func (t *Target) answerAndReset(w http.ResponseWriter, r *http.Request) {
	i := t.beginRun(r)
	defer t.finishRun(i)
	writeRaw(w, r, "200 OK", "\r\npart", true)
}

// writeRaw writes an answer with the status line's text and the rest of the answer after the
// request's ID, and closes the connection. If resets is set, it first reads a part of the
// request's body and then resets the connection.
func writeRaw(w http.ResponseWriter, r *http.Request, status, rest string, resets bool) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	name := messenger.HeaderNames{}.WithDefaults().RequestID
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s", status, name, r.Header.Get(name), rest)
	if !resets {
		return
	}
	_, _ = io.CopyN(io.Discard, buffered, uploadPartBytes)
	if inner, ok := c.(*repeatingConn); ok {
		c = inner.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// endlessPieceBytes is the size of the pieces in which an endless body is written.
const endlessPieceBytes = 64 << 10

// writeEndlessly answers with a body that has no end, until the daemon closes the connection.
func writeEndlessly(w http.ResponseWriter, r *http.Request, inChunks bool) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	piece := bytes.Repeat([]byte("endless "), endlessPieceBytes/8)
	framing := ""
	if inChunks {
		framing = "Transfer-Encoding: chunked\r\n"
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
	}
	name := messenger.HeaderNames{}.WithDefaults().RequestID
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n", name, r.Header.Get(name), framing)
	for err == nil {
		_, err = c.Write(piece)
	}
}
