package forwarder

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/messenger"
)

// callLink matches answers with the calls that wait for them.
type callLink struct {
	link *messenger.Link

	mu      sync.Mutex
	waiting map[messenger.CallID]chan *messenger.Answer
	closed  bool
}

// link returns the open link to a daemon, or opens one.
func (f *Forwarder) link(ctx context.Context, addr string) (*callLink, error) {
	f.mu.Lock()
	l, ok := f.links[addr]
	f.mu.Unlock()
	if ok {
		return l, nil
	}
	link, err := messenger.Dial(ctx, addr, messenger.CallPath)
	if err != nil {
		return nil, err
	}
	l = &callLink{link: link, waiting: make(map[messenger.CallID]chan *messenger.Answer)}
	f.mu.Lock()
	if f.links == nil {
		f.links = make(map[string]*callLink)
	}
	f.links[addr] = l
	f.mu.Unlock()
	go func() {
		l.receive()
		f.mu.Lock()
		if f.links[addr] == l {
			delete(f.links, addr)
		}
		f.mu.Unlock()
	}()
	return l, nil
}

func (l *callLink) receive() {
	for {
		m, err := l.link.Receive(context.Background())
		if err != nil {
			l.fail()
			return
		}
		answer, ok := m.(*messenger.Answer)
		if !ok {
			continue
		}
		l.mu.Lock()
		wait := l.waiting[answer.ID]
		delete(l.waiting, answer.ID)
		l.mu.Unlock()
		if wait != nil {
			wait <- answer
		}
	}
}

func (l *callLink) fail() {
	l.link.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for id, wait := range l.waiting {
		close(wait)
		delete(l.waiting, id)
	}
}

func (l *callLink) do(ctx context.Context, call *messenger.Call) (*messenger.Answer, error) {
	wait := make(chan *messenger.Answer, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, errorx.ExternalError.New("link is closed")
	}
	l.waiting[call.ID] = wait
	l.mu.Unlock()
	if err := l.link.Send(ctx, call); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, call.ID)
		l.mu.Unlock()
		return nil, ctx.Err()
	case answer, ok := <-wait:
		if !ok {
			return nil, errorx.ExternalError.New("link was lost")
		}
		return answer, nil
	}
}
