package requester

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestRepeatedRefusalAnswersNoLaterAttempt guards against a request that is reported as not
// run while the target runs it: the target refuses a first attempt, and writes that refusal
// once more on the same connection when a second attempt with the same ID arrives.
func TestRepeatedRefusalAnswersNoLaterAttempt(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + idField + ": a\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	for _, between := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("%d others between", between), func(t *testing.T) {
			var attempts atomic.Int64
			addr := startTarget(t, func(c net.Conn, n int, r *http.Request) bool {
				id := r.Header.Get(idField)
				switch {
				case id != "a":
					fmt.Fprint(c, responseText(id, "other"))
				case attempts.Add(1) == 1:
					_, _ = io.WriteString(c, refusal)
				default:
					if n == 1 {
						_, _ = io.WriteString(c, refusal)
					}
					fmt.Fprint(c, responseText(id, "ran"))
				}
				return true
			})
			// The bound leaves no room for a connection beside the one that refused.
			r := &Requester{IDField: idField, MaxConnections: func() int { return 1 }}
			if res, err := r.Do(t.Context(), addr, newRequest("a")); err != nil || res.Status != http.StatusServiceUnavailable {
				t.Fatalf("first attempt: got %+v, error %v, want the refusal", res, err)
			}
			for i := range between {
				if _, err := r.Do(t.Context(), addr, newRequest(fmt.Sprint(i))); err != nil {
					t.Fatal(err)
				}
			}
			res, err := r.Do(t.Context(), addr, newRequest("a"))
			if err != nil || string(res.Body) != "ran" {
				t.Errorf("second attempt: got %+v, error %v, want the answer of its run", res, err)
			}
		})
	}
}

// TestDiscardedRefusalIsLogged guards against a refusal of an earlier request that arrives in
// place of a response and leaves no trace: the line names both requests.
func TestDiscardedRefusalIsLogged(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		if id := r.Header.Get(idField); id == "b" {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: a\r\nContent-Length: 0\r\n\r\n", idField)
		}
		fmt.Fprint(c, responseText(r.Header.Get(idField), "ran"))
		return true
	})
	core, logged := observer.New(zap.InfoLevel)
	r := &Requester{IDField: idField, Log: zap.New(core)}
	mustDo(t, r, addr, "a")
	mustDo(t, r, addr, "b")
	want := map[string]any{"request-id": "b", "response-id": "a", "status": int64(503), "carried": int64(1)}
	if got := logged.FilterMessage("response-discarded").All(); len(got) != 1 || !maps.Equal(got[0].ContextMap(), want) {
		t.Errorf("lines: got %v, want one with %v", got, want)
	}
	if got := r.Counters.StrayErrors.Value(); got != 1 {
		t.Errorf("stray errors: got %d, want 1", got)
	}
}

// TestConnectionIsRetiredAfterManyRefusals guards against the IDs of refused requests taking
// memory without bound, or being forgotten while the connection is used.
func TestConnectionIsRetiredAfterManyRefusals(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idField, r.Header.Get(idField))
		return true
	})
	r := &Requester{IDField: idField}
	const requests = 2*maxRefusedIDs + 1
	for i := range requests {
		if _, err := r.Do(t.Context(), addr, newRequest(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := r.Counters.Opened.Value(), int64(3); got != want {
		t.Errorf("connections opened for %d refusals: got %d, want %d", requests, got, want)
	}
}
