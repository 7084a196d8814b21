package messenger

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/joomcode/errorx"
)

// Paths at which a daemon accepts links.
const (
	ControlPath = "/v1/control"
	CallPath    = "/v1/calls"
)

// MaxMessageBytes bounds one message on a link.
const MaxMessageBytes = 8 << 20

// Link is one WebSocket between two daemons. Send and Receive may be used at
// the same time, Receive by one goroutine only.
type Link struct {
	conn *websocket.Conn
	// Sent and Received count payload bytes after framing is taken off.
	Sent, Received atomic.Int64
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
		return nil, errorx.Decorate(err, "dialing %s", addr)
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

// Send writes one message.
func (l *Link) Send(ctx context.Context, m Message) error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	l.Sent.Add(int64(len(b)))
	return l.conn.Write(ctx, websocket.MessageBinary, b)
}

// Receive reads one message.
func (l *Link) Receive(ctx context.Context) (Message, error) {
	_, b, err := l.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	l.Received.Add(int64(len(b)))
	return Decode(b)
}

// Close ends the link at once.
func (l *Link) Close() { _ = l.conn.CloseNow() }
