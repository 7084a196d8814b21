package limiter

import (
	"net/http"
	"sync"
	"time"
)

const idleConnTimeout = 90 * time.Second

// Transport is an http.RoundTripper that bounds the connections to one target.
// Connections must be set; it is read for each request, and a changed bound
// takes effect on new connections while calls in flight keep theirs.
type Transport struct {
	// Connections returns the bound, at least 1.
	Connections func() int
	// New makes the transport on which the bound is set; nil means a plain one.
	New func() *http.Transport

	mu      sync.Mutex
	bound   int
	current *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.transport().RoundTrip(r)
}

func (t *Transport) transport() *http.Transport {
	bound := max(1, t.Connections())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.bound == bound {
		return t.current
	}
	if t.current != nil {
		t.current.CloseIdleConnections()
	}
	next := &http.Transport{IdleConnTimeout: idleConnTimeout, DisableCompression: true}
	if t.New != nil {
		next = t.New()
	}
	next.MaxConnsPerHost, next.MaxIdleConns, next.MaxIdleConnsPerHost = bound, bound, bound
	t.bound, t.current = bound, next
	return next
}
