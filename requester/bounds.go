package requester

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

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
	if res.ContentLength > 0 && res.ContentLength <= bodyChunkBytes {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, release, err
	}
	b := bodyBuffer{requester: r, length: res.ContentLength}
	defer b.free()
	if err := b.readFrom(res.Body); err != nil {
		r.buffered.Add(-b.reserved)
		return nil, release, err
	}
	return b.join(), sync.OnceFunc(func() { r.buffered.Add(-b.reserved) }), nil
}

// chunkPool holds chunks of bodyChunkBytes. Bodies that turn out to be too long leave no
// garbage, which would exceed the bound many times over before the next collection.
var chunkPool = sync.Pool{New: func() any { return new([bodyChunkBytes]byte) }}

// bodyBuffer holds a body that is being read.
type bodyBuffer struct {
	requester *Requester
	// length is the stated length, -1 for none.
	length int64
	// reserved is the part of the requester's bound that the body takes.
	reserved int64
	chunks   []*[bodyChunkBytes]byte
	size     int64
}

// readFrom reads the whole body.
func (b *bodyBuffer) readFrom(body io.Reader) error {
	for {
		n := int64(bodyChunkBytes)
		if b.length > 0 {
			n = min(n, b.length-b.size)
		}
		if err := b.reserve(n); err != nil {
			return err
		}
		chunk := chunkPool.Get().(*[bodyChunkBytes]byte)
		b.chunks = append(b.chunks, chunk)
		read, err := readChunk(body, chunk[:n])
		b.size += int64(read)
		switch {
		case errors.Is(err, io.EOF) && b.length > b.size:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) || err == nil && b.size == b.length:
			return nil
		case err != nil:
			return err
		case b.size > messenger.MaxBodyBytes:
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
	if b.reserved > bodyChunkBytes {
		limit -= bound / shortBodyShare
	}
	if b.requester.buffered.Add(n) > limit {
		return &TooLargeError{Part: "body, beside others that are being read,", Bytes: bound}
	}
	return nil
}

// readChunk fills the chunk. Unlike io.ReadFull it keeps the end of the body and that of a
// truncated one apart.
func readChunk(body io.Reader, chunk []byte) (read int, err error) {
	for read < len(chunk) && err == nil {
		var n int
		n, err = body.Read(chunk[read:])
		read += n
	}
	return read, err
}

// join returns the body in one piece.
func (b *bodyBuffer) join() []byte {
	body := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		body = append(body, chunk[:min(bodyChunkBytes, b.size-int64(len(body)))]...)
	}
	return body
}

// free makes the chunks available to other bodies.
func (b *bodyBuffer) free() {
	for _, chunk := range b.chunks {
		chunkPool.Put(chunk)
	}
}
