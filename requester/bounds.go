package requester

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"bambooweir.example/bambooweir/gatherer"
	"bambooweir.example/bambooweir/messenger"
)

// This file bounds the memory that responses take. A faulty target may send bytes
// without end, in a head or in a body, until its connection is closed.

// Defaults of the bounds of a Requester that are 0.
const (
	DefaultHeadBytes     = 64 << 10
	DefaultBufferedBytes = 32 << 20
)

// shortBodyShare is the part of the bound that only bodies of one chunk may take, so that long
// ones don't keep them out.
const shortBodyShare = 8

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
// bodies that are being read, or whose Release was not called, take at most MaxBufferedBytes.
func (r *Requester) readBody(req *Request, res *http.Response) (body []byte, release func(), err error) {
	release = func() {}
	if req.Method == http.MethodHead || res.ContentLength == 0 {
		return nil, release, nil
	}
	if res.ContentLength > messenger.MaxBodyBytes {
		return nil, release, &TooLargeError{Part: "body", Bytes: messenger.MaxBodyBytes}
	}
	if res.ContentLength > 0 && res.ContentLength <= gatherer.ChunkBytes {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, release, err
	}
	b := bodyBuffer{requester: r, length: res.ContentLength}
	defer b.Free()
	if err := b.readFrom(res.Body); err != nil {
		r.buffered.Add(-b.reserved)
		return nil, release, err
	}
	return b.Bytes(), sync.OnceFunc(func() { r.buffered.Add(-b.reserved) }), nil
}

// bodyBuffer holds a body that is being read.
type bodyBuffer struct {
	gatherer.Gatherer
	requester *Requester
	// length is the stated length, -1 for none.
	length int64
	// reserved is the part of the requester's bound that the body takes.
	reserved int64
}

// readFrom reads the whole body.
func (b *bodyBuffer) readFrom(body io.Reader) error {
	for {
		n := int64(gatherer.ChunkBytes)
		if b.length > 0 {
			n = min(n, b.length-int64(b.Len()))
		}
		if err := b.reserve(n); err != nil {
			return err
		}
		err := b.Read(body, int(n))
		size := int64(b.Len())
		switch {
		case errors.Is(err, io.EOF) && b.length > size:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) || err == nil && size == b.length:
			return nil
		case err != nil:
			return err
		case size > messenger.MaxBodyBytes:
			return &TooLargeError{Part: "body", Bytes: messenger.MaxBodyBytes}
		}
	}
}

// reserve takes n more bytes of the requester's bound. The last part of that is for bodies
// that are short so far.
func (b *bodyBuffer) reserve(n int64) error {
	b.reserved += n
	bound := b.requester.maxBufferedBytes()
	limit := bound
	if b.reserved > gatherer.ChunkBytes {
		limit -= bound / shortBodyShare
	}
	if b.requester.buffered.Add(n) > limit {
		return &TooLargeError{Part: "body, beside others that are being read,", Bytes: bound}
	}
	return nil
}
