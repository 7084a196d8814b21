package forwarder

import (
	"context"
	"io"
	"sync"

	"bambooweir.example/bambooweir/messenger"
)

// flow is one direction of a pipe: a network that delivers, holds or doubles.
type flow struct {
	mu       sync.Mutex
	queue    [][]byte
	holding  bool
	doubling bool
	ended    bool
	// bytes counts what was put in.
	bytes   int
	changed chan struct{}
}

func (f *flow) update(change func()) {
	f.mu.Lock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}

func (f *flow) put(b []byte) {
	f.update(func() {
		f.bytes += len(b)
		f.queue = append(f.queue, b)
		if f.doubling {
			f.queue = append(f.queue, b)
		}
	})
}

// take returns the next message, whether the flow has ended, and the channel
// that is closed at the next change.
func (f *flow) take() (b []byte, ended bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.holding:
		return nil, false, f.changed
	case len(f.queue) > 0:
		b, f.queue = f.queue[0], f.queue[1:]
		return b, false, f.changed
	default:
		return nil, f.ended, f.changed
	}
}

// end is one end of a pipe; it implements messenger.Conn.
type end struct {
	in, out *flow
	once    sync.Once
	closed  chan struct{}
}

// pipe is one link through the network of a test.
type pipe struct{ near, far *end }

func newPipe() *pipe {
	there, back := &flow{changed: make(chan struct{})}, &flow{changed: make(chan struct{})}
	return &pipe{
		near: &end{in: back, out: there, closed: make(chan struct{})},
		far:  &end{in: there, out: back, closed: make(chan struct{})},
	}
}

// hold keeps all messages of both directions from being delivered.
func (p *pipe) hold(holding bool) {
	for _, f := range []*flow{p.near.in, p.near.out} {
		f.update(func() { f.holding = holding })
	}
}

// cut breaks the pipe; what is under way is lost.
func (p *pipe) cut() {
	for _, f := range []*flow{p.near.in, p.near.out} {
		f.update(func() { f.queue, f.holding, f.ended = nil, false, true })
	}
}

func (e *end) Send(_ context.Context, m messenger.Message) error {
	select {
	case <-e.closed:
		return io.ErrClosedPipe
	default:
	}
	b, err := messenger.Encode(m)
	if err != nil {
		return err
	}
	e.out.put(b)
	return nil
}

func (e *end) Receive(ctx context.Context) (messenger.Message, error) {
	for {
		select {
		case <-e.closed:
			return nil, io.ErrClosedPipe
		default:
		}
		b, ended, changed := e.in.take()
		switch {
		case b != nil:
			return messenger.Decode(b)
		case ended:
			return nil, io.EOF
		}
		select {
		case <-changed:
		case <-e.closed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (e *end) Close() {
	e.once.Do(func() {
		close(e.closed)
		e.out.update(func() { e.out.ended = true })
	})
}
