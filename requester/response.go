package requester

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file reads responses. What counts as one is bound to proof: a final status of
// HTTP/1, and a body that is shown to be whole by its length, by its last chunk, or by a
// clean end of the connection after the whole request was written.

// InvalidStatusError reports a response whose status is none that HTTP defines.
type InvalidStatusError struct{ Status int }

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("%03d is no status of a response", e.Status)
}

// InvalidVersionError reports a response that is not in HTTP/1.
type InvalidVersionError struct{ Version string }

// Error implements error.
func (e *InvalidVersionError) Error() string {
	return fmt.Sprintf("response in the protocol %s, want HTTP/1", e.Version)
}

var errSwitched = errors.New("the target switched to another protocol")

// The lowest and the highest status that HTTP defines (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns an error if the head is not that of an interim or final response.
func checkHead(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return &InvalidVersionError{Version: res.Proto}
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		return &InvalidStatusError{Status: res.StatusCode}
	case res.StatusCode == http.StatusSwitchingProtocols:
		return errSwitched
	}
	return nil
}

// readResponse reads the complete response to p and skips interim ones. It also returns
// how long the connection may be idle afterwards, which is 0 if the connection can't
// carry another request.
func (c *conn) readResponse(p *pending) (*Response, time.Duration, error) {
	c.head.limit(c.requester.maxHeadBytes())
	defer c.head.unlimit()
	for {
		// Interim responses have no body, so those that are skipped need no Close.
		res, err := http.ReadResponse(c.br, &http.Request{Method: p.req.Method})
		if err != nil {
			return nil, 0, err
		}
		if err := checkHead(res); err != nil {
			return nil, 0, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		c.head.unlimit()
		body, release, err := c.requester.readBody(p.req, res)
		if err == nil && endsWithConnection(p.req, res) {
			err = c.confirmEnd(p)
		}
		if err != nil {
			release()
			// Close would read the rest of the body, which may have no end. The
			// connection is closed instead.
			return nil, 0, err
		}
		_ = res.Body.Close()
		return &Response{Status: res.StatusCode, Header: res.Header, Body: body, Carried: c.carriedBefore(), Release: release}, keepTime(p.req, res), nil
	}
}

// endsWithConnection reports whether only the end of the connection shows where the body
// ends.
func endsWithConnection(req *Request, res *http.Response) bool {
	return req.Method != http.MethodHead && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// confirmEnd returns an error if the connection may have been reset where it seemed to
// end. The kernel reports a reset once: if the write of the request gets the error, reads
// see an end of the connection.
func (c *conn) confirmEnd(p *pending) error {
	if err := p.awaitSent(); err != nil {
		return fmt.Errorf("%w: the connection ended before the request was sent: %w", io.ErrUnexpectedEOF, err)
	}
	return nil
}

// keepTime returns how long the connection may be idle after the response, 0 if it can't
// carry another request.
func keepTime(req *Request, res *http.Response) time.Duration {
	if res.Close || mayHaveStrayBody(req, res) {
		return 0
	}
	if stated, ok := keepAliveTimeout(res.Header); ok {
		return max(0, stated-idleTimeoutMargin)
	}
	return defaultIdleTimeout
}

// mayHaveStrayBody reports whether the response states a body that it must not have. A
// faulty target may send it nevertheless, and it would be read as the next response.
func mayHaveStrayBody(req *Request, res *http.Response) bool {
	if req.Method != http.MethodHead && res.StatusCode != http.StatusNoContent && res.StatusCode != http.StatusNotModified {
		return false
	}
	length := res.Header.Get("Content-Length")
	return len(res.TransferEncoding) > 0 || length != "" && length != "0"
}

// keepAliveTimeout returns how long the target keeps an idle connection open, as the
// Keep-Alive field states it, and whether a valid time is stated.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			seconds, err := strconv.Atoi(text)
			return time.Duration(seconds) * time.Second, err == nil && seconds >= 0
		}
	}
	return 0, false
}
