// Package faketarget is a stand-in of a target: an HTTP server that announces
// itself to the daemon beside it and records what it ran.
package faketarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bambooweir.example/bambooweir/announcer"
)

const announceInterval = 500 * time.Millisecond

// Target is one stand-in.
type Target struct {
	Address   string
	Service   string
	DaemonURL string

	runs atomic.Int64
}

// ServeHTTP answers with the service, the path and the body that it got.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.runs.Add(1)
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s %s", t.Service, t.Address, r.URL.Path, body)
}

// Announce tells the daemon that the target is ready, until the daemon has heard it.
func (t *Target) Announce(ctx context.Context) {
	for t.announce(ctx) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

func (t *Target) announce(ctx context.Context) error {
	b, err := json.Marshal(announcer.Announcement{Service: t.Service, Address: t.Address, State: "ready"})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, t.DaemonURL+announcer.Path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcement: status %d", res.StatusCode)
	}
	return nil
}
