package listener

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"
)

// refusal is the error response to a request that is refused before its handler
// runs.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After field, in seconds, unless it is "".
	retryAfter string
}

// write writes the refusal to w.
func (r *refusal) write(w *response) {
	w.header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter != "" {
		w.header.Set("Retry-After", r.retryAfter)
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.reason + "\n"))
}

var (
	errHeadTooLarge = errors.New("head is too large")
	errMalformed    = errors.New("malformed head")
)

// readRequest reads one request with its body. It returns nil and nil if the caller
// has left.
func (c *conn) readRequest(limits Limits, arrived time.Time) (*http.Request, *refusal) {
	_ = c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	head, err := readHead(c.br, limits.HeaderBytes)
	if err != nil {
		return nil, c.refuseHead(err)
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head.bytes)))
	if err != nil || req.Host == "" && req.ProtoAtLeast(1, 1) || head.isAmbiguous() {
		c.server.Counters.Malformed.Add(1)
		return nil, &refusal{status: http.StatusBadRequest, reason: "malformed request"}
	}
	if req.Method == http.MethodConnect || !strings.HasPrefix(req.RequestURI, "/") {
		c.server.Counters.Malformed.Add(1)
		return nil, &refusal{status: http.StatusBadRequest, reason: "the request target must be a path"}
	}
	if req.ContentLength > int64(limits.BodyBytes) {
		c.server.Counters.TooLarge.Add(1)
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		c.sendContinue()
		req.Header.Del("Expect")
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, refused, err := c.readBody(req, limits.BodyBytes)
	if refused != nil || err != nil {
		return nil, refused
	}
	req.Body, req.ContentLength, req.TransferEncoding = newBody(body), int64(len(body)), nil
	req.RemoteAddr = c.nc.RemoteAddr().String()
	return req, nil
}

// refuseHead returns the refusal of a request whose head could not be read, or nil
// if the caller has left.
func (c *conn) refuseHead(err error) *refusal {
	switch {
	case errors.Is(err, errHeadTooLarge):
		c.server.Counters.TooLarge.Add(1)
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head is too large"}
	case errors.Is(err, errMalformed):
		c.server.Counters.Malformed.Add(1)
		return &refusal{status: http.StatusBadRequest, reason: "malformed request"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.server.Counters.Slow.Add(1)
		return &refusal{status: http.StatusRequestTimeout, reason: "the head took too long"}
	}
	return nil
}

// sendContinue sends the interim response 100 Continue, for which the caller waits
// before it sends the body. It sends nothing while responses to earlier requests
// are outstanding: after those, the caller sends the body without it.
func (c *conn) sendContinue() {
	c.mu.Lock()
	isNext := c.unanswered == 0
	c.mu.Unlock()
	// Only this goroutine adds requests, so nobody else writes now.
	if isNext {
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// readBody reads the whole body, whose bytes it takes from the budget before it reads them. It
// returns a refusal if the body is too large or too slow or there is no room for it, and an
// error if it could not be read, for example because the caller has left. Unless the body is
// returned, its bytes are given back.
func (c *conn) readBody(req *http.Request, limit int) ([]byte, *refusal, error) {
	if len(req.TransferEncoding) == 0 {
		return c.readSizedBody(req)
	}
	return c.readChunkedBody(limit)
}

// readSizedBody implements readBody for a body of a stated length.
func (c *conn) readSizedBody(req *http.Request) ([]byte, *refusal, error) {
	if req.ContentLength <= 0 {
		return nil, nil, nil
	}
	if !c.server.Bodies.Take(req.ContentLength, req.ContentLength) {
		return nil, c.refuseCrowded(), nil
	}
	body := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(c.br, body); err != nil {
		c.server.Bodies.Give(req.ContentLength)
		return nil, c.refuseSlowBody(err), err
	}
	return body, nil, nil
}

// readChunkedBody implements readBody for a body in chunks.
func (c *conn) readChunkedBody(limit int) ([]byte, *refusal, error) {
	chunks := httputil.NewChunkedReader(c.br)
	var body bytes.Buffer
	taken := int64(0)
	refuse := func(r *refusal, err error) ([]byte, *refusal, error) {
		c.server.Bodies.Give(taken)
		return nil, r, err
	}
	for {
		if !c.server.Bodies.Take(chunkedStepBytes, taken+chunkedStepBytes) {
			return refuse(c.refuseCrowded(), nil)
		}
		taken += chunkedStepBytes
		n, err := body.ReadFrom(io.LimitReader(chunks, chunkedStepBytes))
		switch {
		case err != nil:
			return refuse(c.refuseSlowBody(err), err)
		case body.Len() > limit:
			c.server.Counters.TooLarge.Add(1)
			return refuse(&refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}, nil)
		case n == chunkedStepBytes:
			continue
		}
		if err := skipTrailers(c.br); err != nil {
			return refuse(c.refuseSlowBody(err), err)
		}
		c.server.Bodies.Give(taken - int64(body.Len()))
		return body.Bytes(), nil, nil
	}
}

// chunkedStepBytes is the size of the steps in which a body in chunks takes its bytes.
const chunkedStepBytes = 16 << 10

// refuseCrowded returns the refusal of a request for whose body there is no room.
func (c *conn) refuseCrowded() *refusal {
	c.server.Counters.Crowded.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, reason: "no room for the body", retryAfter: crowdedRetryAfter}
}

// crowdedRetryAfter is when a caller may come back for whose body there is no room, in seconds.
const crowdedRetryAfter = "1"

// refuseSlowBody returns the refusal of a request whose body did not arrive within
// bodyTimeout, or nil if err is another error or nil.
func (c *conn) refuseSlowBody(err error) *refusal {
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	c.server.Counters.Slow.Add(1)
	return &refusal{status: http.StatusRequestTimeout, reason: "the body took too long"}
}

// maxTrailerBytes bounds the trailer section of a chunked body.
const maxTrailerBytes = 4 << 10

// skipTrailers reads and discards the trailer section, up to the empty line that
// ends a chunked body.
func skipTrailers(br *bufio.Reader) error {
	for n := 0; n < maxTrailerBytes; {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		n += len(line)
	}
	return errMalformed
}

// head holds the request line and the header fields of a request as received.
type head struct {
	bytes []byte
	// contentLengths, transferEncodings and hosts count the header fields that
	// determine the end of the body and the host.
	contentLengths, transferEncodings, hosts int
}

// isAmbiguous reports whether another HTTP implementation might parse the same
// bytes as another request (request smuggling).
func (h *head) isAmbiguous() bool {
	return h.contentLengths > 1 || h.transferEncodings > 1 || h.hosts > 1 || h.contentLengths > 0 && h.transferEncodings > 0
}

// readHead reads a head of at most limit bytes, up to the empty line that ends it.
func readHead(br *bufio.Reader, limit int) (*head, error) {
	h := new(head)
	isStart := true
	for {
		line, err := br.ReadSlice('\n')
		if len(h.bytes)+len(line) > limit {
			return nil, errHeadTooLarge
		}
		h.bytes = append(h.bytes, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if !isStart {
				return h, nil
			}
			// Ignore empty lines before a request.
			h.bytes = h.bytes[:0]
			continue
		}
		if isStart && !bytes.Contains(text, []byte(" HTTP/1.")) {
			return nil, errMalformed
		}
		isStart = false
		h.countFramingField(text)
	}
}

// countFramingField counts the header field in line if it determines the end of the
// body or the host.
func (h *head) countFramingField(line []byte) {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch strings.ToLower(string(name)) {
	case "content-length":
		h.contentLengths++
	case "transfer-encoding":
		h.transferEncodings++
	case "host":
		h.hosts++
	}
}

// Body is the body of a request. It is wholly in memory.
type Body struct {
	bytes.Reader
	// Bytes is the whole body; it must not be modified.
	Bytes []byte
}

func newBody(b []byte) *Body {
	body := &Body{Bytes: b}
	body.Reset(b)
	return body
}

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

// response is the http.ResponseWriter of one request. It buffers the response until
// send writes it.
type response struct {
	header http.Header
	status int
	body   []byte
}

func newResponse() *response { return &response{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, b...)
	return len(b), nil
}

// send writes the buffered response to w. If last is true, it carries the field
// Connection: close.
func (r *response) send(w io.Writer, req *http.Request, last bool) error {
	r.WriteHeader(http.StatusOK)
	var b bytes.Buffer
	b.Grow(len(r.body) + readBufferBytes/4)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.status) + " " + http.StatusText(r.status) + "\r\n")
	r.header.Del("Connection")
	mayHaveBody := r.status >= 200 && r.status != http.StatusNoContent && r.status != http.StatusNotModified
	isHead := req != nil && req.Method == http.MethodHead
	if r.status == http.StatusNoContent {
		// Some callers would wait for a body of the length that the handler states.
		r.header.Del("Content-Length")
	}
	if mayHaveBody && !isHead {
		r.header["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	}
	if last {
		r.header["Connection"] = []string{"close"}
	}
	if err := r.header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if mayHaveBody && !isHead {
		b.Write(r.body)
	}
	_, err := w.Write(b.Bytes())
	return err
}
