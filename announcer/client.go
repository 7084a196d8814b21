package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/joomcode/errorx"
)

// RefusedError reports that the daemon rejected an announcement.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement refused: status %d", e.Status)
}

// Send sends an announcement to the target's daemon, whose operator API is at
// daemonURL. It fails with a *RefusedError if the daemon answers with another
// status than 204.
func Send(ctx context.Context, client *http.Client, daemonURL string, a Announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return errorx.Decorate(err, "encoding announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, daemonURL+Path, bytes.NewReader(b))
	if err != nil {
		return errorx.Decorate(err, "announcing to %s", daemonURL)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return errorx.Decorate(err, "announcing to %s", daemonURL)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return &RefusedError{Status: res.StatusCode}
	}
	return nil
}
