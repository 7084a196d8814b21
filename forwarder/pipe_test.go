package forwarder

import (
	"context"
	"io"
	"sync"

	"bambooweir.example/bambooweir/messenger"
)

// flow is one direction of a pipe. It can hold messages back or deliver them twice.
type flow struct {
	mu            sync.Mutex
	queue         [][]byte
	isHolding     bool
	isDuplicating bool
	hasEnded      bool
	// bytes is the number of bytes that were sent.
	bytes int
	// changed is closed, and replaced, by every update.
	changed chan struct{}
}

// update runs change under the lock and wakes the receiver.
func (f *flow) update(change func()) {
	f.mu.Lock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}

// put queues a message, twice if the flow duplicates.
func (f *flow) put(b []byte) {
	f.update(func() {
		f.bytes += len(b)
		f.queue = append(f.queue, b)
		if f.isDuplicating {
			f.queue = append(f.queue, b)
		}
	})
}

// take returns the next message or nil, reports whether the flow has ended, and returns
// the channel that is closed by the next update.
func (f *flow) take() (b []byte, ended bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isHolding:
		return nil, false, f.changed
	case len(f.queue) > 0:
		b, f.queue = f.queue[0], f.queue[1:]
		return b, false, f.changed
	default:
		return nil, f.hasEnded, f.changed
	}
}

// pipeEnd is one end of a pipe. It implements messenger.Conn.
type pipeEnd struct {
	in, out *flow
	once    sync.Once
	closed  chan struct{}
}

// pipe is a link through a simulated network, from the entry daemon's end near to the end
// far of the target's daemon.
type pipe struct{ near, far *pipeEnd }

func newPipe() *pipe {
	there, back := &flow{changed: make(chan struct{})}, &flow{changed: make(chan struct{})}
	return &pipe{
		near: &pipeEnd{in: back, out: there, closed: make(chan struct{})},
		far:  &pipeEnd{in: there, out: back, closed: make(chan struct{})},
	}
}

// hold starts or stops holding back the messages of both directions.
func (p *pipe) hold(holding bool) {
	for _, f := range []*flow{p.near.in, p.near.out} {
		f.update(func() { f.isHolding = holding })
	}
}

// cut breaks the pipe; the messages in transit are lost.
func (p *pipe) cut() {
	for _, f := range []*flow{p.near.in, p.near.out} {
		f.update(func() { f.queue, f.isHolding, f.hasEnded = nil, false, true })
	}
}

func (e *pipeEnd) Send(_ context.Context, m messenger.Message) error {
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

func (e *pipeEnd) Receive(ctx context.Context) (messenger.Message, error) {
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

func (e *pipeEnd) Close() {
	e.once.Do(func() {
		close(e.closed)
		e.out.update(func() { e.out.hasEnded = true })
	})
}
