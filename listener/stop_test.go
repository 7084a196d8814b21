package listener

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestUnreadContinueBlocksNoOthers guards against a server that accepts no connections while one
// caller does not read the interim response that it asked for.
func TestUnreadContinueBlocksNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := startPaused(t, func(http.ResponseWriter, *http.Request) {})
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if !c.mu.TryLock() {
				t.Fatal("the connection is locked while it waits for its caller")
			}
			c.mu.Unlock()
		}
	})
}

// TestStopServesOpenedConnections guards against a request that gets no answer since its
// connection, which the caller has just opened, is closed as idle when a planned stop begins.
func TestStopServesOpenedConnections(t *testing.T) {
	for _, tt := range []struct {
		name string
		age  time.Duration
		want bool
	}{
		{"just opened", 0, true},
		{"a while ago", freshTime / 2, true},
		{"long idle", freshTime, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, c := startPaused(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
				synctest.Wait()
				time.Sleep(tt.age)
				s.Drain()
				s.CloseIdle()
				if got := !s.IsQuiet(); got != tt.want {
					t.Errorf("request expected: got %v, want %v", got, tt.want)
				}
				_, err := io.WriteString(c, get("/late"))
				if !tt.want {
					if !errors.Is(err, io.ErrClosedPipe) {
						t.Errorf("connection: got error %v, want it closed", err)
					}
					return
				}
				if err != nil {
					t.Fatalf("late request: %v", err)
				}
				if status, _, closes := receive(t, bufio.NewReader(c)); status != http.StatusOK || !closes {
					t.Errorf("late request: got status %d, closes %v, want 200, true", status, closes)
				}
				_ = c.Close()
				synctest.Wait()
				if !s.IsQuiet() {
					t.Error("server is not quiet after its last answer")
				}
			})
		})
	}
}
