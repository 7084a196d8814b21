package forwarder

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"bambooweir.example/bambooweir/requester"
)

const (
	deadlyRunTime  = 100 * time.Millisecond
	normalRunTime  = 120 * time.Millisecond
	targetDownTime = 3 * time.Second
)

// mortalProcess is the process of a target that ends when it runs a deadly request, and comes
// back as another run after targetDownTime.
type mortalProcess struct {
	// onEnd and onReturn are called when the process has ended and is back.
	onEnd, onReturn func()

	mu sync.Mutex
	// ended is closed when the present run ends.
	ended chan struct{}
	ends  int
}

// present returns the channel that is closed when the present run of the target ends.
func (p *mortalProcess) present() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		p.ended = make(chan struct{})
	}
	return p.ended
}

// countEnds returns how often the process has ended.
func (p *mortalProcess) countEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// hasEnded reports whether the process is down.
func (p *mortalProcess) hasEnded() bool {
	select {
	case <-p.present():
		return true
	default:
		return false
	}
}

// dial opens a connection to the process.
func (p *mortalProcess) dial(context.Context, string) (net.Conn, error) {
	if p.hasEnded() {
		return nil, syscall.ECONNREFUSED
	}
	near, _ := net.Pipe()
	return near, nil
}

// run runs a request for normalRunTime, or ends the process after deadlyRunTime.
func (p *mortalProcess) run(ctx context.Context, body string) (string, error) {
	present := p.present()
	if p.hasEnded() {
		return "", &requester.NotSentError{Cause: syscall.ECONNREFUSED, IsUnreachable: true}
	}
	isDeadly := strings.HasPrefix(body, "deadly")
	runTime := normalRunTime
	if isDeadly {
		runTime = deadlyRunTime
	}
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-present:
		return "", errors.New("target crashed")
	case <-time.After(runTime):
	}
	if isDeadly {
		p.end(present)
		return "", errors.New("target crashed")
	}
	return "ran " + body, nil
}

// end ends the run, unless it has ended already.
func (p *mortalProcess) end(run chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-run:
		return
	default:
	}
	close(run)
	p.ends++
	time.AfterFunc(0, p.onEnd)
	time.AfterFunc(targetDownTime, func() {
		p.mu.Lock()
		p.ended = make(chan struct{})
		p.mu.Unlock()
		p.onReturn()
	})
}
