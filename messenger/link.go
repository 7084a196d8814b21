package messenger

import (
	"context"
	"expvar"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/joomcode/errorx"
)

// Paths at which a daemon accepts links.
const (
	ControlPath = "/v1/control"
	CallPath    = "/v1/calls"
)

// MaxBodyBytes bounds the body of a request and of an answer.
const MaxBodyBytes = 16 << 20

// MaxMessageBytes bounds one message on a link.
const MaxMessageBytes = MaxBodyBytes + 1<<20

// maxQueuedBytes bounds what waits on a link to be written.
const maxQueuedBytes = 2 * MaxMessageBytes

// Conn is what a link does; tests put failures in its place.
type Conn interface {
	// Send hands over one message. After an error the message was not and will
	// not be sent. Without one it may yet be lost with the link.
	Send(ctx context.Context, m Message) error
	// Receive reads one message. A *MalformedError leaves the link usable.
	Receive(ctx context.Context) (Message, error)
	Close()
}

// QueueFullError reports a link whose peer does not read.
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

// Traffic counts the bytes of messages, without the framing of WebSocket and TCP.
type Traffic struct {
	SentBytes, ReceivedBytes expvar.Int
}

// Link is one WebSocket between two daemons. Send and Receive may be used at
// the same time, Receive by one goroutine only.
//
// Messages leave in the order of the Send calls. The first sender writes what
// others add meanwhile, so that nobody waits for a lock that is held over a write.
type Link struct {
	conn *websocket.Conn
	// Traffic counts the link's bytes; nil counts none. It is set before the
	// first message.
	Traffic *Traffic

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	writing     bool
	err         error
}

// Dial opens a link to the daemon at addr ("127.0.0.1:7101").
func Dial(ctx context.Context, addr, path string) (*Link, error) {
	return DialWith(ctx, nil, addr, path)
}

// DialWith is Dial by an HTTP client of the caller's; nil means the default.
func DialWith(ctx context.Context, client *http.Client, addr, path string) (*Link, error) {
	opts := &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled, HTTPClient: client}
	conn, _, err := websocket.Dial(ctx, "ws://"+addr+path, opts) //nolint:bodyclose // the library owns the body
	if err != nil {
		return nil, &DialError{Address: addr, Cause: err}
	}
	return newLink(conn), nil
}

// Accept takes a link that a peer opened.
func Accept(w http.ResponseWriter, r *http.Request) (*Link, error) {
	opts := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	conn, err := websocket.Accept(w, r, opts)
	if err != nil {
		return nil, errorx.Decorate(err, "accepting link")
	}
	return newLink(conn), nil
}

func newLink(conn *websocket.Conn) *Link {
	conn.SetReadLimit(MaxMessageBytes)
	return &Link{conn: conn}
}

// Send implements Conn. The context bounds nothing but the wait before the
// message is handed over: a write that was begun goes on, since cutting it
// would end the link for all its calls.
func (l *Link) Send(ctx context.Context, m Message) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	b, err := Encode(m)
	if err != nil {
		return err
	}
	first, err := l.push(b)
	if err != nil || !first {
		return err
	}
	l.drain()
	return nil
}

// push queues a message and says whether the caller is to write the queue.
func (l *Link) push(b []byte) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return false, l.err
	}
	if l.queuedBytes+len(b) > maxQueuedBytes {
		return false, &QueueFullError{QueuedBytes: l.queuedBytes}
	}
	l.queue = append(l.queue, b)
	l.queuedBytes += len(b)
	first := !l.writing
	l.writing = true
	return first, nil
}

// drain writes until the queue is empty.
func (l *Link) drain() {
	var done [][]byte
	for {
		l.mu.Lock()
		batch := l.queue
		if len(batch) == 0 || l.err != nil {
			l.writing = false
			l.mu.Unlock()
			return
		}
		l.queue = done[:0]
		l.queuedBytes = 0
		l.mu.Unlock()
		for i, b := range batch {
			if err := l.conn.Write(context.Background(), websocket.MessageBinary, b); err != nil {
				l.fail(err)
				break
			}
			if l.Traffic != nil {
				l.Traffic.SentBytes.Add(int64(len(b)))
			}
			batch[i] = nil
		}
		done = batch
	}
}

func (l *Link) fail(err error) {
	l.mu.Lock()
	l.err = err
	l.queue = nil
	l.mu.Unlock()
	l.Close()
}

// Receive implements Conn.
func (l *Link) Receive(ctx context.Context) (Message, error) {
	_, b, err := l.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	if l.Traffic != nil {
		l.Traffic.ReceivedBytes.Add(int64(len(b)))
	}
	return Decode(b)
}

// Close ends the link at once.
func (l *Link) Close() { _ = l.conn.CloseNow() }
