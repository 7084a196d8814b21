package requester

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"

	"bambooweir.example/bambooweir/messenger"
)

// This file bounds the memory that responses take. A faulty target may send bytes
// without end, in a head or in a body, until its connection is closed.

// Defaults of the bounds of a Requester that are 0.
const (
	DefaultHeadBytes     = 64 << 10
	DefaultBufferedBytes = 32 << 20
)

// bodyChunkBytes is the size of the steps in which a body is read, so that a stated
// length takes no memory before its bytes arrive.
const bodyChunkBytes = 64 << 10

// TooLargeError reports a response that exceeded a bound on its size.
type TooLargeError struct {
	// Part is what exceeded the bound, Bytes is the bound.
	Part  string
	Bytes int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s of the response is longer than %d bytes", e.Part, e.Bytes)
}

// IsTooLarge reports whether a request failed because its response exceeded a bound
// on its size.
func IsTooLarge(err error) bool {
	var tooLarge *TooLargeError
	return errors.As(err, &tooLarge)
}

func (r *Requester) maxHeadBytes() int { return cmp.Or(r.MaxHeadBytes, DefaultHeadBytes) }

func (r *Requester) maxBufferedBytes() int64 {
	return cmp.Or(r.MaxBufferedBytes, DefaultBufferedBytes)
}

// headLimiter is a reader that fails with a *TooLargeError when more bytes are read
// than its limit, if it has one.
type headLimiter struct {
	r         io.Reader
	isLimited bool
	max, left int
}

// limit bounds the bytes that are read from now on.
func (l *headLimiter) limit(n int) { l.isLimited, l.max, l.left = true, n, n }

// unlimit removes the bound.
func (l *headLimiter) unlimit() { l.isLimited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, &TooLargeError{Part: "head", Bytes: int64(l.max)}
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readBody reads the whole body of a response, of at most messenger.MaxBodyBytes. All
// bodies that are being read take at most MaxBufferedBytes.
func (r *Requester) readBody(req *Request, res *http.Response) ([]byte, error) {
	if req.Method == http.MethodHead || res.ContentLength == 0 {
		return nil, nil
	}
	if res.ContentLength > messenger.MaxBodyBytes {
		return nil, &TooLargeError{Part: "body", Bytes: messenger.MaxBodyBytes}
	}
	if res.ContentLength > 0 && res.ContentLength <= bodyChunkBytes {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	var body bytes.Buffer
	reserved := int64(0)
	defer func() { r.buffered.Add(-reserved) }()
	for {
		n := int64(bodyChunkBytes)
		if res.ContentLength > 0 {
			n = min(n, res.ContentLength-int64(body.Len()))
		}
		reserved += n
		if r.buffered.Add(n) > r.maxBufferedBytes() {
			return nil, &TooLargeError{Part: "body, beside others that are being read,", Bytes: r.maxBufferedBytes()}
		}
		read, err := body.ReadFrom(io.LimitReader(res.Body, n))
		switch {
		case err != nil:
			return nil, err
		case res.ContentLength > 0 && int64(body.Len()) == res.ContentLength:
			return body.Bytes(), nil
		case read < n && res.ContentLength > 0:
			return nil, io.ErrUnexpectedEOF
		case read < n:
			return body.Bytes(), nil
		case body.Len() > messenger.MaxBodyBytes:
			return nil, &TooLargeError{Part: "body", Bytes: messenger.MaxBodyBytes}
		}
	}
}
