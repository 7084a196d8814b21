package messenger

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// waitTimeout bounds the time until an awaited event happens.
const waitTimeout = 30 * time.Second

// startSilentPeer starts a peer that accepts links and reads nothing, and returns its address.
func startSilentPeer(t *testing.T) string {
	t.Helper()
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := Accept(w, r)
		if err != nil {
			return
		}
		defer l.Close()
		<-ended
	}))
	t.Cleanup(func() {
		close(ended)
		server.Close()
	})
	return server.Listener.Addr().String()
}

// TestSendEndsWithItsContext guards against a daemon that waits for good for a peer that does
// not read, with the buffers between them full.
func TestSendEndsWithItsContext(t *testing.T) {
	l, err := Dial(t.Context(), startSilentPeer(t), CallPath)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	sent := make(chan error, 1)
	go func() {
		// The message is longer than the buffers of both sides.
		sent <- l.Send(ctx, &Call{ID: NewCallID(), Body: make([]byte, MaxBodyBytes)})
	}()
	select {
	case err := <-sent:
		if err != nil {
			t.Errorf("message that was queued: got error %v, want none", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("Send did not end after its context")
	}
	if err := l.Send(ctx, &Call{ID: NewCallID()}); err == nil {
		t.Error("message of an ended context: got no error, want one")
	}
}
