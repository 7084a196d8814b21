package messenger

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/gatherer"
)

// Paths at which a daemon accepts links.
const (
	ControlPath = "/v1/control"
	CallPath    = "/v1/calls"
)

// MaxBodyBytes bounds the body of a request and of an answer, in bytes.
const MaxBodyBytes = 16 << 20

// MaxMessageBytes bounds one encoded message on a link. It leaves 1 MiB for the
// fields besides a body.
const MaxMessageBytes = MaxBodyBytes + 1<<20

// longBodyBytes is the size from which the body of an answer counts as long.
const longBodyBytes = 64 << 10

// maxQueuedBytes bounds the messages that wait to be written to a link.
const maxQueuedBytes = 2 * MaxMessageBytes

// Conn is the interface of Link. Tests substitute connections that inject
// failures.
type Conn interface {
	// Send queues one message for writing. If it returns an error, the message
	// has not been and will not be sent. Otherwise the message may still be lost
	// if the link fails.
	Send(ctx context.Context, m Message) error
	// Receive reads one message. The link stays usable after a *MalformedError.
	Receive(ctx context.Context) (Message, error)
	Close()
}

// Budget bounds a number of bytes in memory.
type Budget interface {
	// Take reserves bytes of a body and reports whether there was room. bodyBytes is the size
	// of the body so far.
	Take(bytes, bodyBytes int64) bool
	// Give returns bytes that Take reserved.
	Give(bytes int64)
}

// QueueFullError reports that the queue of a link has no space for another
// message, because the peer does not read fast enough.
type QueueFullError struct{ QueuedBytes int }

// Error implements error.
func (e *QueueFullError) Error() string { return "link's queue is full" }

// DialError reports a link that could not be opened.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return "dialing " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Traffic counts the bytes of messages sent and received, without WebSocket and
// TCP framing.
type Traffic struct {
	SentBytes, ReceivedBytes expvar.Int
}

// Link is a WebSocket connection between two daemons. Send and Receive may be
// called concurrently; Receive must be called by one goroutine only.
//
// Messages are written in the order of the Send calls. A Send that finds no
// write in progress waits until its message and all those that other goroutines queue
// meanwhile are written, so that no sender waits for a lock that is held during a write.
type Link struct {
	conn *websocket.Conn
	// Traffic counts the link's bytes; nil disables counting. It must be set
	// before the first message.
	Traffic *Traffic
	// Answers bounds the long answers that were received on all links and are still in use;
	// nil means no bound. It must be set before the first message.
	Answers Budget
	// IsAwaited reports whether a call still waits for its answer; nil means that all do. A long
	// answer is dropped as soon as its call does not. It must be set before the first answer.
	IsAwaited func(CallID) bool

	mu          sync.Mutex
	queue       []queued
	queuedBytes int
	writing     bool
	err         error
}

// queued is a message that waits to be written. written is closed once it is, or never will be.
type queued struct {
	bytes   []byte
	written chan struct{}
}

// Dial opens a link to the daemon at addr ("127.0.0.1:7101").
func Dial(ctx context.Context, addr, path string) (*Link, error) {
	return DialWith(ctx, nil, addr, path)
}

// DialWith is like Dial but uses the given HTTP client; nil means the default
// client.
func DialWith(ctx context.Context, client *http.Client, addr, path string) (*Link, error) {
	opts := &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled, HTTPClient: client}
	conn, _, err := websocket.Dial(ctx, "ws://"+addr+path, opts) //nolint:bodyclose // the library owns the body
	if err != nil {
		return nil, &DialError{Address: addr, Cause: err}
	}
	return newLink(conn), nil
}

// Accept upgrades a peer's HTTP request to a link.
func Accept(w http.ResponseWriter, r *http.Request) (*Link, error) {
	opts := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	conn, err := websocket.Accept(w, r, opts)
	if err != nil {
		return nil, errorx.Decorate(err, "accepting link")
	}
	return newLink(conn), nil
}

// newLink returns the link on an open connection. Receiving a message longer than
// MaxMessageBytes fails and closes the connection.
func newLink(conn *websocket.Conn) *Link {
	conn.SetReadLimit(MaxMessageBytes)
	return &Link{conn: conn}
}

// Send implements Conn. When ctx ends, it returns, but does not cancel a write that has
// begun, because that would close the link and fail all its calls. The write then ends with
// the link. An answer with a long body is written when Send returns, unless ctx has ended.
func (l *Link) Send(ctx context.Context, m Message) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	b, err := Encode(m)
	if err != nil {
		return err
	}
	var written chan struct{}
	if a, ok := m.(*Answer); ok && len(a.Body) > longBodyBytes {
		written = make(chan struct{})
	}
	first, err := l.enqueue(queued{b, written})
	switch {
	case err != nil || !first && written == nil:
		return err
	case first && ctx.Done() == nil:
		l.writeQueue()
		return nil
	case first:
		written = make(chan struct{})
		go func() {
			defer close(written)
			l.writeQueue()
		}()
	}
	select {
	case <-written:
	case <-ctx.Done():
	}
	return nil
}

// enqueue queues a message and reports whether the caller must write the queue.
func (l *Link) enqueue(q queued) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return false, l.err
	}
	if l.queuedBytes+len(q.bytes) > maxQueuedBytes {
		return false, &QueueFullError{QueuedBytes: l.queuedBytes}
	}
	l.queue = append(l.queue, q)
	l.queuedBytes += len(q.bytes)
	first := !l.writing
	l.writing = true
	return first, nil
}

// writeQueue writes queued messages until the queue is empty or a write fails.
func (l *Link) writeQueue() {
	var spare []queued
	for {
		l.mu.Lock()
		batch := l.queue
		if len(batch) == 0 || l.err != nil {
			l.writing = false
			l.mu.Unlock()
			return
		}
		l.queue = spare[:0]
		l.queuedBytes = 0
		l.mu.Unlock()
		for i, q := range batch {
			if err := l.conn.Write(context.Background(), websocket.MessageBinary, q.bytes); err != nil {
				endWaits(batch[i:])
				l.fail(err)
				break
			}
			if l.Traffic != nil {
				l.Traffic.SentBytes.Add(int64(len(q.bytes)))
			}
			endWaits(batch[i : i+1])
			batch[i] = queued{}
		}
		spare = batch
	}
}

// endWaits ends the waits for messages that are written, or never will be.
func endWaits(messages []queued) {
	for _, q := range messages {
		if q.written != nil {
			close(q.written)
		}
	}
}

// fail records the error for later Send calls, discards the queue and closes the
// link.
func (l *Link) fail(err error) {
	l.mu.Lock()
	l.err = err
	endWaits(l.queue)
	l.queue = nil
	l.mu.Unlock()
	l.Close()
}

// Receive implements Conn. In place of an answer that Answers has no room for, it returns one
// that says so.
func (l *Link) Receive(ctx context.Context) (Message, error) {
	_, r, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	var g gatherer.Gatherer
	defer g.Free()
	reserved, err := l.gather(&g, r)
	release := func() { l.Answers.Give(reserved) }
	switch {
	case errors.Is(err, errDropped):
		answer, err := refuseAnswer(g.Begin())
		g.Free()
		release()
		if err == nil {
			_, err = io.Copy(io.Discard, r)
		}
		return answer, err
	case err != nil && reserved > 0:
		release()
		return nil, err
	case err != nil:
		return nil, err
	}
	if l.Traffic != nil {
		l.Traffic.ReceivedBytes.Add(int64(g.Len()))
	}
	m, err := Decode(g.Bytes())
	answer, ok := m.(*Answer)
	switch {
	case ok && reserved > 0:
		answer.hold(release)
	case reserved > 0:
		release()
	}
	return m, err
}

// errDropped means that a part of an answer was read, and that the rest is to be dropped: Answers
// has no room for it, or its call does not wait any more.
var errDropped = errors.New("the answer is dropped")

// gather reads a message to its end, and reserves the room of a long answer before it is read. It
// returns the bytes that it has reserved, also if it fails.
func (l *Link) gather(g *gatherer.Gatherer, r io.Reader) (reserved int64, err error) {
	for {
		err := g.Read(r, gatherer.ChunkBytes)
		switch {
		case errors.Is(err, io.EOF):
			return reserved, nil
		case err != nil:
			return reserved, err
		case l.Answers == nil || !isAnswer(g):
			continue
		case !l.isAwaited(g), !l.Answers.Take(gatherer.ChunkBytes, int64(g.Len())+gatherer.ChunkBytes):
			return reserved, errDropped
		}
		reserved += gatherer.ChunkBytes
	}
}

// isAwaited reports whether a call waits for the answer that is being gathered.
func (l *Link) isAwaited(g *gatherer.Gatherer) bool {
	if l.IsAwaited == nil {
		return true
	}
	id, err := decodeAnswerID(g.Begin())
	return err != nil || l.IsAwaited(id)
}

// isAnswer reports whether the message that is being gathered is an answer.
func isAnswer(g *gatherer.Gatherer) bool { return g.Len() > 0 && Kind(g.Begin()[0]) == KindAnswer }

// Close closes the link without a WebSocket closing handshake.
func (l *Link) Close() { _ = l.conn.CloseNow() }
