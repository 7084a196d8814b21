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

// refusal is the answer to what can't be taken as a request. It has not run.
type refusal struct {
	status int
	reason string
}

func (r *refusal) write(a *answer) {
	a.header.Set("Content-Type", "text/plain; charset=utf-8")
	a.WriteHeader(r.status)
	_, _ = a.Write([]byte(r.reason + "\n"))
}

var (
	errHeadTooLarge = errors.New("head is too large")
	errMalformed    = errors.New("malformed head")
)

// readRequest reads one request with its body. It returns neither a request nor
// a refusal when the caller has left.
func (c *conn) readRequest(limits Limits, arrived time.Time) (*http.Request, *refusal) {
	_ = c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	head, err := readHead(c.br, limits.HeaderBytes)
	if err != nil {
		return nil, c.refuseHead(err)
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head.bytes)))
	if err != nil || req.Host == "" && req.ProtoAtLeast(1, 1) || head.isAmbiguous() {
		c.server.Counters.Malformed.Add(1)
		return nil, &refusal{http.StatusBadRequest, "malformed request"}
	}
	if req.Method == http.MethodConnect || !strings.HasPrefix(req.RequestURI, "/") {
		c.server.Counters.Malformed.Add(1)
		return nil, &refusal{http.StatusBadRequest, "the request target must be a path"}
	}
	if req.ContentLength > int64(limits.BodyBytes) {
		c.server.Counters.TooLarge.Add(1)
		return nil, &refusal{http.StatusRequestEntityTooLarge, "body is too large"}
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		c.promptBody()
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

// refuseHead returns the refusal of a head that could not be read, or nil when
// the caller has left.
func (c *conn) refuseHead(err error) *refusal {
	switch {
	case errors.Is(err, errHeadTooLarge):
		c.server.Counters.TooLarge.Add(1)
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, "head is too large"}
	case errors.Is(err, errMalformed):
		c.server.Counters.Malformed.Add(1)
		return &refusal{http.StatusBadRequest, "malformed request"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.server.Counters.Slow.Add(1)
		return &refusal{http.StatusRequestTimeout, "the head took too long"}
	}
	return nil
}

// promptBody asks for a body that the caller holds back, unless answers are
// under way, after which it sends the body by itself.
func (c *conn) promptBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == 0 {
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// readBody reads the whole body. It fails when the caller has left.
func (c *conn) readBody(req *http.Request, limit int) ([]byte, *refusal, error) {
	if len(req.TransferEncoding) == 0 {
		if req.ContentLength <= 0 {
			return nil, nil, nil
		}
		body := make([]byte, req.ContentLength)
		_, err := io.ReadFull(c.br, body)
		return body, c.slowBody(err), err
	}
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.br), int64(limit)+1))
	if err == nil && len(body) > limit {
		c.server.Counters.TooLarge.Add(1)
		return nil, &refusal{http.StatusRequestEntityTooLarge, "body is too large"}, nil
	}
	if err == nil {
		err = skipTrailers(c.br)
	}
	return body, c.slowBody(err), err
}

func (c *conn) slowBody(err error) *refusal {
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	c.server.Counters.Slow.Add(1)
	return &refusal{http.StatusRequestTimeout, "the body took too long"}
}

// maxTrailerBytes bounds what may follow the last chunk.
const maxTrailerBytes = 4 << 10

// skipTrailers reads up to the empty line that ends a chunked body.
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

// head is the request line and the fields of a request as they came.
type head struct {
	bytes []byte
	// lengths, encodings and hosts count the fields that say where the body ends
	// and whom the request is for.
	lengths, encodings, hosts int
}

// isAmbiguous says whether another reader might see another request in the same bytes.
func (h *head) isAmbiguous() bool {
	return h.lengths > 1 || h.encodings > 1 || h.hosts > 1 || h.lengths > 0 && h.encodings > 0
}

// readHead reads up to the empty line that ends a head.
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
			// Empty lines before a request are passed over.
			h.bytes = h.bytes[:0]
			continue
		}
		if isStart && !bytes.Contains(text, []byte(" HTTP/1.")) {
			return nil, errMalformed
		}
		isStart = false
		h.count(text)
	}
}

func (h *head) count(line []byte) {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch strings.ToLower(string(name)) {
	case "content-length":
		h.lengths++
	case "transfer-encoding":
		h.encodings++
	case "host":
		h.hosts++
	}
}

// Body is the body of a request, which is in memory.
type Body struct {
	bytes.Reader
	// Bytes is the whole body; it must not be changed.
	Bytes []byte
}

func newBody(b []byte) *Body {
	body := &Body{Bytes: b}
	body.Reset(b)
	return body
}

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

// answer gathers what a handler answers. It implements http.ResponseWriter.
type answer struct {
	header http.Header
	status int
	body   []byte
}

func newAnswer() *answer { return &answer{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.body = append(a.body, b...)
	return len(b), nil
}

// send writes the answer to the caller.
func (a *answer) send(w io.Writer, req *http.Request, last bool) error {
	a.WriteHeader(http.StatusOK)
	var b bytes.Buffer
	b.Grow(len(a.body) + readBufferBytes/4)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	a.header.Del("Connection")
	mayHaveBody := a.status >= 200 && a.status != http.StatusNoContent && a.status != http.StatusNotModified
	isHead := req != nil && req.Method == http.MethodHead
	if mayHaveBody && !isHead {
		a.header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	if last {
		a.header["Connection"] = []string{"close"}
	}
	if err := a.header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if mayHaveBody && !isHead {
		b.Write(a.body)
	}
	_, err := w.Write(b.Bytes())
	return err
}
